package damsonseam.dns;

import damsonseam.core.LookupResult;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What numbers were found to lead to, for as long as their records say, and beyond that for use when no
 * authority answers (RFC 8767). Numbers that do not exist are kept by their SOA (RFC 2308 5), failures for a
 * second (RFC 9520 3.2). The least lately used makes room where the cache is full.
 */
public final class LookupCache {
    /** Longest time for which anything is taken to be fresh, in milliseconds: a day. */
    private static final double MOST_FRESH = 86_400_000;

    private static final double MOST_NEGATIVE = 10_800_000;
    private static final double FAILURE_SPAN = 1_000;
    private static final double MS_PER_S = 1_000;

    private final Map<String, Entry> entries;
    private static final int MAKES_ROOM = 1_000;
    private final double staleFor;
    private final int limit;
    private int room;

    private static final class Entry {
        LookupResult candidates;
        double freshUntil = Double.NEGATIVE_INFINITY;
        double failedUntil = Double.NEGATIVE_INFINITY;
    }

    /** What the cache knows: fresh, or only stale, and whether a look-up has just failed. */
    public record Known(LookupResult candidates, boolean fresh, boolean justFailed) {}

    /**
     * An empty cache.
     *
     * @param limit numbers kept at most
     * @param staleFor how long an entry is kept past its time, in milliseconds
     */
    public LookupCache(int limit, double staleFor) {
        this.staleFor = staleFor;
        this.limit = limit;
        room = limit;
        entries = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Entry> eldest) {
                return size() > room;
            }
        };
    }

    /** What is known of a number; null if nothing is that may be used. */
    public Known find(String number, double now) {
        Entry entry = entries.get(number);
        if (entry == null) {
            return null;
        }
        boolean failed = now < entry.failedUntil;
        boolean usable = entry.candidates != null && now < entry.freshUntil + staleFor;
        if (!usable && !failed) {
            entries.remove(number);
            return null;
        }
        return new Known(usable ? entry.candidates : null, usable && now < entry.freshUntil, failed);
    }

    /** A number was found, or found not to exist; {@code ttl} is in seconds. */
    public void put(String number, LookupResult candidates, long ttl, double now) {
        double most = candidates.outcome() == LookupResult.Outcome.NOT_FOUND ? MOST_NEGATIVE : MOST_FRESH;
        Entry entry = entries.computeIfAbsent(number, n -> new Entry());
        entry.candidates = candidates;
        entry.freshUntil = now + Math.min(most, Math.max(0, ttl) * MS_PER_S);
        entry.failedUntil = Double.NEGATIVE_INFINITY;
    }

    /** No authority could be made to answer; what was known stays as a stale answer. */
    public void failed(String number, double now) {
        entries.computeIfAbsent(number, n -> new Entry()).failedUntil = now + FAILURE_SPAN;
    }

    /**
     * Gives the cache this share of its room from now on; what is too much goes a thousand numbers a call, the least
     * lately used first.
     */
    public void room(double share) {
        room = Math.max(1, (int) (limit * Math.min(1, share)));
        var eldest = entries.keySet().iterator();
        for (int i = 0; i < MAKES_ROOM && entries.size() > room; i++) {
            eldest.next();
            eldest.remove();
        }
    }

    /** Numbers kept. */
    public int size() {
        return entries.size();
    }
}
