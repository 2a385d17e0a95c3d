package damsonseam.dns;

import damsonseam.core.LookupResult;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Caches the servers found for each number: fresh for the TTL of the records, then stale for use while no authority
 * responds (RFC 8767). Nonexistent numbers are cached as their SOA record says (RFC 2308 section 5), failed lookups for
 * a second (RFC 9520 section 3.2). The size is bounded; a full cache evicts the least recently used number.
 *
 * <p>Not thread-safe. Times are in milliseconds unless they say otherwise.
 */
public final class LookupCache {
    /** Longest time for which a positive result counts as fresh: one day. */
    private static final double MAX_TTL_MS = 86_400_000;

    /** Longest time for which a negative result counts as fresh: three hours. */
    private static final double MAX_NEGATIVE_TTL_MS = 10_800_000;

    private static final double FAILURE_TTL_MS = 1_000;
    private static final double MS_PER_S = 1_000;

    private final Map<String, Entry> entries;
    /** Numbers evicted at most by one change of the capacity, which bounds its time. */
    private static final int MAX_EVICTIONS_PER_CALL = 1_000;

    private final double staleForMs;
    private final int maxEntries;
    private int capacity;

    private static final class Entry {
        LookupResult result;
        double freshUntil = Double.NEGATIVE_INFINITY;
        double failedUntil = Double.NEGATIVE_INFINITY;
    }

    /**
     * The cached knowledge of a number.
     *
     * @param result the outcome of the last successful lookup, or null if there is none that may still be used
     * @param isFresh whether the result is fresh rather than stale
     * @param failedRecently whether a lookup has failed within the last second
     */
    public record CachedResult(LookupResult result, boolean isFresh, boolean failedRecently) {}

    /**
     * Creates an empty cache.
     *
     * @param maxEntries maximum count of numbers
     * @param staleForMs how long a result may be used after its TTL, in milliseconds
     */
    public LookupCache(int maxEntries, double staleForMs) {
        this.staleForMs = staleForMs;
        this.maxEntries = maxEntries;
        capacity = maxEntries;
        entries = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Entry> eldest) {
                return size() > capacity;
            }
        };
    }

    /** Returns what is cached for a number, or null if nothing is that may be used. */
    public CachedResult find(String number, double now) {
        Entry entry = entries.get(number);
        if (entry == null) {
            return null;
        }
        boolean failed = now < entry.failedUntil;
        boolean usable = entry.result != null && now < entry.freshUntil + staleForMs;
        if (!usable && !failed) {
            entries.remove(number);
            return null;
        }
        return new CachedResult(usable ? entry.result : null, usable && now < entry.freshUntil, failed);
    }

    /** Stores that a number was found, or found not to exist. */
    public void put(String number, LookupResult result, long ttlS, double now) {
        double maxTtlMs = result.outcome() == LookupResult.Outcome.NOT_FOUND ? MAX_NEGATIVE_TTL_MS : MAX_TTL_MS;
        Entry entry = entries.computeIfAbsent(number, n -> new Entry());
        entry.result = result;
        entry.freshUntil = now + Math.min(maxTtlMs, Math.max(0, ttlS) * MS_PER_S);
        entry.failedUntil = Double.NEGATIVE_INFINITY;
    }

    /** Records that no authority gave a usable response; an earlier result remains as a stale one. */
    public void recordFailure(String number, double now) {
        entries.computeIfAbsent(number, n -> new Entry()).failedUntil = now + FAILURE_TTL_MS;
    }

    /**
     * Sets the capacity to a share of the maximum, at most 1. Each call evicts at most a thousand surplus numbers, the
     * least recently used first.
     */
    public void limitCapacity(double share) {
        capacity = Math.max(1, (int) (maxEntries * Math.min(1, share)));
        var eldest = entries.keySet().iterator();
        for (int i = 0; i < MAX_EVICTIONS_PER_CALL && entries.size() > capacity; i++) {
            eldest.next();
            eldest.remove();
        }
    }

    /** Returns the count of cached numbers. */
    public int size() {
        return entries.size();
    }
}
