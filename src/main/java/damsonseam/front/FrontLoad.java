package damsonseam.front;

import damsonseam.overload.AdmissionController;

/**
 * How the front fares, written by its loop and read by the thread that admits calls. Each field is written by one
 * thread only; a reader may see one a moment older than another, which no decision minds.
 */
final class FrontLoad implements AdmissionController.Load {
    /** Weights of a new measurement of what a call costs: of a batch, and of a look at the processor time. */
    private static final double BATCH_WEIGHT = 0.05;

    private static final double LOOK_WEIGHT = 0.3;
    private static final double MOST_MORE = 4;
    /** Calls under which a look says nothing. */
    private static final int FEWEST = 50;
    /** What a call is taken to cost before any was measured, in milliseconds. */
    private static final double FIRST_GUESS = 0.05;

    private final CallQueue queue;
    private final double beat;
    private volatile double perCall = FIRST_GUESS;
    private volatile double turnedAt;
    private volatile double[] pressure;

    FrontLoad(CallQueue queue, int ranks, double beat) {
        this.queue = queue;
        this.beat = beat;
        pressure = new double[ranks];
        java.util.Arrays.fill(pressure, -1);
    }

    /** The loop has taken a whole batch of calls in {@code ms}, with more still queued: what each cost. */
    void batch(double ms, int calls) {
        // A stop in the middle of a batch is no cost of its calls; while it lasts it counts as standing.
        learn(Math.min(ms / calls, MOST_MORE * perCall), BATCH_WEIGHT);
    }

    /**
     * The loop's thread got {@code cpuMs} of processor time while it took so many calls. A call alone costs more
     * than one of a batch, so this only ever lowers the cost. Guards against one that was learnt in a bad moment and
     * then keeps the front so idle that no batch is ever whole again.
     */
    void look(double cpuMs, int calls) {
        if (calls >= FEWEST && cpuMs / calls < perCall) {
            learn(cpuMs / calls, LOOK_WEIGHT);
        }
    }

    private void learn(double each, double weight) {
        perCall += weight * (each - perCall);
    }

    /** The loop turns. */
    void turned(double now) {
        turnedAt = now;
    }

    /** Pressure of memory, tables and held calls, in ranks, as calls of each rank meet it; not changed any more. */
    void pressure(double[] ofRanks) {
        pressure = ofRanks;
    }

    @Override
    public int queuedAtOrAbove(int rank) {
        return queue.from(rank);
    }

    @Override
    public double costPerCallMs() {
        return perCall;
    }

    @Override
    public double loopPauseMs(double now) {
        return queue.from(0) == 0 ? 0 : Math.max(0, now - turnedAt - beat);
    }

    @Override
    public double pressure(int rank) {
        return pressure[rank];
    }
}
