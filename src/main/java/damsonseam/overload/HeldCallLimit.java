package damsonseam.overload;

/**
 * Adaptive limit of the unanswered calls that the front can hold without its own work on them delaying it. The time
 * that the routing policy takes for a batch grows with the calls it holds, at a rate that depends on the machine, the
 * servers and the current faults, so the limit is learned. A batch above the target time lowers the limit at once, in
 * proportion. The limit recovers slowly while the number of held calls approaches it and batches remain short. Not
 * thread-safe.
 *
 * <p>Without the limit, a front that accepts calls faster than they are answered ends up spending all its time on
 * scanning the held ones. Answers are then read late, servers appear slower than they are, more calls are held, and the
 * front does not recover.
 */
public final class HeldCallLimit {
    /** Duration of a batch above which the limit is lowered. */
    private static final double TARGET_BATCH_MS = 8;

    private static final double MIN_LIMIT = 1_000;
    private static final double GROWTH_PER_SECOND = 0.5;
    /**
     * Lower bound of the factor of a single decrease: one batch may be long for other reasons, such as a pause or a
     * cold start.
     */
    private static final double MIN_DECREASE_FACTOR = 0.7;
    /** Share of the limit that must be in use for the limit to grow. */
    private static final double GROWTH_USAGE = 0.7;

    private static final double MS_PER_SECOND = 1_000;

    private final double maxLimit;
    private double limit;
    private double lastBatchAt = Double.NaN;

    /** Creates a limit that starts at its maximum. */
    public HeldCallLimit(int maxLimit) {
        this.maxLimit = Math.max(MIN_LIMIT, maxLimit);
        limit = this.maxLimit;
    }

    /**
     * Records a batch and adjusts the limit.
     *
     * @param durationMs time that the batch took, in milliseconds
     * @param held number of unanswered calls
     */
    public void recordBatch(double now, double durationMs, int held) {
        double elapsed = Double.isNaN(lastBatchAt) ? 0 : Math.max(0, now - lastBatchAt);
        lastBatchAt = now;
        if (durationMs > TARGET_BATCH_MS && held > MIN_LIMIT) {
            double sustainable = Math.min(limit, held) * Math.max(MIN_DECREASE_FACTOR, TARGET_BATCH_MS / durationMs);
            limit = Math.max(MIN_LIMIT, Math.min(limit, sustainable));
        } else if (held > GROWTH_USAGE * limit) {
            limit = Math.min(maxLimit, limit * (1 + GROWTH_PER_SECOND * Math.min(1, elapsed / MS_PER_SECOND)));
        }
    }

    /** Returns the number of unanswered calls above which calls of the lowest rank are refused. */
    public double limit() {
        return limit;
    }

    /** Returns the pressure in ranks: 0 at the limit, the number of ranks at twice the limit. */
    public double pressure(int held, int ranks) {
        return CongestionLevels.pressure(held, limit, 2 * limit, ranks);
    }
}
