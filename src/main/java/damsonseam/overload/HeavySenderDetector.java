package damsonseam.overload;

import org.apache.datasketches.frequencies.LongsSketch;
import org.apache.datasketches.hll.HllSketch;

/**
 * Detects senders whose request rate far exceeds that of the others. Two windows of half a second each hold a
 * frequent-items sketch (Misra-Gries, as implemented by DataSketches) and a HyperLogLog sketch of the number of
 * senders. The frequent-items sketch gives a lower bound of a sender's requests, so that no sender is considered heavy
 * by mistake. Memory use does not depend on the number of senders. Not thread-safe.
 *
 * <p>The fair share is the number of requests divided by the number of senders. A single sender therefore never exceeds
 * its fair share, and a front whose requests all come from one resolver is not affected.
 */
public final class HeavySenderDetector {
    private static final double WINDOW_MS = 500;
    private static final int MAX_SKETCH_ENTRIES = 256;
    private static final int HLL_LG_K = 10;
    private static final int NETWORK_BYTES = 8;
    /** Minimum number of requests in a window for it to be evaluated; shares of fewer are due to chance. */
    private static final long MIN_REQUESTS = 64;

    private final double multiple;
    private Window current;
    private Window previous;
    private double windowEnd = Double.NaN;

    private static final class Window {
        final LongsSketch heaviest = new LongsSketch(MAX_SKETCH_ENTRIES);
        final HllSketch senders = new HllSketch(HLL_LG_K);
        long requests;
        double fairShare = Double.NaN;

        /** Returns the fair share of a completed window, in requests. */
        double fairShare() {
            if (Double.isNaN(fairShare)) {
                fairShare = requests / Math.max(1, senders.getEstimate());
            }
            return fairShare;
        }
    }

    /** Creates a detector that considers senders above {@code multiple} fair shares heavy. */
    public HeavySenderDetector(double multiple) {
        this.multiple = multiple;
        current = new Window();
        previous = new Window();
    }

    /**
     * Returns the key of the sender to which an address is attributed: the whole IPv4 address, or the first 64 bits of
     * an IPv6 address, since a sender usually controls all addresses of such a network.
     */
    public static long senderKey(byte[] address) {
        return hash(address, Math.min(address.length, NETWORK_BYTES));
    }

    /** Returns the FNV-1a hash of a whole address. */
    public static long hash(byte[] address) {
        return hash(address, address.length);
    }

    private static long hash(byte[] bytes, int length) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < length; i++) {
            h = (h ^ bytes[i] & 0xff) * 0x100000001b3L;
        }
        return h;
    }

    /** Records a request of a sender, identified by {@link #senderKey}. */
    public void recordRequest(double now, long sender) {
        if (Double.isNaN(windowEnd) || now >= windowEnd) {
            previous = !Double.isNaN(windowEnd) && now < windowEnd + WINDOW_MS ? current : new Window();
            current = new Window();
            windowEnd = now + WINDOW_MS;
        }
        current.heaviest.update(sender);
        current.senders.update(sender);
        current.requests++;
    }

    /**
     * Returns the share of a sender's requests above its allowance, 0 to 1, in the last complete window. A flood is
     * therefore detected with a delay of half a second; until then, all senders' calls are refused by worth.
     *
     * @param singleShare whether the allowance is one fair share instead of the configured multiple
     */
    public double surplusShare(long sender, boolean singleShare) {
        if (previous.requests < MIN_REQUESTS) {
            return 0;
        }
        double allowance = (singleShare ? 1 : multiple) * previous.fairShare();
        double requests = previous.heaviest.getLowerBound(sender);
        return requests <= allowance ? 0 : 1 - allowance / requests;
    }
}
