package damsonseam.ss7;

import java.util.ArrayList;
import java.util.List;

/** Creates the ISUP messages of both ends of a trunk group, and reads the parameters common to several of them. */
public final class IsupMessages {
    private static final byte[] NO_SATELLITE_CIRCUIT = {0};
    private static final byte[] DEFAULT_FORWARD_INDICATORS = {0x20, 0x01};
    private static final byte[] DEFAULT_BACKWARD_INDICATORS = {0x16, 0x14};
    private static final byte[] SPEECH = {0};
    /** Location "network beyond interworking point", ITU-T coding. */
    private static final int CAUSE_LOCATION = 0x8a;

    private static final int EXTENSION_BIT = 0x80;

    private IsupMessages() {}

    /**
     * Creates an IAM, which sets a call up.
     *
     * @param category calling party's category (Q.763 3.11)
     * @param callReference call ID, of which the three low-order octets are sent; both ends log them
     */
    public static IsupMessage initialAddress(
            int circuit, String number, int category, long callReference, int pointCode) {
        return IsupMessage.of(
                circuit,
                IsupMessage.Type.IAM,
                new IsupMessage.Parameter(IsupMessage.NATURE_OF_CONNECTION_INDICATORS, NO_SATELLITE_CIRCUIT),
                new IsupMessage.Parameter(IsupMessage.FORWARD_CALL_INDICATORS, DEFAULT_FORWARD_INDICATORS),
                new IsupMessage.Parameter(IsupMessage.CALLING_PARTYS_CATEGORY, new byte[] {(byte) category}),
                new IsupMessage.Parameter(IsupMessage.TRANSMISSION_MEDIUM_REQUIREMENT, SPEECH),
                new IsupMessage.Parameter(IsupMessage.CALLED_PARTY_NUMBER, CalledPartyNumber.encode(number)),
                new IsupMessage.Parameter(IsupMessage.CALL_REFERENCE, new byte[] {
                    (byte) (callReference >> 16),
                    (byte) (callReference >> 8),
                    (byte) callReference,
                    (byte) pointCode,
                    (byte) (pointCode >> 8)
                }));
    }

    /** Creates an ACM. */
    public static IsupMessage addressComplete(int circuit) {
        return IsupMessage.of(
                circuit,
                IsupMessage.Type.ACM,
                new IsupMessage.Parameter(IsupMessage.BACKWARD_CALL_INDICATORS, DEFAULT_BACKWARD_INDICATORS));
    }

    /** Creates a CON, which combines ACM and ANM. */
    public static IsupMessage connect(int circuit, IsupMessage.Parameter... optional) {
        List<IsupMessage.Parameter> parameters = new ArrayList<>();
        parameters.add(new IsupMessage.Parameter(IsupMessage.BACKWARD_CALL_INDICATORS, DEFAULT_BACKWARD_INDICATORS));
        parameters.addAll(List.of(optional));
        return new IsupMessage(circuit, IsupMessage.Type.CON, parameters);
    }

    /** Creates a REL with a cause (Q.850). */
    public static IsupMessage release(int circuit, int cause, IsupMessage.Parameter... optional) {
        return withCause(circuit, IsupMessage.Type.REL, cause, optional);
    }

    /** Creates a CFN, which reports that a message on this circuit could not be processed. */
    public static IsupMessage confusion(int circuit, int cause) {
        return withCause(circuit, IsupMessage.Type.CFN, cause);
    }

    private static IsupMessage withCause(
            int circuit, IsupMessage.Type type, int cause, IsupMessage.Parameter... optional) {
        List<IsupMessage.Parameter> parameters = new ArrayList<>();
        parameters.add(new IsupMessage.Parameter(
                IsupMessage.CAUSE_INDICATORS, new byte[] {(byte) CAUSE_LOCATION, (byte) (EXTENSION_BIT | cause)}));
        parameters.addAll(List.of(optional));
        return new IsupMessage(circuit, type, parameters);
    }

    /** Returns the cause of a message, or 111 if it cannot be decoded (Q.850: protocol error, unspecified). */
    public static int cause(IsupMessage message) {
        byte[] value = message.parameterValue(IsupMessage.CAUSE_INDICATORS);
        if (value == null || value.length < 2) {
            return IsupMessage.PROTOCOL_ERROR;
        }
        // An extension bit of 0 in octet 1 means that octet 1a follows (Q.763 3.12).
        int causeOffset = (value[0] & EXTENSION_BIT) == 0 ? 2 : 1;
        return causeOffset < value.length ? value[causeOffset] & 0x7f : IsupMessage.PROTOCOL_ERROR;
    }

    /** Creates the automatic congestion level parameter, level 1 or 2 (Q.763 3.4). */
    public static IsupMessage.Parameter automaticCongestionLevel(int level) {
        return new IsupMessage.Parameter(IsupMessage.AUTOMATIC_CONGESTION_LEVEL, new byte[] {(byte) level});
    }

    /** Returns the automatic congestion level of a message, or 0 if it has none. */
    public static int congestionLevel(IsupMessage message) {
        byte[] value = message.parameterValue(IsupMessage.AUTOMATIC_CONGESTION_LEVEL);
        return value == null || value.length < 1 ? 0 : value[0] & 0xff;
    }

    /** Returns the call reference of an IAM, or -1 if it has none. */
    public static int callReference(IsupMessage message) {
        byte[] value = message.parameterValue(IsupMessage.CALL_REFERENCE);
        return value == null || value.length < 3
                ? -1
                : (value[0] & 0xff) << 16 | (value[1] & 0xff) << 8 | value[2] & 0xff;
    }
}
