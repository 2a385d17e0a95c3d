package damsonseam.node;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Attempts at one server that were cancelled after they had been sent and have no final response yet: a 200 that
 * crossed the CANCEL is followed by a BYE. Used on the event loop only; holds at most {@link #MAX_ATTEMPTS}.
 */
final class CancelledAttempts {
    /** Beyond that the oldest attempt is forgotten. */
    private static final int MAX_ATTEMPTS = 1_000;

    /**
     * A cancelled attempt.
     *
     * @param callId the Call-ID
     * @param requestUri the Request-URI of its INVITE
     * @param connection the connection on which the INVITE and the CANCEL were sent
     */
    record CancelledAttempt(String callId, String requestUri, ServerConnection connection) {}

    private final Map<String, CancelledAttempt> byKey = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, CancelledAttempt> eldest) {
            return size() > MAX_ATTEMPTS;
        }
    };

    void add(ServerAttempt attempt) {
        NodeCall call = attempt.nodeCall;
        byKey.put(attempt.key(), new CancelledAttempt(call.callId, call.requestUri, attempt.connection));
    }

    /** Removes and returns the attempt with this key, or returns null if there is none. */
    CancelledAttempt remove(String key) {
        return byKey.remove(key);
    }

    /** Removes and returns the attempts on a closed connection, whose responses will not come any more. */
    List<CancelledAttempt> removeAll(ServerConnection connection) {
        List<CancelledAttempt> lost = new ArrayList<>();
        byKey.values().removeIf(attempt -> attempt.connection == connection && lost.add(attempt));
        return lost;
    }
}
