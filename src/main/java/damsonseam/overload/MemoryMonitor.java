package damsonseam.overload;

/**
 * Monitors the heap usage that remains after garbage collections and derives from it the pressure on calls and the
 * permitted size of caches. A young collection leaves garbage in the old generation, so a single sample means little;
 * the minimum over the last five to ten seconds is used. Caches are reduced first, down to a tenth of their
 * capacity; calls are refused by worth only above the onset. Rising usage is extrapolated so that caches shrink before
 * the onset is reached. Not thread-safe.
 */
public final class MemoryMonitor {
    private static final double WINDOW_MS = 5_000;
    private static final double SMOOTHING_MS = 20_000;
    private static final double MIN_CACHE_SHARE = 0.1;
    /** Time over which the permitted cache size recovers from zero to full. */
    private static final double CACHE_RECOVERY_MS = 60_000;

    private final OverloadSettings settings;
    private final TrendForecast forecast = new TrendForecast(SMOOTHING_MS);
    private double windowMin = Double.NaN;
    private double previousWindowMin = Double.NaN;
    private double windowEnd = Double.NaN;
    private double cacheShare = 1;
    private double cacheUpdatedAt = Double.NaN;

    /** Creates a monitor without samples. */
    public MemoryMonitor(OverloadSettings settings) {
        this.settings = settings;
    }

    /** Records the share of the heap in use after a collection. */
    public void recordCollection(double now, double share) {
        if (Double.isNaN(windowEnd)) {
            windowEnd = now + WINDOW_MS;
        }
        if (now >= windowEnd) {
            previousWindowMin = windowMin;
            windowMin = Double.NaN;
            windowEnd = now + WINDOW_MS;
            if (!Double.isNaN(previousWindowMin)) {
                forecast.sample(now, previousWindowMin);
            }
        }
        windowMin = Double.isNaN(windowMin) ? share : Math.min(windowMin, share);
    }

    /** Returns the share of the heap in use after collections, 0 before the first one. */
    public double usedShare() {
        if (Double.isNaN(windowMin)) {
            return Double.isNaN(previousWindowMin) ? 0 : previousWindowMin;
        }
        return Double.isNaN(previousWindowMin) ? windowMin : Math.min(windowMin, previousWindowMin);
    }

    /** Returns the pressure on calls, in ranks. */
    public double pressure(int ranks) {
        return CongestionLevels.pressure(usedShare(), settings.memoryOnset(), settings.memoryCeiling(), ranks);
    }

    /** Returns the share of their capacity that caches may use; it falls at once and recovers within a minute. */
    public double cacheShare(double now) {
        double forecastShare = Math.max(usedShare(), forecast.valueAfter(settings.forecast()));
        double permitted = forecastShare < settings.memoryOnset()
                ? 1
                : Math.max(
                        MIN_CACHE_SHARE,
                        1
                                - (forecastShare - settings.memoryOnset())
                                        / (settings.memoryCeiling() - settings.memoryOnset()));
        double elapsed = Double.isNaN(cacheUpdatedAt) ? 0 : Math.max(0, now - cacheUpdatedAt);
        cacheUpdatedAt = now;
        cacheShare = Math.min(permitted, cacheShare + elapsed / CACHE_RECOVERY_MS);
        return cacheShare;
    }

    /**
     * Returns the time until usage reaches the ceiling at the current trend, in milliseconds; infinite if not rising.
     */
    public double timeUntilCeiling() {
        return forecast.timeUntil(settings.memoryCeiling());
    }
}
