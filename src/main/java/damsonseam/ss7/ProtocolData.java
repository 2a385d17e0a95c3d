package damsonseam.ss7;

import java.nio.ByteBuffer;

/**
 * The protocol data of a DATA message (RFC 4666 section 3.3.1): the MTP routing label and one ISUP message.
 *
 * @param opc originating point code
 * @param dpc destination point code
 * @param sls signalling link selection; the same for all messages of a circuit, which keeps them in sequence
 * @param isup the encoded ISUP message, starting with the circuit identification code
 */
public record ProtocolData(int opc, int dpc, int sls, byte[] isup) {
    private static final int ROUTING_LABEL_BYTES = 12;
    private static final int SERVICE_INDICATOR_ISUP = 5;
    private static final int NETWORK_INDICATOR_NATIONAL = 2;

    /** Returns the DATA message that carries this protocol data. */
    public M3uaMessage toMessage() {
        ByteBuffer out = ByteBuffer.allocate(ROUTING_LABEL_BYTES + isup.length);
        out.putInt(opc)
                .putInt(dpc)
                .put((byte) SERVICE_INDICATOR_ISUP)
                .put((byte) NETWORK_INDICATOR_NATIONAL)
                .put((byte) 0);
        out.put((byte) sls).put(isup);
        return M3uaMessage.of(M3uaMessage.Kind.DATA, new M3uaMessage.Parameter(M3uaMessage.PROTOCOL_DATA, out.array()));
    }

    /** Decodes the protocol data of a DATA message. */
    public static ProtocolData from(M3uaMessage message) throws SignallingProtocolException {
        byte[] value = message.parameterValue(M3uaMessage.PROTOCOL_DATA);
        if (value == null) {
            throw new SignallingProtocolException(M3uaMessage.MISSING_PARAMETER, "DATA without protocol data");
        }
        if (value.length < ROUTING_LABEL_BYTES) {
            throw new SignallingProtocolException(
                    M3uaMessage.PARAMETER_FIELD_ERROR,
                    "protocol data of " + value.length + " octets, at least " + ROUTING_LABEL_BYTES + " are required");
        }
        ByteBuffer in = ByteBuffer.wrap(value);
        int opc = in.getInt();
        int dpc = in.getInt();
        int serviceIndicator = in.get();
        if (serviceIndicator != SERVICE_INDICATOR_ISUP) {
            throw new SignallingProtocolException(
                    M3uaMessage.INVALID_PARAMETER_VALUE,
                    "service indicator " + serviceIndicator + ", expected " + SERVICE_INDICATOR_ISUP);
        }
        in.get();
        in.get();
        int sls = in.get() & 0xff;
        byte[] isup = new byte[in.remaining()];
        in.get(isup);
        return new ProtocolData(opc, dpc, sls, isup);
    }
}
