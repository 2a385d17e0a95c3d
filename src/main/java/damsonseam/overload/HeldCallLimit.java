package damsonseam.overload;

/**
 * How many unanswered calls the front can hold without its own work on them making it late. What a moment of the
 * decision module costs grows with the calls it holds, by how much depends on the machine, the servers and what goes
 * wrong: it is learnt. A moment longer than the target says at once how many would have been right; room grows back
 * slowly while the held calls come near it and moments stay short.
 *
 * <p>Guards against a front that takes calls faster than they are answered, whatever the reason, until it spends all
 * its time walking over those that wait: answers are then read late, servers seem slower than they are, more calls
 * wait, and nothing leads back out of it.
 */
public final class HeldCallLimit {
    private static final double TARGET = 8;
    private static final double LEAST = 1_000;
    private static final double GROWS_A_SECOND = 0.5;
    /** A moment that follows a stop, or is the first of its kind, is no measure: one alone takes little away. */
    private static final double LEAST_CUT = 0.7;

    private static final double NEAR = 0.7;
    private static final double SECOND = 1_000;

    private final double most;
    private double limit;
    private double lookedAt = Double.NaN;

    /** Room for at most so many; it starts with all of it. */
    public HeldCallLimit(int most) {
        this.most = Math.max(LEAST, most);
        limit = this.most;
    }

    /** A moment took so long, in milliseconds, with so many calls unanswered. */
    public void recordBatch(double now, double ms, int held) {
        double passed = Double.isNaN(lookedAt) ? 0 : Math.max(0, now - lookedAt);
        lookedAt = now;
        if (ms > TARGET && held > LEAST) {
            double right = Math.min(limit, held) * Math.max(LEAST_CUT, TARGET / ms);
            limit = Math.max(LEAST, Math.min(limit, right));
        } else if (held > NEAR * limit) {
            limit = Math.min(most, limit * (1 + GROWS_A_SECOND * Math.min(1, passed / SECOND)));
        }
    }

    /** Unanswered calls from which on the cheapest are refused. */
    public double limit() {
        return limit;
    }

    /** Pressure in ranks: 0 with the room full, the number of ranks at twice that. */
    public double pressure(int held, int ranks) {
        return CongestionLevels.pressure(held, limit, 2 * limit, ranks);
    }
}
