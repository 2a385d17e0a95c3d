package damsonseam.overload;

/**
 * Determines why a front is late: its own work, the garbage collector, the machine, or the peers it waits for. All of
 * them show the same symptom, late answers, which must not be taken for the front's own load in every case.
 */
public final class DelayDiagnosis {

    /** The causes of late answers. */
    public enum Cause {
        /** Answers are not late. */
        CALM,
        /** The loop was busy with its own work. */
        OWN_WORK,
        /** The garbage collector had paused the process. */
        COLLECTOR,
        /** The loop was ready but did not run: suspended, swapped out, or preempted by other processes. */
        MACHINE,
        /** The loop is on time, but authoritative servers or calculators are not. */
        UPSTREAM
    }

    /**
     * Measurements over one time window.
     *
     * @param maxDelayMs maximum delay of the loop, in milliseconds
     * @param loopCpuMs CPU time of the loop's thread, in milliseconds
     * @param collectorPauseMs total time of garbage-collection pauses, in milliseconds
     * @param lateUpstreamShare share of upstream requests answered late or not at all, 0 to 1
     */
    public record Window(double maxDelayMs, double loopCpuMs, double collectorPauseMs, double lateUpstreamShare) {}

    private static final double HALF = 0.5;

    private DelayDiagnosis() {}

    /**
     * Returns the cause that the measurements of a window point to.
     *
     * @param onset delay from which the loop counts as late, in milliseconds
     */
    public static Cause diagnose(Window window, double onset) {
        if (window.maxDelayMs() < onset) {
            return window.lateUpstreamShare() > HALF ? Cause.UPSTREAM : Cause.CALM;
        }
        if (window.collectorPauseMs() >= HALF * window.maxDelayMs()) {
            return Cause.COLLECTOR;
        }
        return window.loopCpuMs() >= HALF * window.maxDelayMs() ? Cause.OWN_WORK : Cause.MACHINE;
    }
}
