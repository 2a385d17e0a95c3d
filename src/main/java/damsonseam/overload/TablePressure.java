package damsonseam.overload;

/**
 * Pressure of the front's tables: calls open, look-ups out, files open. What any call may use ends at the onset; the
 * rest is kept for the dearer ranks, as trunk reservation keeps circuits for the traffic that matters most, and the
 * last room is for the dearest alone. Calls that are open are never touched.
 */
public final class TablePressure {
    private final OverloadSettings settings;
    private final int ranks;

    /** Pressure for calls of so many ranks. */
    public TablePressure(OverloadSettings settings, int ranks) {
        this.settings = settings;
        this.ranks = ranks;
    }

    /** Pressure in ranks of the fullest of these shares, each 0 to 1. */
    public double pressure(double... shares) {
        double fullest = 0;
        for (double share : shares) {
            fullest = Math.max(fullest, share);
        }
        if (settings.tableOnset() >= 1) {
            return fullest >= 1 ? ranks : -1;
        }
        return CongestionLevels.pressure(fullest, settings.tableOnset(), 1, ranks);
    }
}
