package damsonseam.overload;

import org.agrona.collections.Long2LongHashMap;

/**
 * Caches recent admission decisions by the fingerprint of the request, so that a retransmitted request gets the same
 * answer and one whose call is open is never refused. Entries are kept in two generations, which makes eviction cheap:
 * an entry is kept for at least the retention time, unless the size limit is reached first and the older generation is
 * evicted early. Not thread-safe.
 */
public final class DecisionCache {
    /** No decision is cached for the request. */
    public static final long UNKNOWN = -2;
    /** The request was admitted and passed to the front's core. */
    public static final long ADMITTED = -1;

    private static final float LOAD_FACTOR = 0.6f;
    private static final int INITIAL_CAPACITY = 1 << 10;

    private final double retentionMs;
    private final int limit;
    private Long2LongHashMap young = newGeneration();
    private Long2LongHashMap old = newGeneration();
    private double rotateAt;
    private long earlyEvictions;

    /**
     * Creates an empty cache.
     *
     * @param retentionMs minimum time for which a decision is kept, in milliseconds
     * @param limit maximum number of decisions in each of the two generations
     */
    public DecisionCache(double retentionMs, int limit) {
        this.retentionMs = retentionMs;
        this.limit = limit;
        rotateAt = Double.NaN;
    }

    private static Long2LongHashMap newGeneration() {
        return new Long2LongHashMap(INITIAL_CAPACITY, LOAD_FACTOR, UNKNOWN, false);
    }

    /** Returns {@link #UNKNOWN}, {@link #ADMITTED}, or the retry advice of a refusal in milliseconds. */
    public long find(long fingerprint, double now) {
        rotateIfDue(now);
        long decision = young.get(fingerprint);
        return decision != UNKNOWN ? decision : old.get(fingerprint);
    }

    /** Stores a decision. */
    public void put(long fingerprint, long decision, double now) {
        if (young.size() >= limit) {
            earlyEvictions += old.size();
            rotate(now);
        }
        young.put(fingerprint, decision);
    }

    private void rotateIfDue(double now) {
        if (Double.isNaN(rotateAt)) {
            rotateAt = now + retentionMs;
        } else if (now >= rotateAt + retentionMs) {
            old = newGeneration();
            rotate(now);
        } else if (now >= rotateAt) {
            rotate(now);
        }
    }

    private void rotate(double now) {
        old = young;
        young = newGeneration();
        rotateAt = now + retentionMs;
    }

    /** Returns the number of cached decisions. */
    public int size() {
        return young.size() + old.size();
    }

    /** Returns the number of decisions evicted before their retention time because the cache was full. */
    public long earlyEvictions() {
        return earlyEvictions;
    }
}
