package damsonseam.overload;

/**
 * Converts the usage of the front's bounded tables (open calls, pending lookups, open files) to pressure. Calls of any
 * rank may use the tables up to the onset; the rest is reserved for higher ranks and the last part of it for the
 * highest rank alone, as trunk reservation does with circuits. Open calls are never affected. Immutable.
 */
public final class TablePressure {
    private final OverloadSettings settings;
    private final int ranks;

    /** Creates a converter for the given number of ranks. */
    public TablePressure(OverloadSettings settings, int ranks) {
        this.settings = settings;
        this.ranks = ranks;
    }

    /** Returns the pressure of the fullest table in ranks, given the used share of each table, 0 to 1. */
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
