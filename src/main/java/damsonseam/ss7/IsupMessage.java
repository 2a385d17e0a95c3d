package damsonseam.ss7;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/**
 * One ISUP message (ITU-T Q.763 section 1): circuit, type and parameters. Encoding and decoding share one table of the
 * parameters of each message type, so that they agree.
 *
 * @param circuit circuit identification code
 * @param type message type
 * @param parameters the mandatory parameters in the order of the table, then the optional ones
 */
public record IsupMessage(int circuit, Type type, List<Parameter> parameters) {
    // Parameter codes (Q.763 table 5).

    /** Ends the optional part. */
    public static final int END_OF_OPTIONAL_PARAMETERS = 0x00;
    /** Call reference: three octets of call identity, two of a point code. */
    public static final int CALL_REFERENCE = 0x01;
    /** Transmission medium requirement: speech, unrestricted and so on. */
    public static final int TRANSMISSION_MEDIUM_REQUIREMENT = 0x02;
    /** Called party number, see {@link CalledPartyNumber}. */
    public static final int CALLED_PARTY_NUMBER = 0x04;
    /** Nature of connection indicators: satellite, continuity check and so on. */
    public static final int NATURE_OF_CONNECTION_INDICATORS = 0x06;
    /** Forward call indicators: how the call may be carried. */
    public static final int FORWARD_CALL_INDICATORS = 0x07;
    /** Calling party's category. */
    public static final int CALLING_PARTYS_CATEGORY = 0x09;
    /** Backward call indicators: properties of the called side. */
    public static final int BACKWARD_CALL_INDICATORS = 0x11;
    /** Cause indicators: why a circuit is released. */
    public static final int CAUSE_INDICATORS = 0x12;
    /** Range and status: the circuits of a group message. */
    public static final int RANGE_AND_STATUS = 0x16;
    /** Event information of a CPG. */
    public static final int EVENT_INFORMATION = 0x24;
    /** Automatic congestion level of the sender, 1 or 2. */
    public static final int AUTOMATIC_CONGESTION_LEVEL = 0x27;
    /** A calculator's load report (national use), see {@link LoadReportParameter}. */
    public static final int LOAD_REPORT = 0xfa;

    // Cause values (ITU-T Q.850).

    /** Normal call clearing. */
    public static final int NORMAL_CLEARING = 16;
    /** User busy: all lines of the number are in use. */
    public static final int USER_BUSY = 17;
    /** No circuit or channel available. */
    public static final int NO_CIRCUIT_AVAILABLE = 34;
    /** Temporary failure, expected to pass soon. */
    public static final int TEMPORARY_FAILURE = 41;
    /** Switching equipment congestion: the processor rejects set-ups. */
    public static final int SWITCHING_EQUIPMENT_CONGESTION = 42;
    /** Message type non-existent or not implemented. */
    public static final int MESSAGE_TYPE_UNKNOWN = 97;
    /** Recovery on timer expiry: the sender stopped waiting. */
    public static final int RECOVERY_ON_TIMER_EXPIRY = 102;
    /** Protocol error, unspecified. */
    public static final int PROTOCOL_ERROR = 111;

    private static final int MAX_PARAMETERS = 32;
    /** Largest value of a pointer, which is one octet. */
    private static final int MAX_POINTER = 255;

    private static final int HEADER_BYTES = 3;

    /**
     * The message types in use, each with its code, the mandatory fixed parameters (code and length alternating), the
     * mandatory variable parameters, and whether it has an optional part.
     */
    public enum Type {
        /** Initial address: sets a call up. */
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
        /** Connect: address complete and answer in one. */
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
        /** Blocking acknowledgement. */
        BLA(0x15, new int[0], new int[0], false),
        /** Unblocking acknowledgement. */
        UBA(0x16, new int[0], new int[0], false),
        /** Circuit group reset. */
        GRS(0x17, new int[0], new int[] {RANGE_AND_STATUS}, false),
        /** Circuit group reset acknowledgement. */
        GRA(0x29, new int[0], new int[] {RANGE_AND_STATUS}, false),
        /** Call progress. */
        CPG(0x2c, new int[] {EVENT_INFORMATION, 1}, new int[0], true),
        /** Confusion: a received message could not be processed. */
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
        private final boolean hasOptionalPart;

        Type(int code, int[] fixed, int[] variable, boolean hasOptionalPart) {
            this.code = code;
            this.fixed = fixed;
            this.variable = variable;
            this.hasOptionalPart = hasOptionalPart;
        }
    }

    /**
     * One parameter.
     *
     * @param code parameter code
     * @param value the contents, without code and length
     */
    public record Parameter(int code, byte[] value) {}

    /** Returns a message with the given parameters. */
    public static IsupMessage of(int circuit, Type type, Parameter... parameters) {
        return new IsupMessage(circuit, type, List.of(parameters));
    }

    /** Returns the contents of a parameter, or null if the message has no such parameter. */
    public byte[] parameterValue(int code) {
        for (Parameter p : parameters) {
            if (p.code() == code) {
                return p.value();
            }
        }
        return null;
    }

