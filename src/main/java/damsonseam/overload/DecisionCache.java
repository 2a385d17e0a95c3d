package damsonseam.overload;

import org.agrona.collections.Long2LongHashMap;

/**
 * What was decided for each question lately, by its fingerprint: a question sent again must get the same answer, and
 * one whose call is open must never be refused. Two generations, so that forgetting costs nothing: each is kept for
 * at least the given time unless the limit is reached first; then the older one goes early.
 */
public final class DecisionCache {
    /** Nothing is known of the question. */
    public static final long UNKNOWN = -2;
    /** The question was handed on to the front's core. */
    public static final long ADMITTED = -1;

    private static final float FILL = 0.6f;
    private static final int FIRST = 1 << 10;

    private final double keep;
    private final int limit;
    private Long2LongHashMap young = map();
    private Long2LongHashMap old = map();
    private double turnAt;
    private long earlyEvictions;

    /**
     * An empty memory.
     *
     * @param keep milliseconds for which what was decided must be known
     * @param limit questions in each of the two generations at most
     */
    public DecisionCache(double keep, int limit) {
        this.keep = keep;
        this.limit = limit;
        turnAt = Double.NaN;
    }

    private static Long2LongHashMap map() {
        return new Long2LongHashMap(FIRST, FILL, UNKNOWN, false);
    }

    /** What was decided: {@link #UNKNOWN}, {@link #ADMITTED}, or the advice given with a refusal in milliseconds. */
    public long find(long fingerprint, double now) {
        turn(now);
        long known = young.get(fingerprint);
        return known != UNKNOWN ? known : old.get(fingerprint);
    }

    /** Keeps what was decided. */
    public void put(long fingerprint, long decided, double now) {
        if (young.size() >= limit) {
            earlyEvictions += old.size();
            swap(now);
        }
        young.put(fingerprint, decided);
    }

    private void turn(double now) {
        if (Double.isNaN(turnAt)) {
            turnAt = now + keep;
        } else if (now >= turnAt + keep) {
            old = map();
            swap(now);
        } else if (now >= turnAt) {
            swap(now);
        }
    }

    private void swap(double now) {
        old = young;
        young = map();
        turnAt = now + keep;
    }

    /** Questions kept. */
    public int size() {
        return young.size() + old.size();
    }

    /** Questions that were forgotten before their time for want of room. */
    public long earlyEvictions() {
        return earlyEvictions;
    }
}
