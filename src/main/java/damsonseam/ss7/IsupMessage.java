package damsonseam.ss7;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/**
 * One ISUP message (ITU-T Q.763 1): circuit, type, and its parameters, read and written by one table of what
 * each type holds, so that both ways agree.
 *
 * @param circuit circuit identification code
 * @param type what it is
 * @param parameters mandatory ones first, in the table's order, then the optional ones
 */
public record IsupMessage(int circuit, Type type, List<Parameter> parameters) {
    /** Parameter codes (Q.763 table 5). */
    public static final int END_OF_OPTIONAL_PARAMETERS = 0x00;
    /** Three octets of call identity and two of a point code. */
    public static final int CALL_REFERENCE = 0x01;
    /** Speech, unrestricted and so on. */
    public static final int TRANSMISSION_MEDIUM_REQUIREMENT = 0x02;
    /** The digits called. */
    public static final int CALLED_PARTY_NUMBER = 0x04;
    /** Satellite, continuity check and so on. */
    public static final int NATURE_OF_CONNECTION_INDICATORS = 0x06;
    /** How the call may be carried. */
    public static final int FORWARD_CALL_INDICATORS = 0x07;
    /** What kind of caller it is. */
    public static final int CALLING_PARTYS_CATEGORY = 0x09;
    /** How the called side answers. */
    public static final int BACKWARD_CALL_INDICATORS = 0x11;
    /** Why a circuit is released. */
    public static final int CAUSE_INDICATORS = 0x12;
    /** CircuitAllocator that a group message is about. */
    public static final int RANGE_AND_STATUS = 0x16;
    /** What a CPG tells. */
    public static final int EVENT_INFORMATION = 0x24;
    /** How congested the sender is, 1 or 2. */
    public static final int AUTOMATIC_CONGESTION_LEVEL = 0x27;
    /** A calculator's load report (national use), see {@link LoadReportParameter}. */
    public static final int LOAD_REPORT = 0xfa;

    /** Causes (ITU-T Q.850). */
    public static final int NORMAL_CLEARING = 16;
    /** All lines of the number are in use. */
    public static final int USER_BUSY = 17;
    /** No circuit is available. */
    public static final int NO_CIRCUIT_AVAILABLE = 34;
    /** A signalling fault that is thought to pass. */
    public static final int TEMPORARY_FAILURE = 41;
    /** The processor turns set-ups away. */
    public static final int SWITCHING_EQUIPMENT_CONGESTION = 42;
    /** The message does not exist or is not known here. */
    public static final int MESSAGE_TYPE_UNKNOWN = 97;
    /** The sender gave up waiting. */
    public static final int RECOVERY_ON_TIMER_EXPIRY = 102;
    /** Anything else that is wrong with a message. */
    public static final int PROTOCOL_ERROR = 111;

    private static final int MOST_PARAMETERS = 32;
    private static final int MOST_POINTER = 255;
    private static final int HEADER = 3;

    /** The messages in use: their code, fixed parts (code and length in turn), variable parts, optional part. */
    public enum Type {
        /** Initial address: a set-up. */
        IAM(
                0x01,
                new int[] {
                    NATURE_OF_CONNECTION_INDICATORS,
                    1,
                    FORWARD_CALL_INDICATORS,
                    2,
                    CALLING_PARTYS_CATEGORY,
                    1,
                    TRANSMISSION_MEDIUM_REQUIREMENT,
                    1
                },
                new int[] {CALLED_PARTY_NUMBER},
                true),
        /** Address complete. */
        ACM(0x06, new int[] {BACKWARD_CALL_INDICATORS, 2}, new int[0], true),
        /** Connect: complete and answered at once. */
        CON(0x07, new int[] {BACKWARD_CALL_INDICATORS, 2}, new int[0], true),
        /** Answer. */
        ANM(0x09, new int[0], new int[0], true),
        /** Release. */
        REL(0x0c, new int[0], new int[] {CAUSE_INDICATORS}, true),
        /** Release complete. */
        RLC(0x10, new int[0], new int[0], true),
        /** Reset circuit. */
        RSC(0x12, new int[0], new int[0], false),
        /** Blocking. */
        BLO(0x13, new int[0], new int[0], false),
        /** Unblocking. */
        UBL(0x14, new int[0], new int[0], false),
        /** Blocking acknowledged. */
        BLA(0x15, new int[0], new int[0], false),
        /** Unblocking acknowledged. */
        UBA(0x16, new int[0], new int[0], false),
        /** Group reset. */
        GRS(0x17, new int[0], new int[] {RANGE_AND_STATUS}, false),
        /** Group reset acknowledged. */
        GRA(0x29, new int[0], new int[] {RANGE_AND_STATUS}, false),
        /** Call progress. */
        CPG(0x2c, new int[] {EVENT_INFORMATION, 1}, new int[0], true),
        /** Confusion: a message that could not be understood. */
        CFN(0x2f, new int[0], new int[] {CAUSE_INDICATORS}, true);

        private static final Type[] BY_CODE = new Type[256];

        static {
            for (Type type : values()) {
                BY_CODE[type.code] = type;
            }
        }

        private final int code;
        private final int[] fixed;
        private final int[] variable;
        private final boolean optional;

        Type(int code, int[] fixed, int[] variable, boolean optional) {
            this.code = code;
            this.fixed = fixed;
            this.variable = variable;
            this.optional = optional;
        }
    }

    /** One parameter: its code and its octets. */
    public record Parameter(int code, byte[] value) {}

    /** A message with these parameters. */
    public static IsupMessage of(int circuit, Type type, Parameter... parameters) {
        return new IsupMessage(circuit, type, List.of(parameters));
    }

