package damsonseam.overload;

import java.util.SplittableRandom;

/**
 * Admission control by congestion levels for each rank of worth. It compares the expected wait of a call, estimated
 * from the queue ahead of it and the recent cost of a call, and the pressure on memory and tables with the levels of
 * {@link CongestionLevels}. Not thread-safe: each thread uses an instance of its own.
 *
 * <p>The queue is served in order of worth, so a call waits only for calls of its own and higher ranks. The expected
 * wait does not increase with the rank, whereas the levels do, so no call is refused while a lower-worth one is
 * admitted. The only exception concerns a sender whose request rate far exceeds that of the others: its calls above the
 * fair share are refused first, whatever rank they claim.
 */
public final class LevelAdmissionController implements AdmissionController {
    /** Minimum of the overload duration on which the retry advice is based. */
    private static final double MIN_RETRY_AFTER_MS = 100;
    /** Time without a refusal after which an overload has ended; retry advice then starts short again. */
    private static final double OVERLOAD_END_MS = 1_000;
    /** Factor by which each rank tolerates a longer pause of the loop than the rank below it. */
    private static final double PAUSE_TOLERANCE_FACTOR = 4;

    private final OverloadSettings settings;
    private final int ranks;
    private final CongestionLevels levels;
    private final HeavySenderDetector senders;
    private final SplittableRandom random;
    private final double[] refusalDebt;
    private double overloadedSince = Double.NaN;
    private double lastRefusalAt = Double.NEGATIVE_INFINITY;
    private double surplusDebt;
    private long surplusRefusals;

    /** Creates a controller for calls of the given number of ranks. */
    public LevelAdmissionController(OverloadSettings settings, int ranks, long seed) {
        this.settings = settings;
        this.ranks = ranks;
        levels = new CongestionLevels(ranks);
        senders = new HeavySenderDetector(settings.fairMultiple());
        random = new SplittableRandom(seed);
        refusalDebt = new double[ranks];
    }

    @Override
    public long decide(double now, int rank, long sender, Load load) {
        senders.recordRequest(now, sender);
        double lowestRankPressure = pressure(now, 0, load);
        double surplusRefusalShare = CongestionLevels.surplusRefusalShare(lowestRankPressure);
        if (surplusRefusalShare > 0 && random.nextDouble() < senders.surplusShare(sender, levels.isRefusing(rank))) {
            surplusDebt += surplusRefusalShare;
            if (surplusDebt >= 1) {
                surplusDebt -= 1;
                surplusRefusals++;
                return retryAfterMs(now);
            }
        }
        double refusalShare = levels.refusalShare(rank, rank == 0 ? lowestRankPressure : pressure(now, rank, load));
        // Accumulates the share to refuse, so that refusals are spread evenly over the calls of a rank.
        refusalDebt[rank] = refusalShare == 0 ? 0 : refusalDebt[rank] + refusalShare;
        if (refusalDebt[rank] < 1) {
            return ADMIT;
        }
        refusalDebt[rank] -= 1;
        return retryAfterMs(now);
    }

    private double pressure(double now, int rank, Load load) {
        double pause = load.loopPauseMs(now);
        // The remaining length of a pause is unknown; calls of higher worth are admitted longer into it.
        double wait =
                load.queuedAtOrAbove(rank) * load.costPerCallMs() + pause / Math.pow(PAUSE_TOLERANCE_FACTOR, rank);
        double delayPressure = CongestionLevels.pressure(
                wait, settings.delayOnset() / 2, settings.delayOnset(), settings.delayCeiling(), ranks);
        return Math.max(delayPressure, load.pressure(rank));
    }

    /**
     * Returns for how long a refused caller is asked not to retry: about as long as the overload has lasted, since a
     * long overload is likely to continue for some time. The advice is randomized so that callers do not return
     * together.
     */
    private long retryAfterMs(double now) {
        if (now > lastRefusalAt + OVERLOAD_END_MS) {
            overloadedSince = now;
        }
        lastRefusalAt = now;
        double max = settings.maxRetryAfterMs();
        double mean = Math.max(MIN_RETRY_AFTER_MS, now - overloadedSince);
        double retryAfterMs = Math.min(max, mean) * (0.5 + random.nextDouble());
        return Math.round(Math.min(max, retryAfterMs));
    }

    /** Returns the number of calls refused because their sender exceeded its fair share. */
    public long surplusRefusals() {
        return surplusRefusals;
    }

    /** Returns how often refusals of a rank have started. */
    public long onsetCount() {
        return levels.onsetCount();
    }
}
