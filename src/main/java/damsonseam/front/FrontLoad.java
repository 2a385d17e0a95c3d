package damsonseam.front;

import damsonseam.overload.Admission;

/**
 * How the front fares, written by its loop and read by the thread that admits calls. Each field is written by one
 * thread only; a reader may see one a moment older than another, which no decision minds.
 */
final class FrontLoad implements Admission.Load {
    /** Weight of a new measurement of what a call costs. */
    private static final double WEIGHT = 0.1;
    /** What a call is taken to cost before any was measured, in milliseconds. */
    private static final double FIRST_GUESS = 0.05;

    private final CallQueue queue;
    private final double beat;
    private volatile double perCall = FIRST_GUESS;
    private volatile double turnedAt;
    private volatile double pressure = -1;

    FrontLoad(CallQueue queue, double beat) {
        this.queue = queue;
        this.beat = beat;
    }

    /** The loop has taken calls in {@code ms}, with more still queued when it began: what each cost. */
    void cost(double ms, int calls) {
        perCall += WEIGHT * (ms / calls - perCall);
    }

    /** The loop turns. */
    void turned(double now) {
        turnedAt = now;
    }

    /** Pressure of memory and tables, in ranks. */
    void pressure(double ranks) {
        pressure = ranks;
    }

    @Override
    public int queuedFrom(int rank) {
        return queue.from(rank);
    }

    @Override
    public double perCall() {
        return perCall;
    }

    @Override
    public double standing(double now) {
        return queue.from(0) == 0 ? 0 : Math.max(0, now - turnedAt - beat);
    }

    @Override
    public double pressure() {
        return pressure;
    }
}
