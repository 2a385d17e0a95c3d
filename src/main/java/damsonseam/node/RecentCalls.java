package damsonseam.node;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of calls that are over and had an attempt at a server. A set-up under such an id is not sent again: every
 * set-up of a caller has a new id, and the former attempt may have run, or may still run. Used on the event loop only;
 * holds at most {@link #MAX_CALLS} ids.
 */
final class RecentCalls {
    /** Beyond that the oldest id is forgotten. */
    private static final int MAX_CALLS = 4_000;
    /** Longer than any attempt stays at a server after its caller has left. */
    private static final double MAX_AGE_MS = 8_000;

    private final Map<String, Double> endedAtMs = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
            return size() > MAX_CALLS;
        }
    };

    /** Remembers the id of a call that has ended. */
    void add(String callId, double now) {
        endedAtMs.remove(callId);
        endedAtMs.put(callId, now);
    }

    /** Returns whether a call with this id has ended recently. */
    boolean contains(String callId, double now) {
        return now - endedAtMs.getOrDefault(callId, Double.NEGATIVE_INFINITY) <= MAX_AGE_MS;
    }
}
