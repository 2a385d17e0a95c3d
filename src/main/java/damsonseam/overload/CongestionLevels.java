package damsonseam.overload;

import java.util.Arrays;

/**
 * Onset, abatement and discard levels per rank of worth, as the paper has them for a link's buffer: pressure is
 * counted in ranks, so that the onset of rank r is T(r) = r and its discard level is the next one's onset, D(r) =
 * r + 1. A rank is stopped in part from its onset on, the more the nearer its discard level, and wholly past that;
 * once stopped it stays so, in part, until pressure is under its abatement level, half a rank below the onset.
 *
 * <p>The share between the levels is what keeps the front from swinging: pressure is a queue, and a queue under a
 * proportional answer settles. The abatement level keeps a pressure that rests near an onset from switching it on and
 * off with every call.
 */
public final class CongestionLevels {
    /** How far under its onset a rank's abatement level lies, in ranks. */
    static final double ABATEMENT = 0.5;

    private final boolean[] isRefusing;
    private long onsetCount;

    /** Levels of so many ranks, none stopped. */
    public CongestionLevels(int ranks) {
        isRefusing = new boolean[ranks];
    }

    /**
     * The share of a rank's calls to refuse at this pressure, 0 to 1.
     *
     * @param rank 0 for the least worth
     * @param pressure in ranks: 0 at the first onset, the number of ranks at the ceiling
     */
    public double refusalShare(int rank, double pressure) {
        double abatement = rank - ABATEMENT;
        if (isRefusing[rank]) {
            isRefusing[rank] = pressure >= abatement;
        } else if (pressure >= rank) {
            isRefusing[rank] = true;
            onsetCount++;
        }
        return isRefusing[rank] ? Math.min(1, (pressure - abatement) / (1 + ABATEMENT)) : 0;
    }

    /**
     * The share to refuse of what is above a sender's fair share: it begins at the abatement level of the cheapest
     * rank and is all at that rank's onset, so that such calls fill what room there is and are gone before anybody
     * else is asked to go.
     */
    public static double surplusRefusalShare(double pressure) {
        return Math.max(0, Math.min(1, (pressure + ABATEMENT) / ABATEMENT));
    }

    /** Whether this rank is stopped, wholly or in part. */
    public boolean isRefusing(int rank) {
        return isRefusing[rank];
    }

    /**
     * Pressure in ranks of a value: 0 at its onset, the number of ranks at its ceiling, and at its abatement level the
     * abatement of rank 0. Each resource has its own, as a wait ends at nothing and a heap does not.
     */
    static double pressure(double value, double abatement, double onset, double ceiling, int ranks) {
        return value < onset
                ? ABATEMENT * (value - onset) / (onset - abatement)
                : (value - onset) / (ceiling - onset) * ranks;
    }

    /** The same for a resource that is in use at all times: its abatement level is half a span under its onset. */
    static double pressure(double value, double onset, double ceiling, int ranks) {
        return pressure(value, onset - ABATEMENT * (ceiling - onset), onset, ceiling, ranks);
    }

    /** Whether any rank is stopped, wholly or in part. */
    public boolean isAnyRefusing() {
        for (boolean s : isRefusing) {
            if (s) {
                return true;
            }
        }
        return false;
    }

    /** How often a rank was stopped. */
    public long onsetCount() {
        return onsetCount;
    }

    @Override
    public String toString() {
        return Arrays.toString(isRefusing);
    }
}
