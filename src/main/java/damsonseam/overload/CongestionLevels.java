package damsonseam.overload;

import java.util.Arrays;

/**
 * Congestion onset, abatement and discard levels for each rank of worth, as the paper defines them for the transmit
 * buffer of a signalling link. Pressure is measured in ranks: the onset of rank r is T(r) = r, and its discard level is
 * the onset of the next rank, D(r) = r + 1. Above its onset, a rank has a share of its calls refused that grows towards
 * the discard level, above which all are refused. Once started, refusals continue until the pressure falls below the
 * abatement level, half a rank below the onset. Not thread-safe.
 *
 * <p>The proportional share between the levels prevents oscillation: the pressure stems from a queue, and a queue under
 * proportional control settles. The abatement level adds hysteresis, so that a pressure close to an onset does not
 * start and stop refusals with every call.
 */
public final class CongestionLevels {
    /** Distance of a rank's abatement level below its onset, in ranks. */
    static final double ABATEMENT = 0.5;

    private final boolean[] refusing;
    private long onsetCount;

    /** Creates levels for the given number of ranks, none of which is refusing. */
    public CongestionLevels(int ranks) {
        refusing = new boolean[ranks];
    }

    /**
     * Returns the share of a rank's calls to refuse at this pressure, 0 to 1, and updates the state of the rank.
     *
     * @param rank rank of worth, 0 for the lowest
     * @param pressure pressure in ranks: 0 at the first onset, the number of ranks at the ceiling
     */
    public double refusalShare(int rank, double pressure) {
        double abatementLevel = rank - ABATEMENT;
        if (refusing[rank]) {
            refusing[rank] = pressure >= abatementLevel;
        } else if (pressure >= rank) {
            refusing[rank] = true;
            onsetCount++;
        }
        return refusing[rank] ? Math.min(1, (pressure - abatementLevel) / (1 + ABATEMENT)) : 0;
    }

    /**
     * Returns the share of the calls above a sender's fair share to refuse, 0 to 1. It rises from 0 at the abatement
     * level of the lowest rank to 1 at that rank's onset, so that such calls may use spare capacity but are all refused
     * before any other call is.
     */
    public static double surplusRefusalShare(double pressure) {
        return Math.max(0, Math.min(1, (pressure + ABATEMENT) / ABATEMENT));
    }

    /** Returns whether some or all calls of this rank are being refused. */
    public boolean isRefusing(int rank) {
        return refusing[rank];
    }

    /**
     * Converts a measured value to pressure in ranks: 0 at its onset, the number of ranks at its ceiling, and minus
     * {@link #ABATEMENT} at its abatement level. The abatement level is specific to the resource, since a wait can fall
     * to zero whereas heap usage cannot.
     */
    static double pressure(double value, double abatement, double onset, double ceiling, int ranks) {
        return value < onset
                ? ABATEMENT * (value - onset) / (onset - abatement)
                : (value - onset) / (ceiling - onset) * ranks;
    }

    /**
     * Converts a value of a resource that is never idle to pressure; its abatement level lies below its onset by half
     * the distance from onset to ceiling.
     */
    static double pressure(double value, double onset, double ceiling, int ranks) {
        return pressure(value, onset - ABATEMENT * (ceiling - onset), onset, ceiling, ranks);
    }

    /** Returns whether calls of any rank are being refused. */
    public boolean isAnyRefusing() {
        for (boolean rankRefusing : refusing) {
            if (rankRefusing) {
                return true;
            }
        }
        return false;
    }

    /** Returns how often refusals of a rank have started. */
    public long onsetCount() {
        return onsetCount;
    }

    @Override
    public String toString() {
        return Arrays.toString(refusing);
    }
}