    /** The octets of a parameter, or null. */
    public byte[] parameterValue(int code) {
        for (Parameter p : parameters) {
            if (p.code() == code) {
                return p.value();
            }
        }
        return null;
    }

    /** The octets of the message, from the circuit identification code on. */
    public byte[] encode() {
        ByteArrayOutputStream out = new ByteArrayOutputStream(48);
        out.write(circuit);
        out.write(circuit >> 8);
        out.write(type.code);
        for (int i = 0; i < type.fixed.length; i += 2) {
            byte[] value = mandatory(type.fixed[i]);
            if (value.length != type.fixed[i + 1]) {
                throw new IllegalArgumentException(type + ": parameter " + type.fixed[i] + " has " + value.length
                        + " octets, expected " + type.fixed[i + 1]);
            }
            out.writeBytes(value);
        }
        // Pointers count from their own octet to the length octet of what they point to (Q.763 1.5).
        int pointers = type.variable.length + (type.optional ? 1 : 0);
        int offset = pointers;
        for (int i = 0; i < type.variable.length; i++) {
            out.write(offset - i);
            offset += 1 + mandatory(type.variable[i]).length;
        }
        boolean any = parameters.stream().anyMatch(p -> isOptional(p.code()));
        if (type.optional) {
            if (offset - type.variable.length > MOST_POINTER) {
                throw new IllegalArgumentException(type + ": mandatory parts of " + offset + " octets");
            }
            out.write(any ? offset - type.variable.length : 0);
        }
        for (int code : type.variable) {
            write(out, mandatory(code));
        }
        if (any) {
            parameters.stream().filter(p -> isOptional(p.code())).forEach(p -> {
                out.write(p.code());
                write(out, p.value());
            });
            out.write(END_OF_OPTIONAL_PARAMETERS);
        }
        return out.toByteArray();
    }

    private static void write(ByteArrayOutputStream out, byte[] value) {
        if (value.length > 255) {
            throw new IllegalArgumentException("a parameter of " + value.length + " octets, at most 255");
        }
        out.write(value.length);
        out.writeBytes(value);
    }

    private byte[] mandatory(int code) {
        byte[] value = parameterValue(code);
        if (value == null) {
            throw new IllegalArgumentException(type + " needs parameter " + code);
        }
        return value;
    }

    private boolean isOptional(int code) {
        for (int i = 0; i < type.fixed.length; i += 2) {
            if (type.fixed[i] == code) {
                return false;
            }
        }
        for (int variable : type.variable) {
            if (variable == code) {
                return false;
            }
        }
        return true;
    }

    /**
     * Reads a message.
     *
     * @throws SignallingProtocolException with the cause that a CFN or a REL would carry
     */
    public static IsupMessage decode(byte[] in) throws SignallingProtocolException {
        if (in.length < HEADER) {
            throw new SignallingProtocolException(PROTOCOL_ERROR, "an ISUP message of " + in.length + " octets");
        }
        int circuit = (in[0] & 0xff) | (in[1] & 0x0f) << 8;
        Type type = Type.BY_CODE[in[2] & 0xff];
        if (type == null) {
            throw new SignallingProtocolException(MESSAGE_TYPE_UNKNOWN, "ISUP message type " + (in[2] & 0xff));
        }
        List<Parameter> parameters = new ArrayList<>(6);
        int at = HEADER;
        for (int i = 0; i < type.fixed.length; i += 2) {
            parameters.add(new Parameter(type.fixed[i], slice(in, at, type.fixed[i + 1])));
            at += type.fixed[i + 1];
        }
        int reach = type.variable.length;
        for (int code : type.variable) {
            int start = at + octet(in, at);
            if (start == at) {
                throw new SignallingProtocolException(PROTOCOL_ERROR, "no pointer to parameter " + code);
            }
            parameters.add(new Parameter(code, slice(in, start + 1, octet(in, start))));
            reach += 1 + octet(in, start);
            at++;
        }
        if (reach > MOST_POINTER) {
            // Laid over other parts it fits the frame, but no pointer reaches past it: it can't be sent on.
            throw new SignallingProtocolException(PROTOCOL_ERROR, "mandatory parts of " + reach + " octets");
        }
        if (type.optional && at < in.length && octet(in, at) != 0) {
            optional(in, at + octet(in, at), parameters);
        }
        return new IsupMessage(circuit, type, parameters);
    }

    private static void optional(byte[] in, int from, List<Parameter> into) throws SignallingProtocolException {
        int at = from;
        for (int code = octet(in, at); code != END_OF_OPTIONAL_PARAMETERS; code = octet(in, at)) {
            int length = octet(in, at + 1);
            into.add(new Parameter(code, slice(in, at + 2, length)));
            at += 2 + length;
            if (into.size() > MOST_PARAMETERS) {
                throw new SignallingProtocolException(PROTOCOL_ERROR, "over " + MOST_PARAMETERS + " parameters");
            }
        }
    }

    private static int octet(byte[] in, int at) throws SignallingProtocolException {
        if (at >= in.length) {
            throw new SignallingProtocolException(PROTOCOL_ERROR, "cut off at octet " + at);
        }
        return in[at] & 0xff;
    }

    private static byte[] slice(byte[] in, int from, int length) throws SignallingProtocolException {
        if (from + length > in.length) {
            throw new SignallingProtocolException(
                    PROTOCOL_ERROR, "a parameter of " + length + " octets at octet " + from + " of " + in.length);
        }
        return java.util.Arrays.copyOfRange(in, from, from + length);
    }
}
