package damsonseam.ss7;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * One M3UA message (RFC 4666 3.1): its class and type and its parameters in their order. Decoding checks every
 * length against what is there before it takes any room.
 *
 * @param kind class and type
 * @param parameters the parameters, unknown ones included (RFC 4666 3.2 asks that they be passed over)
 */
public record M3uaMessage(Kind kind, List<Parameter> parameters) {
    /** Octets of the common header. */
    public static final int HEADER_BYTES = 8;
    /** Longest frame taken: far above any ISUP message and any list of point codes in use. */
    public static final int MAX_FRAME_BYTES = 4096;

    private static final int PARAMETER_HEADER = 4;
    private static final int MOST_PARAMETERS = 64;
    private static final int VERSION = 1;

    /** Parameter tags (RFC 4666 3.2). */
    public static final int INFO_STRING = 0x0004;
    /** The application server that the traffic is for. */
    public static final int ROUTING_CONTEXT = 0x0006;
    /** The start of the frame that an error is about. */
    public static final int DIAGNOSTIC = 0x0007;
    /** What a BEAT ACK must repeat. */
    public static final int HEARTBEAT_DATA = 0x0009;
    /** Override, loadshare or broadcast. */
    public static final int TRAFFIC_MODE_TYPE = 0x000b;
    /** Why an ERR was sent. */
    public static final int ERROR_CODE = 0x000c;
    /** What a NTFY tells. */
    public static final int STATUS = 0x000d;
    /** Which process of an application server this is. */
    public static final int ASP_IDENTIFIER = 0x0011;
    /** Point codes that an SSNM message is about, each after a mask octet. */
    public static final int AFFECTED_POINT_CODE = 0x0012;
    /** The congestion level of an SCON, 0 to 3. */
    public static final int CONGESTION_INDICATIONS = 0x0205;
    /** The routing label and the ISUP message of a DATA. */
    public static final int PROTOCOL_DATA = 0x0210;

    /** Error codes (RFC 4666 3.8.1). */
    public static final int INVALID_VERSION = 0x01;
    /** A class that the specification does not have. */
    public static final int UNSUPPORTED_MESSAGE_CLASS = 0x03;
    /** A type that its class does not have. */
    public static final int UNSUPPORTED_MESSAGE_TYPE = 0x04;
    /** A known message that may not come in this state. */
    public static final int UNEXPECTED_MESSAGE = 0x06;
    /** Anything else that is wrong. */
    public static final int PROTOCOL_ERROR = 0x07;
    /** A parameter's value can't be. */
    public static final int INVALID_PARAMETER_VALUE = 0x11;
    /** A parameter's length can't be. */
    public static final int PARAMETER_FIELD_ERROR = 0x12;
    /** A parameter that must be there is not. */
    public static final int MISSING_PARAMETER = 0x16;

    /** The messages in use, by class and type. */
    public enum Kind {
        /** Management: an error in what was received. */
        ERR(0, 0),
        /** Management: a change of state. */
        NTFY(0, 1),
        /** Transfer of an MTP user's message. */
        DATA(1, 1),
        /** Destinations that can't be reached. */
        DUNA(2, 1),
        /** Destinations that can be reached again. */
        DAVA(2, 2),
        /** Asks for the state of destinations. */
        DAUD(2, 3),
        /** Destinations that are congested, and how much. */
        SCON(2, 4),
        /** A user part that is not there. */
        DUPU(2, 5),
        /** Destinations reached with difficulty. */
        DRST(2, 6),
        /** The process is up. */
        ASPUP(3, 1),
        /** The process goes down. */
        ASPDN(3, 2),
        /** Heartbeat. */
        BEAT(3, 3),
        /** Answer to ASPUP. */
        ASPUP_ACK(3, 4),
        /** Answer to ASPDN. */
        ASPDN_ACK(3, 5),
        /** Answer to BEAT. */
        BEAT_ACK(3, 6),
        /** The process takes traffic. */
        ASPAC(4, 1),
        /** The process takes no more traffic. */
        ASPIA(4, 2),
        /** Answer to ASPAC. */
        ASPAC_ACK(4, 3),
        /** Answer to ASPIA. */
        ASPIA_ACK(4, 4);

        private final int messageClass;
        private final int type;

        Kind(int messageClass, int type) {
            this.messageClass = messageClass;
            this.type = type;
        }

        static Kind of(int messageClass, int type) throws SignallingProtocolException {
            boolean known = false;
            for (Kind kind : values()) {
                known |= kind.messageClass == messageClass;
                if (kind.messageClass == messageClass && kind.type == type) {
                    return kind;
                }
            }
            throw new SignallingProtocolException(
                    known ? UNSUPPORTED_MESSAGE_TYPE : UNSUPPORTED_MESSAGE_CLASS,
                    "message class " + messageClass + ", type " + type);
        }
    }

    /** One parameter: its tag and the octets of its value, without padding. */
    public record Parameter(int tag, byte[] value) {
        static Parameter ofInt(int tag, int value) {
            return new Parameter(
                    tag, ByteBuffer.allocate(Integer.BYTES).putInt(value).array());
        }
    }

