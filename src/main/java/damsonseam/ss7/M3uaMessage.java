package damsonseam.ss7;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * One M3UA message (RFC 4666 section 3.1): its class and type, and its parameters in their order. Decoding checks every
 * length against the bytes present before it allocates memory for them.
 *
 * @param kind message class and type
 * @param parameters the parameters, including unknown ones, which receivers ignore (RFC 4666 section 3.2)
 */
public record M3uaMessage(Kind kind, List<Parameter> parameters) {
    /** Size of the common header. */
    public static final int HEADER_BYTES = 8;
    /** Maximum message size: far above any ISUP message and any list of point codes in use. */
    public static final int MAX_FRAME_BYTES = 4096;

    private static final int PARAMETER_HEADER_BYTES = 4;
    private static final int MAX_PARAMETERS = 64;
    private static final int VERSION = 1;

    // Parameter tags (RFC 4666 section 3.2).

    /** Info string: free text. */
    public static final int INFO_STRING = 0x0004;
    /** Routing context: identifies the application server. */
    public static final int ROUTING_CONTEXT = 0x0006;
    /** The first octets of the message that caused an error. */
    public static final int DIAGNOSTIC = 0x0007;
    /** Opaque data of a BEAT, returned by its BEAT ACK. */
    public static final int HEARTBEAT_DATA = 0x0009;
    /** Traffic mode: override, loadshare or broadcast. */
    public static final int TRAFFIC_MODE_TYPE = 0x000b;
    /** The reason of an ERR. */
    public static final int ERROR_CODE = 0x000c;
    /** The event of a NTFY. */
    public static final int STATUS = 0x000d;
    /** Identifies the ASP within its application server. */
    public static final int ASP_IDENTIFIER = 0x0011;
    /** Point codes affected by an SSNM message, each preceded by a mask octet. */
    public static final int AFFECTED_POINT_CODE = 0x0012;
    /** Congestion level of an SCON, 0 to 3. */
    public static final int CONGESTION_INDICATIONS = 0x0205;
    /** Routing label and user message of a DATA, see {@link ProtocolData}. */
    public static final int PROTOCOL_DATA = 0x0210;

    // Error codes (RFC 4666 section 3.8.1).

    /** Unsupported protocol version. */
    public static final int INVALID_VERSION = 0x01;
    /** Unknown message class. */
    public static final int UNSUPPORTED_MESSAGE_CLASS = 0x03;
    /** Unknown message type of a known class. */
    public static final int UNSUPPORTED_MESSAGE_TYPE = 0x04;
    /** Known message that is not expected in the current state. */
    public static final int UNEXPECTED_MESSAGE = 0x06;
    /** Any other violation of the protocol. */
    public static final int PROTOCOL_ERROR = 0x07;
    /** Invalid parameter value. */
    public static final int INVALID_PARAMETER_VALUE = 0x11;
    /** Invalid parameter length. */
    public static final int PARAMETER_FIELD_ERROR = 0x12;
    /** Mandatory parameter missing. */
    public static final int MISSING_PARAMETER = 0x16;

    /** The message kinds in use, by class and type. */
    public enum Kind {
        /** Error (management): a received message was in error. */
        ERR(0, 0),
        /** Notify (management): a change of state. */
        NTFY(0, 1),
        /** Payload data: transfers an MTP user message. */
        DATA(1, 1),
        /** Destination unavailable. */
        DUNA(2, 1),
        /** Destination available. */
        DAVA(2, 2),
        /** Destination state audit. */
        DAUD(2, 3),
        /** Signalling congestion. */
        SCON(2, 4),
        /** Destination user part unavailable. */
        DUPU(2, 5),
        /** Destination restricted. */
        DRST(2, 6),
        /** ASP up. */
        ASPUP(3, 1),
        /** ASP down. */
        ASPDN(3, 2),
        /** Heartbeat. */
        BEAT(3, 3),
        /** ASP up acknowledgement. */
        ASPUP_ACK(3, 4),
        /** ASP down acknowledgement. */
        ASPDN_ACK(3, 5),
        /** Heartbeat acknowledgement. */
        BEAT_ACK(3, 6),
        /** ASP active. */
        ASPAC(4, 1),
        /** ASP inactive. */
        ASPIA(4, 2),
        /** ASP active acknowledgement. */
        ASPAC_ACK(4, 3),
        /** ASP inactive acknowledgement. */
        ASPIA_ACK(4, 4);

        private final int messageClass;
        private final int type;

        Kind(int messageClass, int type) {
            this.messageClass = messageClass;
            this.type = type;
        }

        static Kind of(int messageClass, int type) throws SignallingProtocolException {
            boolean classKnown = false;
            for (Kind kind : values()) {
                classKnown |= kind.messageClass == messageClass;
                if (kind.messageClass == messageClass && kind.type == type) {
                    return kind;
                }
            }
            throw new SignallingProtocolException(
                    classKnown ? UNSUPPORTED_MESSAGE_TYPE : UNSUPPORTED_MESSAGE_CLASS,
                    "message class " + messageClass + ", type " + type);
        }
    }

