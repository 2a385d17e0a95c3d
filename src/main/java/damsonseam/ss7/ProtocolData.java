package damsonseam.ss7;

import java.nio.ByteBuffer;

/**
 * The protocol data of a DATA message (RFC 4666 3.3.1): the MTP routing label and one ISUP message.
 *
 * @param opc originating point code
 * @param dpc destination point code
 * @param sls signalling link selection; all messages of a circuit use the same, which keeps their order
 * @param isup the octets of the ISUP message, from the circuit identification code on
 */
public record ProtocolData(int opc, int dpc, int sls, byte[] isup) {
    private static final int LABEL = 12;
    private static final int SERVICE_ISUP = 5;
    private static final int NATIONAL = 2;

    /** The DATA message that carries this. */
    public M3uaMessage toMessage() {
        ByteBuffer out = ByteBuffer.allocate(LABEL + isup.length);
        out.putInt(opc)
                .putInt(dpc)
                .put((byte) SERVICE_ISUP)
                .put((byte) NATIONAL)
                .put((byte) 0);
        out.put((byte) sls).put(isup);
        return M3uaMessage.of(M3uaMessage.Kind.DATA, new M3uaMessage.Parameter(M3uaMessage.PROTOCOL_DATA, out.array()));
    }

    /** Reads the protocol data of a DATA message. */
    public static ProtocolData from(M3uaMessage message) throws SignallingProtocolException {
        byte[] value = message.parameterValue(M3uaMessage.PROTOCOL_DATA);
        if (value == null) {
            throw new SignallingProtocolException(M3uaMessage.MISSING_PARAMETER, "a DATA without protocol data");
        }
        if (value.length < LABEL) {
            throw new SignallingProtocolException(
                    M3uaMessage.PARAMETER_FIELD_ERROR,
                    "protocol data of " + value.length + " octets, at least " + LABEL + " are needed");
        }
        ByteBuffer in = ByteBuffer.wrap(value);
        int opc = in.getInt();
        int dpc = in.getInt();
        int service = in.get();
        if (service != SERVICE_ISUP) {
            throw new SignallingProtocolException(
                    M3uaMessage.INVALID_PARAMETER_VALUE, "service indicator " + service + ", expected " + SERVICE_ISUP);
        }
        in.get();
        in.get();
        int sls = in.get() & 0xff;
        byte[] isup = new byte[in.remaining()];
        in.get(isup);
        return new ProtocolData(opc, dpc, sls, isup);
    }
}
