package damsonseam.overload;

/**
 * Memory as the collector leaves it, and what follows from it. A collection of the young leaves garbage among the
 * old, so one sample says little: the least of the last ten seconds counts. Caches go first, down to a tenth of their
 * room; calls only from the onset on, by worth. A climb is foreseen, so that caches go before the onset is reached.
 */
public final class MemoryMonitor {
    private static final double WINDOW = 5_000;
    private static final double SMOOTH = 20_000;
    private static final double LEAST_CACHE = 0.1;
    private static final double CACHE_GROWS_OVER = 60_000;

    private final OverloadSettings settings;
    private final TrendForecast forecast = new TrendForecast(SMOOTH);
    private double least = Double.NaN;
    private double leastBefore = Double.NaN;
    private double windowEnd = Double.NaN;
    private double cache = 1;
    private double cacheAt = Double.NaN;

    /** A watch that has seen nothing. */
    public MemoryMonitor(OverloadSettings settings) {
        this.settings = settings;
    }

    /** A collection has left this share of the heap in use. */
    public void recordCollection(double now, double share) {
        if (Double.isNaN(windowEnd)) {
            windowEnd = now + WINDOW;
        }
        if (now >= windowEnd) {
            leastBefore = least;
            least = Double.NaN;
            windowEnd = now + WINDOW;
            if (!Double.isNaN(leastBefore)) {
                forecast.sample(now, leastBefore);
            }
        }
        least = Double.isNaN(least) ? share : Math.min(least, share);
    }

    /** The share of the heap in use, as far as collections tell: 0 before the first. */
    public double usedShare() {
        if (Double.isNaN(least)) {
            return Double.isNaN(leastBefore) ? 0 : leastBefore;
        }
        return Double.isNaN(leastBefore) ? least : Math.min(least, leastBefore);
    }

    /** Pressure on calls, in ranks. */
    public double pressure(int ranks) {
        return CongestionLevels.pressure(usedShare(), settings.memoryOnset(), settings.memoryCeiling(), ranks);
    }

    /** The share of their room that caches may fill now; it falls at once and grows back over a minute. */
    public double cacheShare(double now) {
        double foreseen = Math.max(usedShare(), forecast.valueAfter(settings.forecast()));
        double room = foreseen < settings.memoryOnset()
                ? 1
                : Math.max(
                        LEAST_CACHE,
                        1 - (foreseen - settings.memoryOnset()) / (settings.memoryCeiling() - settings.memoryOnset()));
        double passed = Double.isNaN(cacheAt) ? 0 : Math.max(0, now - cacheAt);
        cacheAt = now;
        cache = Math.min(room, cache + passed / CACHE_GROWS_OVER);
        return cache;
    }

    /** Milliseconds until the ceiling is reached at the present climb; infinite where there is none. */
    public double timeUntilCeiling() {
        return forecast.timeUntil(settings.memoryCeiling());
    }
}
