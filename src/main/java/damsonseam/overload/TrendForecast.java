package damsonseam.overload;

/**
 * Where a value that climbs slowly will be: level and trend by Holt's double exponential smoothing, for samples that
 * come at uneven times. Only a climb counts: a fall is not foreseen, it is waited for.
 */
public final class TrendForecast {
    private final double span;
    private double at = Double.NaN;
    private double level;
    private double perMs;
    private int samples;

    /** A forecast that forgets over {@code span} milliseconds. */
    public TrendForecast(double span) {
        if (!(span > 0)) {
            throw new IllegalArgumentException("span: expected over 0 ms, found " + span);
        }
        this.span = span;
    }

    /** A value was seen. One that is not later than the last, as after a clock that jumped, is passed over. */
    public void sample(double now, double value) {
        if (Double.isNaN(at)) {
            at = now;
            level = value;
            samples = 1;
            return;
        }
        double passed = now - at;
        if (!(passed > 0)) {
            return;
        }
        double w = 1 - Math.exp(-passed / span);
        double before = level;
        level += perMs * passed + w * (value - level - perMs * passed);
        perMs += w * ((level - before) / passed - perMs);
        at = now;
        samples++;
    }

    /** The value foreseen {@code ahead} milliseconds after the last sample; never below the present level. */
    public double valueAfter(double ahead) {
        // Two samples make a line through anything: a trend needs a few more before it is believed.
        return samples < 4 ? level : level + Math.max(0, perMs) * ahead;
    }

    /** Milliseconds until the value reaches {@code limit}; infinite where it does not climb. */
    public double timeUntil(double limit) {
        return level >= limit ? 0 : samples < 4 || perMs <= 0 ? Double.POSITIVE_INFINITY : (limit - level) / perMs;
    }
}
