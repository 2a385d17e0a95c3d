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
    public static Isup setUp(int circuit, String number, int category, long callReference, int pointCode) {
        return Isup.of(
                circuit,
                Isup.Type.IAM,
                new Isup.Parameter(Isup.CONNECTION, NO_SATELLITE),
                new Isup.Parameter(Isup.FORWARD, FORWARD),
                new Isup.Parameter(Isup.CATEGORY, new byte[] {(byte) category}),
                new Isup.Parameter(Isup.MEDIUM, SPEECH),
                new Isup.Parameter(Isup.CALLED_NUMBER, Digits.encode(number)),
                new Isup.Parameter(Isup.CALL_REFERENCE, new byte[] {
                    (byte) (callReference >> 16),
                    (byte) (callReference >> 8),
                    (byte) callReference,
                    (byte) pointCode,
                    (byte) (pointCode >> 8)
                }));
    }

    /** Address complete. */
    public static Isup complete(int circuit) {
        return Isup.of(circuit, Isup.Type.ACM, new Isup.Parameter(Isup.BACKWARD, BACKWARD));
    }

    /** Connect: complete and answered at once. */
    public static Isup connect(int circuit, Isup.Parameter... more) {
        List<Isup.Parameter> all = new ArrayList<>();
        all.add(new Isup.Parameter(Isup.BACKWARD, BACKWARD));
        all.addAll(List.of(more));
        return new Isup(circuit, Isup.Type.CON, all);
    }

    /** A release with a cause (Q.850). */
    public static Isup release(int circuit, int cause, Isup.Parameter... more) {
        return causing(circuit, Isup.Type.REL, cause, more);
    }

    /** Confusion: a message on this circuit could not be understood. */
    public static Isup confusion(int circuit, int cause) {
        return causing(circuit, Isup.Type.CFN, cause);
    }

    private static Isup causing(int circuit, Isup.Type type, int cause, Isup.Parameter... more) {
        List<Isup.Parameter> all = new ArrayList<>();
        all.add(new Isup.Parameter(Isup.CAUSE, new byte[] {(byte) LOCATION, (byte) (EXTENSION | cause)}));
        all.addAll(List.of(more));
        return new Isup(circuit, type, all);
    }

    /** The cause of a message, or 111 where it can't be read (Q.850: protocol error, unspecified). */
    public static int cause(Isup message) {
        byte[] value = message.value(Isup.CAUSE);
        if (value == null || value.length < 2) {
            return Isup.PROTOCOL_ERROR;
        }
        // An octet 1a may follow octet 1, told by its extension bit (Q.763 3.12).
        int at = (value[0] & EXTENSION) == 0 ? 2 : 1;
        return at < value.length ? value[at] & 0x7f : Isup.PROTOCOL_ERROR;
    }

    /** The automatic congestion level, 1 or 2 (Q.763 3.4). */
    public static Isup.Parameter congestion(int level) {
        return new Isup.Parameter(Isup.CONGESTION_LEVEL, new byte[] {(byte) level});
    }

    /** The automatic congestion level of a message, 0 if it has none. */
    public static int congestionLevel(Isup message) {
        byte[] value = message.value(Isup.CONGESTION_LEVEL);
        return value == null || value.length < 1 ? 0 : value[0] & 0xff;
    }

    /** The call reference of a set-up, or -1. */
    public static int callReference(Isup message) {
        byte[] v = message.value(Isup.CALL_REFERENCE);
        return v == null || v.length < 3 ? -1 : (v[0] & 0xff) << 16 | (v[1] & 0xff) << 8 | v[2] & 0xff;
    }
}
