package damsonseam.overload;

import org.HdrHistogram.Histogram;

/**
 * How late a loop turns: the time between when a beat was due and when it came, over the whole run and since the last
 * look. A beat that is late by more than its own period stands for those that it swallowed as well, so that one stop
 * of two seconds is not one sample among thousands (coordinated omission).
 */
public final class LoopDelayGauge {
    private static final long MOST_US = 60_000_000L;
    private static final int DIGITS = 2;
    private static final double US = 1_000;

    private final double period;
    private final Histogram all = new Histogram(MOST_US, DIGITS);
    private double dueAt = Double.NaN;
    private double longest;

    /** A gauge of a loop that beats each {@code period} milliseconds. */
    public LoopDelayGauge(double period) {
        this.period = period;
    }

    /** A beat came; the next one is due a period later. Returns by how much it was late, in milliseconds. */
    public double recordTick(double now) {
        double late = Double.isNaN(dueAt) ? 0 : Math.max(0, now - dueAt);
        if (!Double.isNaN(dueAt)) {
            all.recordValueWithExpectedInterval(Math.min(MOST_US, (long) (late * US)), (long) (period * US));
            longest = Math.max(longest, late);
        }
        dueAt = now + period;
        return late;
    }

    /** The longest delay since the last look. */
    public double takeMaxDelayMs() {
        double was = longest;
        longest = 0;
        return was;
    }

    /** A percentile of all delays, in milliseconds. */
    public double percentileMs(double p) {
        return all.getValueAtPercentile(p) / US;
    }

    /** The longest delay of all, in milliseconds. */
    public double maxDelayMs() {
        return all.getMaxValue() / US;
    }

    /** Forgets what was, as at the end of a warm-up. */
    public void reset() {
        all.reset();
        longest = 0;
    }
}
