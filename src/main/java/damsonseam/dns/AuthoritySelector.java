package damsonseam.dns;

import java.util.Arrays;

/**
 * Selects the authoritative name server for the next query and the timeout of that query, from the round-trip times
 * and timeouts seen so far. The timeout is the smoothed round-trip time plus four times its deviation (RFC 6298
 * section 2), doubled for each consecutive timeout. An authority that is lame or does not respond is selected last,
 * apart from an occasional query that finds out whether it is back.
 *
 * <p>Not thread-safe; it belongs to the thread of its {@link Resolver}. Times are in milliseconds.
 */
public final class AuthoritySelector {
    /** Bounds of the timeout: callers wait for seconds, while an authority on loopback responds in microseconds. */
    private static final double MIN_TIMEOUT_MS = 20;

    private static final double MAX_TIMEOUT_MS = 1_000;
    /** The timeout without a round-trip sample: far below callers' patience, above the delay of a busy link. */
    private static final double INITIAL_TIMEOUT_MS = 200;
    /** How long an authority remains the last choice after a lame response. */
    private static final double LAME_PERIOD_MS = 5_000;
    /** Consecutive timeouts after which an authority counts as unavailable. */
    private static final int MAX_CONSECUTIVE_TIMEOUTS = 3;

    /** Interval at which an unavailable authority gets a query nevertheless. */
    private static final double RETRY_INTERVAL_MS = 1_000;

    private static final int MAX_BACKOFF_DOUBLINGS = 6;

    private static final class Health {
        double smoothedRttMs = Double.NaN;
        double rttDeviationMs;
        int consecutiveTimeouts;
        double lameUntil = Double.NEGATIVE_INFINITY;
        double lastQueryAt = Double.NEGATIVE_INFINITY;
    }

    private final Health[] authorities;

    /** Creates a selector for {@code count} authorities without any history. */
    public AuthoritySelector(int count) {
        if (count < 1) {
            throw new IllegalArgumentException("at least one authority is required");
        }
        authorities = new Health[count];
        Arrays.setAll(authorities, i -> new Health());
    }

    /**
     * Selects the authority for the next query of a lookup: the one expected to respond first among those that this
     * lookup has queried least.
     *
     * @param queriesSent queries that the lookup has sent so far, by authority
     */
    public int select(int[] queriesSent, double now) {
        int best = 0;
        for (int i = 1; i < authorities.length; i++) {
            if (isBetter(i, best, queriesSent, now)) {
                best = i;
            }
        }
        authorities[best].lastQueryAt = now;
        return best;
    }

    private boolean isBetter(int i, int best, int[] queriesSent, double now) {
        // An unavailable authority gets the first query of a lookup from time to time, which detects its recovery.
        boolean retryDue =
                queriesSent[i] == 0 && isUnavailable(i, now) && now - authorities[i].lastQueryAt >= RETRY_INTERVAL_MS;
        boolean bestRetryDue = queriesSent[best] == 0
                && isUnavailable(best, now)
                && now - authorities[best].lastQueryAt >= RETRY_INTERVAL_MS;
        boolean firstQuery = queriesSent[i] == 0 && Arrays.stream(queriesSent).sum() == 0;
        if (firstQuery && retryDue != bestRetryDue) {
            return retryDue;
        }
        if (queriesSent[i] != queriesSent[best]) {
            return queriesSent[i] < queriesSent[best];
        }
        if (isUnavailable(i, now) != isUnavailable(best, now)) {
            return !isUnavailable(i, now);
        }
        return expectedRttMs(i) < expectedRttMs(best);
    }

    private double expectedRttMs(int i) {
        return Double.isNaN(authorities[i].smoothedRttMs) ? 0 : authorities[i].smoothedRttMs;
    }

    private boolean isUnavailable(int i, double now) {
        return now < authorities[i].lameUntil || authorities[i].consecutiveTimeouts >= MAX_CONSECUTIVE_TIMEOUTS;
    }

    /** Returns how long to wait for a response of this authority, in milliseconds. */
    public double timeoutMs(int i) {
        Health health = authorities[i];
        double timeoutMs = Double.isNaN(health.smoothedRttMs)
                ? INITIAL_TIMEOUT_MS
                : health.smoothedRttMs + 4 * health.rttDeviationMs;
        timeoutMs = Math.max(MIN_TIMEOUT_MS, timeoutMs)
                * (1 << Math.min(health.consecutiveTimeouts, MAX_BACKOFF_DOUBLINGS));
        return Math.min(MAX_TIMEOUT_MS, timeoutMs);
    }

    /** Records a response that took {@code rttMs}. */
    public void recordResponse(int i, double rttMs) {
        Health health = authorities[i];
        health.consecutiveTimeouts = 0;
        if (Double.isNaN(health.smoothedRttMs)) {
            health.smoothedRttMs = rttMs;
            health.rttDeviationMs = rttMs / 2;
        } else {
            health.rttDeviationMs += (Math.abs(rttMs - health.smoothedRttMs) - health.rttDeviationMs) / 4;
            health.smoothedRttMs += (rttMs - health.smoothedRttMs) / 8;
        }
    }

    /** Records that a query timed out. */
    public void recordTimeout(int i) {
        authorities[i].consecutiveTimeouts++;
    }

    /** Records a response that shows that the authority does not serve the zone. */
    public void recordLame(int i, double now) {
        authorities[i].lameUntil = now + LAME_PERIOD_MS;
    }

    /** Returns the number of authorities. */
    public int count() {
        return authorities.length;
    }
}