    /** A message with these parameters. */
    public static M3uaMessage of(Kind kind, Parameter... parameters) {
        return new M3uaMessage(kind, List.of(parameters));
    }

    /** An error about a frame, with up to 40 octets of it (RFC 4666 3.8.1). */
    public static M3uaMessage error(int code, byte[] about) {
        int length = Math.min(about.length, 40);
        return of(
                Kind.ERR,
                Parameter.ofInt(ERROR_CODE, code),
                new Parameter(DIAGNOSTIC, java.util.Arrays.copyOf(about, length)));
    }

    /** A message about one destination: DUNA, DAVA or SCON. */
    public static M3uaMessage destinationState(Kind kind, int pointCode, Parameter... more) {
        List<Parameter> all = new ArrayList<>();
        all.add(Parameter.ofInt(AFFECTED_POINT_CODE, pointCode));
        all.addAll(List.of(more));
        return new M3uaMessage(kind, all);
    }

    /** The congestion level of an SCON. */
    public static Parameter congestionIndications(int level) {
        return Parameter.ofInt(CONGESTION_INDICATIONS, level);
    }

    /** The value of a parameter, or null. */
    public byte[] parameterValue(int tag) {
        for (Parameter p : parameters) {
            if (p.tag() == tag) {
                return p.value();
            }
        }
        return null;
    }

    /** The value of a 32-bit parameter, or -1 if it is not there. */
    public int intParameter(int tag) throws SignallingProtocolException {
        byte[] value = parameterValue(tag);
        if (value == null) {
            return -1;
        }
        if (value.length < Integer.BYTES) {
            throw new SignallingProtocolException(
                    PARAMETER_FIELD_ERROR,
                    "parameter " + tag + " of " + value.length + " octets, expected " + Integer.BYTES);
        }
        return ByteBuffer.wrap(value).getInt();
    }

    /** The whole frame. */
    public byte[] encode() {
        int length = HEADER_BYTES;
        for (Parameter p : parameters) {
            length += PARAMETER_HEADER + padded(p.value().length);
        }
        ByteBuffer out = ByteBuffer.allocate(length);
        out.put((byte) VERSION).put((byte) 0).put((byte) kind.messageClass).put((byte) kind.type);
        out.putInt(length);
        for (Parameter p : parameters) {
            out.putShort((short) p.tag()).putShort((short) (PARAMETER_HEADER + p.value().length));
            out.put(p.value());
            out.position(out.position() + padded(p.value().length) - p.value().length);
        }
        return out.array();
    }

    /**
     * Reads a whole frame.
     *
     * @throws SignallingProtocolException with the error code that goes back to the sender
     */
    public static M3uaMessage decode(byte[] frame) throws SignallingProtocolException {
        if (frame.length < HEADER_BYTES) {
            throw new SignallingProtocolException(PROTOCOL_ERROR, "a frame of " + frame.length + " octets");
        }
        ByteBuffer in = ByteBuffer.wrap(frame);
        int version = in.get();
        if (version != VERSION) {
            throw new SignallingProtocolException(INVALID_VERSION, "version " + version + ", expected " + VERSION);
        }
        in.get();
        int messageClass = in.get() & 0xff;
        int type = in.get() & 0xff;
        int length = in.getInt();
        if (length != frame.length) {
            throw new SignallingProtocolException(
                    PROTOCOL_ERROR,
                    "length " + Integer.toUnsignedString(length) + " in a frame of " + frame.length + " octets");
        }
        Kind kind = Kind.of(messageClass, type);
        List<Parameter> parameters = new ArrayList<>(2);
        while (in.hasRemaining()) {
            parameters.add(parameter(in));
            if (parameters.size() > MOST_PARAMETERS) {
                throw new SignallingProtocolException(PROTOCOL_ERROR, "over " + MOST_PARAMETERS + " parameters");
            }
        }
        return new M3uaMessage(kind, parameters);
    }

    private static Parameter parameter(ByteBuffer in) throws SignallingProtocolException {
        if (in.remaining() < PARAMETER_HEADER) {
            throw new SignallingProtocolException(PARAMETER_FIELD_ERROR, "a parameter cut off in its header");
        }
        int tag = in.getShort() & 0xffff;
        int length = (in.getShort() & 0xffff) - PARAMETER_HEADER;
        if (length < 0 || length > in.remaining()) {
            throw new SignallingProtocolException(
                    PARAMETER_FIELD_ERROR,
                    "parameter " + tag + " says " + length + " octets where " + in.remaining() + " are left");
        }
        byte[] value = new byte[length];
        in.get(value);
        // The padding of the last parameter may be missing (RFC 4666 3.2: it is not part of its length).
        in.position(Math.min(in.limit(), in.position() + padded(length) - length));
        return new Parameter(tag, value);
    }

    private static int padded(int length) {
        return (length + 3) & ~3;
    }

    @Override
    public String toString() {
        return kind
                + parameters.stream()
                        .map(p -> " 0x" + Integer.toHexString(p.tag()))
                        .toList()
                        .toString();
    }
}
