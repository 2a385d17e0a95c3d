package damsonseam.dns;

import java.nio.ByteBuffer;
import org.xbill.DNS.EDNSOption;
import org.xbill.DNS.GenericEDNSOption;
import org.xbill.DNS.OPTRecord;

/**
 * An EDNS option for local use (RFC 6891 section 9: codes 65001 to 65534). In a query it carries the caller's
 * remaining patience, in a response the advised wait before a redial. Its data are one octet of flags (bit 0: the
 * call is a redial) and four octets of time in milliseconds, 0 for not given. Callers that do not support
 * the option lose nothing.
 *
 * @param redialled whether the call is a redial
 * @param timeMs time until the caller abandons this attempt, or the advised wait, in milliseconds; 0 for not given
 */
public record EdnsCallOption(boolean redialled, long timeMs) {
    /** The option code. */
    public static final int CODE = 65050;
    /** The values that apply to a message without the option. */
    public static final EdnsCallOption NONE = new EdnsCallOption(false, 0);

    private static final int DATA_BYTES = 5;

    /** Encodes the option. */
    public EDNSOption toOption() {
        return new GenericEDNSOption(
                CODE,
                ByteBuffer.allocate(DATA_BYTES)
                        .put((byte) (redialled ? 1 : 0))
                        .putInt((int) Math.min(Integer.MAX_VALUE, timeMs))
                        .array());
    }

    /** Returns the option of an OPT record; {@link #NONE} if there is no record, no such option, or it is too short. */
    public static EdnsCallOption from(OPTRecord opt) {
        if (opt == null) {
            return NONE;
        }
        for (EDNSOption option : opt.getOptions(CODE)) {
            byte[] wire = option.toWire();
            // The wire form starts with the option's code and length, four bytes together.
            if (wire.length >= 4 + DATA_BYTES) {
                ByteBuffer in = ByteBuffer.wrap(wire, 4, DATA_BYTES);
                return new EdnsCallOption((in.get() & 1) != 0, in.getInt() & 0xffffffffL);
            }
        }
        return NONE;
    }
}
