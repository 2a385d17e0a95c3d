package damsonseam.dns;

import java.util.Arrays;

/**
 * Which authority to ask next and how long to wait for it, from what its answers and silences told. The wait is
 * the smoothed round trip and four deviations (RFC 6298 2), doubled for each silence in a row; an authority that
 * is lame or silent is asked last, and now and then, until it answers again.
 */
public final class AuthoritySelector {
    /** Waits lie between these, in milliseconds: a caller waits seconds, a loopback answers in microseconds. */
    private static final double LEAST_WAIT = 20;

    private static final double MOST_WAIT = 1_000;
    /** The wait before anything is known of an authority: far lower than callers bear, above a busy link's. */
    private static final double FIRST_WAIT = 200;
    /** How long an authority stays last choice after it was lame. */
    private static final double LAME_SPAN = 5_000;
    /** Silences in a row after which an authority counts as out, and how often it is tried all the same. */
    private static final int OUT_AFTER = 3;

    private static final double RETRY_SPAN = 1_000;
    private static final int MOST_DOUBLINGS = 6;

    private static final class Health {
        double smoothed = Double.NaN;
        double deviation;
        int silences;
        double lameUntil = Double.NEGATIVE_INFINITY;
        double triedAt = Double.NEGATIVE_INFINITY;
    }

    private final Health[] all;

    /** So many authorities of which nothing is known. */
    public AuthoritySelector(int count) {
        if (count < 1) {
            throw new IllegalArgumentException("at least one authority is needed");
        }
        all = new Health[count];
        Arrays.setAll(all, i -> new Health());
    }

    /** The one to ask: of those asked least for this question the one that should answer first. */
    public int select(int[] asked, double now) {
        int best = 0;
        for (int i = 1; i < all.length; i++) {
            if (better(i, best, asked, now)) {
                best = i;
            }
        }
        all[best].triedAt = now;
        return best;
    }

    private boolean better(int i, int best, int[] asked, double now) {
        // One that seems out is tried for a question of its own now and then, which finds it when it is back.
        boolean due = asked[i] == 0 && out(i, now) && now - all[i].triedAt >= RETRY_SPAN;
        boolean bestDue = asked[best] == 0 && out(best, now) && now - all[best].triedAt >= RETRY_SPAN;
        boolean first = asked[i] == 0 && Arrays.stream(asked).sum() == 0;
        if (first && due != bestDue) {
            return due;
        }
        if (asked[i] != asked[best]) {
            return asked[i] < asked[best];
        }
        if (out(i, now) != out(best, now)) {
            return !out(i, now);
        }
        return trip(i) < trip(best);
    }

    private double trip(int i) {
        return Double.isNaN(all[i].smoothed) ? 0 : all[i].smoothed;
    }

    private boolean out(int i, double now) {
        return now < all[i].lameUntil || all[i].silences >= OUT_AFTER;
    }

    /** How long to wait for an answer of this one, in milliseconds. */
    public double timeoutMs(int i) {
        Health h = all[i];
        double wait = Double.isNaN(h.smoothed) ? FIRST_WAIT : h.smoothed + 4 * h.deviation;
        wait = Math.max(LEAST_WAIT, wait) * (1 << Math.min(h.silences, MOST_DOUBLINGS));
        return Math.min(MOST_WAIT, wait);
    }

    /** It answered after so long. */
    public void recordResponse(int i, double delay) {
        Health h = all[i];
        h.silences = 0;
        if (Double.isNaN(h.smoothed)) {
            h.smoothed = delay;
            h.deviation = delay / 2;
        } else {
            h.deviation += (Math.abs(delay - h.smoothed) - h.deviation) / 4;
            h.smoothed += (delay - h.smoothed) / 8;
        }
    }

    /** It did not answer in time. */
    public void recordTimeout(int i) {
        all[i].silences++;
    }

    /** It answered that it does not serve what it should. */
    public void recordLame(int i, double now) {
        all[i].lameUntil = now + LAME_SPAN;
    }

    /** How many there are. */
    public int count() {
        return all.length;
    }
}
