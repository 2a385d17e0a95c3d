package damsonseam.dns;

import java.nio.ByteBuffer;
import org.xbill.DNS.EDNSOption;
import org.xbill.DNS.GenericEDNSOption;
import org.xbill.DNS.OPTRecord;

/**
 * An EDNS option of local use (RFC 6891 9: codes 65001 to 65534) with which a caller may tell more than the
 * number, and the front how long to stay away. One octet of flags (1: dials again), four octets of time in
 * milliseconds: in a question the time until the caller gives this try up, in an answer the advised wait; 0 is
 * not given. Callers that do not know it lose nothing.
 *
 * @param redialled whether the caller dials again
 * @param timeMs milliseconds, 0 for not given
 */
public record EdnsCallOption(boolean redialled, long timeMs) {
    /** The option's code. */
    public static final int CODE = 65050;
    /** Nothing told. */
    public static final EdnsCallOption NONE = new EdnsCallOption(false, 0);

    private static final int LENGTH = 5;

    /** The option. */
    public EDNSOption toOption() {
        return new GenericEDNSOption(
                CODE,
                ByteBuffer.allocate(LENGTH)
                        .put((byte) (redialled ? 1 : 0))
                        .putInt((int) Math.min(Integer.MAX_VALUE, timeMs))
                        .array());
    }

    /** What a message's OPT record tells; nothing if there is none or it is too short. */
    public static EdnsCallOption from(OPTRecord opt) {
        if (opt == null) {
            return NONE;
        }
        for (EDNSOption option : opt.getOptions(CODE)) {
            byte[] wire = option.toWire();
            // The option's own code and length stand before its data.
            if (wire.length >= 4 + LENGTH) {
                ByteBuffer in = ByteBuffer.wrap(wire, 4, LENGTH);
                return new EdnsCallOption((in.get() & 1) != 0, in.getInt() & 0xffffffffL);
            }
        }
        return NONE;
    }
}
