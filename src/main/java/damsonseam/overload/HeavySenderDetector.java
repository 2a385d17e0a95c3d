package damsonseam.overload;

import org.apache.datasketches.frequencies.LongsSketch;
import org.apache.datasketches.hll.HllSketch;

/**
 * Who asks far more than the others. Two windows of half a second, each with a sketch of the heaviest senders
 * (Misra and Gries, as DataSketches has it: the least that a sender can have asked is known, so that no innocent one
 * is taken for heavy) and one of how many senders there are (HyperLogLog). Memory is the same for ten senders and
 * for ten million.
 *
 * <p>A fair share is all that was asked over the number of senders that asked. One sender alone is the only one there
 * is and asks its fair share, whatever that is: a front behind one resolver is not split by this.
 */
public final class HeavySenderDetector {
    private static final double WINDOW = 500;
    private static final int HEAVIEST = 256;
    private static final int LG_K = 10;
    private static final int NETWORK_OCTETS = 8;
    /** Questions before a window says anything: shares of a handful are chance. */
    private static final long FEWEST = 64;

    private final double multiple;
    private Window now;
    private Window last;
    private double turnAt = Double.NaN;

    private static final class Window {
        final LongsSketch heaviest = new LongsSketch(HEAVIEST);
        final HllSketch senders = new HllSketch(LG_K);
        long asked;
        double fairShare = Double.NaN;

        /** The fair share of the window that has ended, in questions. */
        double fair() {
            if (Double.isNaN(fairShare)) {
                fairShare = asked / Math.max(1, senders.getEstimate());
            }
            return fairShare;
        }
    }

    /** Senders above {@code multiple} fair shares are heavy. */
    public HeavySenderDetector(double multiple) {
        this.multiple = multiple;
        now = new Window();
        last = new Window();
    }

    /**
     * The sender that an address counts as: an IPv4 address, or the first 64 bits of an IPv6 one, as whoever has one
     * address of such a network has them all.
     */
    public static long senderKey(byte[] address) {
        return hash(address, Math.min(address.length, NETWORK_OCTETS));
    }

    /** A hash of a whole address, as FNV-1a mixes it. */
    public static long hash(byte[] address) {
        return hash(address, address.length);
    }

    private static long hash(byte[] octets, int length) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < length; i++) {
            h = (h ^ octets[i] & 0xff) * 0x100000001b3L;
        }
        return h;
    }

    /** A sender, by a hash of its address, asks. */
    public void recordRequest(double at, long sender) {
        if (Double.isNaN(turnAt) || at >= turnAt) {
            last = !Double.isNaN(turnAt) && at < turnAt + WINDOW ? now : new Window();
            now = new Window();
            turnAt = at + WINDOW;
        }
        now.heaviest.update(sender);
        now.senders.update(sender);
        now.asked++;
    }

    /**
     * The share of what this sender asks that is above what it may fairly ask, 0 to 1, by the last whole window. A
     * sender that begins to flood is seen half a second later; until then all pay, by worth.
     *
     * @param tight whether one fair share is all there is, and not several
     */
    public double surplusShare(long sender, boolean tight) {
        if (last.asked < FEWEST) {
            return 0;
        }
        double may = (tight ? 1 : multiple) * last.fair();
        double did = last.heaviest.getLowerBound(sender);
        return did <= may ? 0 : 1 - may / did;
    }
}
