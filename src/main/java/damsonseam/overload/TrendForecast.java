package damsonseam.overload;

/**
 * Forecasts a slowly rising value by Holt's double exponential smoothing of level and trend, adapted to samples at
 * uneven intervals. Only a rising trend is extrapolated; a falling one is not. Not thread-safe.
 */
public final class TrendForecast {
    private final double timeConstantMs;
    private double lastSampleAt = Double.NaN;
    private double level;
    private double trendPerMs;
    private int samples;

    /** Creates a forecast with the given time constant of smoothing, in milliseconds. */
    public TrendForecast(double timeConstantMs) {
        if (!(timeConstantMs > 0)) {
            throw new IllegalArgumentException("time constant must be over 0 ms, not " + timeConstantMs);
        }
        this.timeConstantMs = timeConstantMs;
    }

    /** Adds a sample. A sample not later than the last one, as after a clock jump, is ignored. */
    public void sample(double now, double value) {
        if (Double.isNaN(lastSampleAt)) {
            lastSampleAt = now;
            level = value;
            samples = 1;
            return;
        }
        double elapsed = now - lastSampleAt;
        if (!(elapsed > 0)) {
            return;
        }
        double weight = 1 - Math.exp(-elapsed / timeConstantMs);
        double previousLevel = level;
        level += trendPerMs * elapsed + weight * (value - level - trendPerMs * elapsed);
        trendPerMs += weight * ((level - previousLevel) / elapsed - trendPerMs);
        lastSampleAt = now;
        samples++;
    }

    /** Returns the value forecast for {@code horizonMs} after the last sample; never below the current level. */
    public double valueAfter(double horizonMs) {
        // Two samples always define a line; a trend is used only after a few more.
        return samples < 4 ? level : level + Math.max(0, trendPerMs) * horizonMs;
    }

    /** Returns the time until the value reaches {@code limit}, in milliseconds; infinite if it is not rising. */
    public double timeUntil(double limit) {
        return level >= limit
                ? 0
                : samples < 4 || trendPerMs <= 0 ? Double.POSITIVE_INFINITY : (limit - level) / trendPerMs;
    }
}
