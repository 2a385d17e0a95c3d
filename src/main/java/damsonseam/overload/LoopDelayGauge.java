package damsonseam.overload;

import org.HdrHistogram.Histogram;

/**
 * Measures the delay of a loop's ticks, that is, the time between when a tick was due and when it ran. It keeps a
 * histogram of all delays and the maximum since it was last taken. A delay longer than the period is also recorded for
 * the ticks it suppressed, so that a pause of two seconds is not a single sample among thousands (coordinated
 * omission). Not thread-safe.
 */
public final class LoopDelayGauge {
    private static final long MAX_RECORDED_US = 60_000_000L;
    private static final int SIGNIFICANT_DIGITS = 2;
    private static final double US_PER_MS = 1_000;

    private final double periodMs;
    private final Histogram delays = new Histogram(MAX_RECORDED_US, SIGNIFICANT_DIGITS);
    private double dueAt = Double.NaN;
    private double maxDelay;

    /** Creates a gauge for a loop that ticks every {@code periodMs}. */
    public LoopDelayGauge(double periodMs) {
        this.periodMs = periodMs;
    }

    /** Records a tick and returns its delay in milliseconds; the next tick is due one period later. */
    public double recordTick(double now) {
        double delay = Double.isNaN(dueAt) ? 0 : Math.max(0, now - dueAt);
        if (!Double.isNaN(dueAt)) {
            delays.recordValueWithExpectedInterval(
                    Math.min(MAX_RECORDED_US, (long) (delay * US_PER_MS)), (long) (periodMs * US_PER_MS));
            maxDelay = Math.max(maxDelay, delay);
        }
        dueAt = now + periodMs;
        return delay;
    }

    /** Returns the maximum delay since the last invocation, in milliseconds, and resets it. */
    public double takeMaxDelayMs() {
        double max = maxDelay;
        maxDelay = 0;
        return max;
    }

    /** Returns a percentile of all recorded delays, in milliseconds. */
    public double percentileMs(double percentile) {
        return delays.getValueAtPercentile(percentile) / US_PER_MS;
    }

    /** Returns the maximum of all recorded delays, in milliseconds. */
    public double maxDelayMs() {
        return delays.getMaxValue() / US_PER_MS;
    }

    /** Discards all recorded delays, for example after a warm-up. */
    public void reset() {
        delays.reset();
        maxDelay = 0;
    }
}
