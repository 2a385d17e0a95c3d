package damsonseam.overload;

import java.util.SplittableRandom;

/**
 * Whether a call is taken, decided before anything is spent on it. One gate serves one thread. What it weighs is the
 * wait that a call of this rank would meet, foreseen from what is queued before it and from what a call has cost
 * lately, and the pressure on memory and tables; see {@link CongestionLevels} for what follows from it.
 *
 * <p>The queue is served by worth, so a call waits for those of its own rank and the dearer ones only. Its wait never
 * grows with its rank while the levels do: whatever the pressure, no call is refused while a cheaper one is taken.
 * The one exception is a sender that asks far more than the others: what is above its fair share goes before the
 * cheapest, whatever it claims to be.
 */
public final class LevelAdmissionController implements AdmissionController {
    /** Shortest advice, in milliseconds. */
    private static final double SHORTEST = 100;
    /** Overload is over when nothing was refused for so long; advice starts short again. */
    private static final double OVER = 1_000;
    /** How much longer than the rank below it a rank waits for a loop that stands still. */
    private static final double PATIENCE = 4;

    private final OverloadSettings settings;
    private final int ranks;
    private final CongestionLevels levels;
    private final HeavySenderDetector senders;
    private final SplittableRandom random;
    private final double[] owed;
    private double overloadedSince = Double.NaN;
    private double refusedAt = Double.NEGATIVE_INFINITY;
    private double owedOfSurplus;
    private long surplusRefusals;

    /** A gate for calls of so many ranks. */
    public LevelAdmissionController(OverloadSettings settings, int ranks, long seed) {
        this.settings = settings;
        this.ranks = ranks;
        levels = new CongestionLevels(ranks);
        senders = new HeavySenderDetector(settings.fairMultiple());
        random = new SplittableRandom(seed);
        owed = new double[ranks];
    }

    @Override
    public long decide(double now, int rank, long sender, Load load) {
        senders.recordRequest(now, sender);
        double cheapest = pressure(now, 0, load);
        double ofSurplus = CongestionLevels.surplusRefusalShare(cheapest);
        if (ofSurplus > 0 && random.nextDouble() < senders.surplusShare(sender, levels.isRefusing(rank))) {
            owedOfSurplus += ofSurplus;
            if (owedOfSurplus >= 1) {
                owedOfSurplus -= 1;
                surplusRefusals++;
                return retryAfterMs(now);
            }
        }
        double share = levels.refusalShare(rank, rank == 0 ? cheapest : pressure(now, rank, load));
        // Refusals of a rank are spread evenly over its calls: as many as are owed, and no run by chance.
        owed[rank] = share == 0 ? 0 : owed[rank] + share;
        if (owed[rank] < 1) {
            return ADMIT;
        }
        owed[rank] -= 1;
        return retryAfterMs(now);
    }

    private double pressure(double now, int rank, Load load) {
        double standing = load.loopPauseMs(now);
        // When a loop that stands still will turn again nobody knows; who is worth more waits longer for it.
        double wait = load.queuedAtOrAbove(rank) * load.costPerCallMs() + standing / Math.pow(PATIENCE, rank);
        double delay =
                CongestionLevels.pressure(wait, settings.delayOnset() / 2, settings.delayOnset(), settings.delayCeiling(), ranks);
        return Math.max(delay, load.pressure(rank));
    }

    /**
     * Callers are asked to stay away for about as long as the overload has lasted, as what has lasted long will last
     * for some time more, and each for another time, so that they don't come back together.
     */
    private long retryAfterMs(double now) {
        if (now > refusedAt + OVER) {
            overloadedSince = now;
        }
        refusedAt = now;
        double longest = settings.maxRetryAfterMs();
        double middle = Math.max(SHORTEST, now - overloadedSince);
        double advice = Math.min(longest, middle) * (0.5 + random.nextDouble());
        return Math.round(Math.min(longest, advice));
    }

    /** Calls refused since their sender asked far more than the others. */
    public long surplusRefusals() {
        return surplusRefusals;
    }

    /** How often a rank was stopped. */
    public long onsetCount() {
        return levels.onsetCount();
    }
}
