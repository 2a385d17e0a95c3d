package damsonseam.ss7;

import java.util.ArrayList;
import java.util.List;

/** The ISUP messages that both sides of a trunk group send, in one place. */
public final class IsupMessages {
    private static final byte[] NO_SATELLITE = {0};
    private static final byte[] FORWARD = {0x20, 0x01};
    private static final byte[] BACKWARD = {0x16, 0x14};
    private static final byte[] SPEECH = {0};
    /** Location "network beyond interworking point", ITU-T coding. */
    private static final int LOCATION = 0x8a;

    private static final int EXTENSION = 0x80;

    private IsupMessages() {}

    /**
     * A set-up.
     *
     * @param category calling party's category (Q.763 3.11)
     * @param callReference low three octets of the call's id, which both ends write in their logs
     */
    public static IsupMessage initialAddress(
            int circuit, String number, int category, long callReference, int pointCode) {
        return IsupMessage.of(
                circuit,
                IsupMessage.Type.IAM,
                new IsupMessage.Parameter(IsupMessage.NATURE_OF_CONNECTION_INDICATORS, NO_SATELLITE),
                new IsupMessage.Parameter(IsupMessage.FORWARD_CALL_INDICATORS, FORWARD),
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

    /** Address complete. */
    public static IsupMessage addressComplete(int circuit) {
        return IsupMessage.of(
                circuit,
                IsupMessage.Type.ACM,
                new IsupMessage.Parameter(IsupMessage.BACKWARD_CALL_INDICATORS, BACKWARD));
    }

    /** Connect: complete and answered at once. */
    public static IsupMessage connect(int circuit, IsupMessage.Parameter... more) {
        List<IsupMessage.Parameter> all = new ArrayList<>();
        all.add(new IsupMessage.Parameter(IsupMessage.BACKWARD_CALL_INDICATORS, BACKWARD));
        all.addAll(List.of(more));
        return new IsupMessage(circuit, IsupMessage.Type.CON, all);
    }

    /** A release with a cause (Q.850). */
    public static IsupMessage release(int circuit, int cause, IsupMessage.Parameter... more) {
        return causing(circuit, IsupMessage.Type.REL, cause, more);
    }

    /** Confusion: a message on this circuit could not be understood. */
    public static IsupMessage confusion(int circuit, int cause) {
        return causing(circuit, IsupMessage.Type.CFN, cause);
    }

    private static IsupMessage causing(int circuit, IsupMessage.Type type, int cause, IsupMessage.Parameter... more) {
        List<IsupMessage.Parameter> all = new ArrayList<>();
        all.add(new IsupMessage.Parameter(
                IsupMessage.CAUSE_INDICATORS, new byte[] {(byte) LOCATION, (byte) (EXTENSION | cause)}));
        all.addAll(List.of(more));
        return new IsupMessage(circuit, type, all);
    }

    /** The cause of a message, or 111 where it can't be read (Q.850: protocol error, unspecified). */
    public static int cause(IsupMessage message) {
        byte[] value = message.parameterValue(IsupMessage.CAUSE_INDICATORS);
        if (value == null || value.length < 2) {
            return IsupMessage.PROTOCOL_ERROR;
        }
        // An octet 1a may follow octet 1, told by its extension bit (Q.763 3.12).
        int at = (value[0] & EXTENSION) == 0 ? 2 : 1;
        return at < value.length ? value[at] & 0x7f : IsupMessage.PROTOCOL_ERROR;
    }

    /** The automatic congestion level, 1 or 2 (Q.763 3.4). */
    public static IsupMessage.Parameter automaticCongestionLevel(int level) {
        return new IsupMessage.Parameter(IsupMessage.AUTOMATIC_CONGESTION_LEVEL, new byte[] {(byte) level});
    }

    /** The automatic congestion level of a message, 0 if it has none. */
    public static int congestionLevel(IsupMessage message) {
        byte[] value = message.parameterValue(IsupMessage.AUTOMATIC_CONGESTION_LEVEL);
        return value == null || value.length < 1 ? 0 : value[0] & 0xff;
    }

    /** The call reference of a set-up, or -1. */
    public static int callReference(IsupMessage message) {
        byte[] v = message.parameterValue(IsupMessage.CALL_REFERENCE);
        return v == null || v.length < 3 ? -1 : (v[0] & 0xff) << 16 | (v[1] & 0xff) << 8 | v[2] & 0xff;
    }
}