    /**
     * One parameter.
     *
     * @param tag parameter tag
     * @param value the value, without header and padding
     */
    public record Parameter(int tag, byte[] value) {
        static Parameter ofInt(int tag, int value) {
            return new Parameter(
                    tag, ByteBuffer.allocate(Integer.BYTES).putInt(value).array());
        }
    }

    /** Returns a message with the given parameters. */
    public static M3uaMessage of(Kind kind, Parameter... parameters) {
        return new M3uaMessage(kind, List.of(parameters));
    }

    /** Returns an ERR about a message, with up to 40 octets of it (RFC 4666 section 3.8.1). */
    public static M3uaMessage error(int code, byte[] message) {
        int length = Math.min(message.length, 40);
        return of(
                Kind.ERR,
                Parameter.ofInt(ERROR_CODE, code),
                new Parameter(DIAGNOSTIC, java.util.Arrays.copyOf(message, length)));
    }

    /** Returns a message about one destination: DUNA, DAVA or SCON. */
    public static M3uaMessage destinationState(Kind kind, int pointCode, Parameter... optional) {
        List<Parameter> parameters = new ArrayList<>();
        parameters.add(Parameter.ofInt(AFFECTED_POINT_CODE, pointCode));
        parameters.addAll(List.of(optional));
        return new M3uaMessage(kind, parameters);
    }

    /** Returns the congestion indications parameter of an SCON. */
    public static Parameter congestionIndications(int level) {
        return Parameter.ofInt(CONGESTION_INDICATIONS, level);
    }

    /** Returns the value of a parameter, or null if the message has no such parameter. */
    public byte[] parameterValue(int tag) {
        for (Parameter p : parameters) {
            if (p.tag() == tag) {
                return p.value();
            }
        }
        return null;
    }

    /** Returns the value of a 32-bit parameter, or -1 if the message has no such parameter. */
    public int intParameter(int tag) throws SignallingProtocolException {
        byte[] value = parameterValue(tag);
        if (value == null) {
            return -1;
        }
        if (value.length < Integer.BYTES) {
            throw new SignallingProtocolException(
                    PARAMETER_FIELD_ERROR,
                    "parameter " + tag + " has " + value.length + " octets, expected " + Integer.BYTES);
        }
        return ByteBuffer.wrap(value).getInt();
    }

    /** Encodes the message. */
    public byte[] encode() {
        int length = HEADER_BYTES;
        for (Parameter p : parameters) {
            length += PARAMETER_HEADER_BYTES + paddedLength(p.value().length);
        }
        ByteBuffer out = ByteBuffer.allocate(length);
        out.put((byte) VERSION).put((byte) 0).put((byte) kind.messageClass).put((byte) kind.type);
        out.putInt(length);
        for (Parameter p : parameters) {
            out.putShort((short) p.tag()).putShort((short) (PARAMETER_HEADER_BYTES + p.value().length));
            out.put(p.value());
            out.position(out.position() + paddedLength(p.value().length) - p.value().length);
        }
        return out.array();
    }

    /**
     * Decodes a whole message.
     *
     * @throws SignallingProtocolException with the error code to be returned to the sender
     */
    public static M3uaMessage decode(byte[] message) throws SignallingProtocolException {
        if (message.length < HEADER_BYTES) {
            throw new SignallingProtocolException(PROTOCOL_ERROR, "message of " + message.length + " octets");
        }
        ByteBuffer in = ByteBuffer.wrap(message);
        int version = in.get();
        if (version != VERSION) {
            throw new SignallingProtocolException(INVALID_VERSION, "version " + version + ", expected " + VERSION);
        }
        in.get();
        int messageClass = in.get() & 0xff;
        int type = in.get() & 0xff;
        int length = in.getInt();
        if (length != message.length) {
            throw new SignallingProtocolException(
                    PROTOCOL_ERROR,
                    "length " + Integer.toUnsignedString(length) + " in a message of " + message.length + " octets");
        }
        Kind kind = Kind.of(messageClass, type);
        List<Parameter> parameters = new ArrayList<>(2);
        while (in.hasRemaining()) {
            parameters.add(decodeParameter(in));
            if (parameters.size() > MAX_PARAMETERS) {
                throw new SignallingProtocolException(PROTOCOL_ERROR, "more than " + MAX_PARAMETERS + " parameters");
            }
        }
        return new M3uaMessage(kind, parameters);
    }

    private static Parameter decodeParameter(ByteBuffer in) throws SignallingProtocolException {
        if (in.remaining() < PARAMETER_HEADER_BYTES) {
            throw new SignallingProtocolException(PARAMETER_FIELD_ERROR, "truncated parameter header");
        }
        int tag = in.getShort() & 0xffff;
        int length = (in.getShort() & 0xffff) - PARAMETER_HEADER_BYTES;
        if (length < 0 || length > in.remaining()) {
            throw new SignallingProtocolException(
                    PARAMETER_FIELD_ERROR,
                    "parameter " + tag + " has length " + length + ", but only " + in.remaining() + " octets remain");
        }
        byte[] value = new byte[length];
        in.get(value);
        // The last padding may be missing, as a parameter length does not include it (RFC 4666 section 3.2).
        in.position(Math.min(in.limit(), in.position() + paddedLength(length) - length));
        return new Parameter(tag, value);
    }

    private static int paddedLength(int length) {
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