    /** Encodes the message, starting with the circuit identification code. */
    public byte[] encode() {
        ByteArrayOutputStream out = new ByteArrayOutputStream(48);
        out.write(circuit);
        out.write(circuit >> 8);
        out.write(type.code);
        for (int i = 0; i < type.fixed.length; i += 2) {
            byte[] value = mandatoryValue(type.fixed[i]);
            if (value.length != type.fixed[i + 1]) {
                throw new IllegalArgumentException(type + ": parameter " + type.fixed[i] + " has " + value.length
                        + " octets, expected " + type.fixed[i + 1]);
            }
            out.writeBytes(value);
        }
        // A pointer is the distance from its own octet to the length octet of its parameter (Q.763 1.5).
        int pointerCount = type.variable.length + (type.hasOptionalPart ? 1 : 0);
        int offset = pointerCount;
        for (int i = 0; i < type.variable.length; i++) {
            out.write(offset - i);
            offset += 1 + mandatoryValue(type.variable[i]).length;
        }
        boolean hasOptional = parameters.stream().anyMatch(p -> isOptional(p.code()));
        if (type.hasOptionalPart) {
            if (offset - type.variable.length > MAX_POINTER) {
                throw new IllegalArgumentException(type + ": mandatory variable part of " + offset + " octets");
            }
            out.write(hasOptional ? offset - type.variable.length : 0);
        }
        for (int code : type.variable) {
            writeWithLength(out, mandatoryValue(code));
        }
        if (hasOptional) {
            parameters.stream().filter(p -> isOptional(p.code())).forEach(p -> {
                out.write(p.code());
                writeWithLength(out, p.value());
            });
            out.write(END_OF_OPTIONAL_PARAMETERS);
        }
        return out.toByteArray();
    }

    private static void writeWithLength(ByteArrayOutputStream out, byte[] value) {
        if (value.length > 255) {
            throw new IllegalArgumentException("parameter of " + value.length + " octets, maximum 255");
        }
        out.write(value.length);
        out.writeBytes(value);
    }

    private byte[] mandatoryValue(int code) {
        byte[] value = parameterValue(code);
        if (value == null) {
            throw new IllegalArgumentException(type + " requires parameter " + code);
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
     * Decodes a message.
     *
     * @throws SignallingProtocolException with the cause value to be returned in a CFN or REL
     */
    public static IsupMessage decode(byte[] in) throws SignallingProtocolException {
        if (in.length < HEADER_BYTES) {
            throw new SignallingProtocolException(PROTOCOL_ERROR, "ISUP message of " + in.length + " octets");
        }
        int circuit = (in[0] & 0xff) | (in[1] & 0x0f) << 8;
        Type type = Type.BY_CODE[in[2] & 0xff];
        if (type == null) {
            throw new SignallingProtocolException(MESSAGE_TYPE_UNKNOWN, "unknown ISUP message type " + (in[2] & 0xff));
        }
        List<Parameter> parameters = new ArrayList<>(6);
        int offset = HEADER_BYTES;
        for (int i = 0; i < type.fixed.length; i += 2) {
            parameters.add(new Parameter(type.fixed[i], copyRange(in, offset, type.fixed[i + 1])));
            offset += type.fixed[i + 1];
        }
        int variablePartBytes = type.variable.length;
        for (int code : type.variable) {
            int start = offset + octetAt(in, offset);
            if (start == offset) {
                throw new SignallingProtocolException(PROTOCOL_ERROR, "no pointer to mandatory parameter " + code);
            }
            parameters.add(new Parameter(code, copyRange(in, start + 1, octetAt(in, start))));
            variablePartBytes += 1 + octetAt(in, start);
            offset++;
        }
        if (variablePartBytes > MAX_POINTER) {
            // Overlapping parameters can fit into the message, but once they are encoded no pointer reaches past them.
            throw new SignallingProtocolException(
                    PROTOCOL_ERROR, "mandatory variable part of " + variablePartBytes + " octets");
        }
        if (type.hasOptionalPart && offset < in.length && octetAt(in, offset) != 0) {
            decodeOptionalPart(in, offset + octetAt(in, offset), parameters);
        }
        return new IsupMessage(circuit, type, parameters);
    }

    private static void decodeOptionalPart(byte[] in, int start, List<Parameter> parameters)
            throws SignallingProtocolException {
        int offset = start;
        for (int code = octetAt(in, offset); code != END_OF_OPTIONAL_PARAMETERS; code = octetAt(in, offset)) {
            int length = octetAt(in, offset + 1);
            parameters.add(new Parameter(code, copyRange(in, offset + 2, length)));
            offset += 2 + length;
            if (parameters.size() > MAX_PARAMETERS) {
                throw new SignallingProtocolException(PROTOCOL_ERROR, "more than " + MAX_PARAMETERS + " parameters");
            }
        }
    }

    private static int octetAt(byte[] in, int offset) throws SignallingProtocolException {
        if (offset >= in.length) {
            throw new SignallingProtocolException(PROTOCOL_ERROR, "message truncated at octet " + offset);
        }
        return in[offset] & 0xff;
    }

    private static byte[] copyRange(byte[] in, int from, int length) throws SignallingProtocolException {
        if (from + length > in.length) {
            throw new SignallingProtocolException(
                    PROTOCOL_ERROR, "parameter of " + length + " octets at octet " + from + " of " + in.length);
        }
        return java.util.Arrays.copyOfRange(in, from, from + length);
    }
}
