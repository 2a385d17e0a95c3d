package damsonseam.front;

import damsonseam.overload.AdmissionController;

/**
 * The front's current load, written by the event loop and read by the threads that admit calls. Each field has a single
 * writer. A reader may see fields of slightly different age, which admission decisions tolerate.
 */
final class FrontLoadState implements AdmissionController.Load {
    /** Weight of a full batch in the moving average of the cost per call. */
    private static final double BATCH_WEIGHT = 0.05;
    /** Weight of a CPU time sample in the same average. */
    private static final double CPU_SAMPLE_WEIGHT = 0.3;
    /** Limit of the cost measured in one batch, as a multiple of the current average. */
    private static final double MAX_BATCH_COST_RATIO = 4;
    /** Calls below which a CPU time sample is ignored as too noisy. */
    private static final int MIN_CALLS_PER_SAMPLE = 50;
    /** Cost per call assumed before the first measurement. */
    private static final double INITIAL_COST_PER_CALL_MS = 0.05;

    private final QueryQueue queue;
    private final double tickMs;
    private volatile double costPerCallMs = INITIAL_COST_PER_CALL_MS;
    private volatile double lastIterationAt;
    private volatile double[] pressureByRank;

    FrontLoadState(QueryQueue queue, int ranks, double tickMs) {
        this.queue = queue;
        this.tickMs = tickMs;
        pressureByRank = new double[ranks];
        java.util.Arrays.fill(pressureByRank, -1);
    }

    /** Records that the event loop handled a full batch of calls in {@code ms} while more were queued. */
    void recordBatch(double ms, int calls) {
        // A pause in the middle of a batch is not a cost of its calls, hence the limit. While it lasts, the time since
        // the last iteration shows it.
        updateCost(Math.min(ms / calls, MAX_BATCH_COST_RATIO * costPerCallMs), BATCH_WEIGHT);
    }

    /**
     * Records that the event loop's thread used {@code cpuMs} of CPU time while it handled {@code calls} calls. A call
     * handled alone costs more than one of a batch, so a sample may only lower the average. It corrects an average that
     * was inflated during a disturbance and would otherwise keep the load too low for another full batch.
     */
    void recordCpuSample(double cpuMs, int calls) {
        if (calls >= MIN_CALLS_PER_SAMPLE && cpuMs / calls < costPerCallMs) {
            updateCost(cpuMs / calls, CPU_SAMPLE_WEIGHT);
        }
    }

    private void updateCost(double measuredMs, double weight) {
        costPerCallMs += weight * (measuredMs - costPerCallMs);
    }

    /** Records that the event loop is running at {@code now}. */
    void recordIteration(double now) {
        lastIterationAt = now;
    }

    /**
     * Publishes the pressure of memory, tables and held calls that calls of each rank meet, measured in ranks. The
     * array must not be modified afterwards.
     */
    void updatePressure(double[] ranks) {
        pressureByRank = ranks;
    }

    @Override
    public int queuedAtOrAbove(int rank) {
        return queue.sizeFrom(rank);
    }

    @Override
    public double costPerCallMs() {
        return costPerCallMs;
    }

    @Override
    public double loopPauseMs(double now) {
        return queue.sizeFrom(0) == 0 ? 0 : Math.max(0, now - lastIterationAt - tickMs);
    }

    @Override
    public double pressure(int rank) {
        return pressureByRank[rank];
    }
}
