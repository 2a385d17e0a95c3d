package damsonseam.overload;

/**
 * Tells why a front was late: its own work, the collector, the machine, or nobody but those it waits for. Guards
 * against the one symptom, answers that come late, being taken for the front's own load whatever is behind it.
 */
public final class DelayDiagnosis {

    /** Why answers are late. */
    public enum Cause {
        /** They are not. */
        CALM,
        /** The loop was busy with its own work. */
        OWN_WORK,
        /** The collector had stopped the program. */
        COLLECTOR,
        /** The loop was ready and did not run: stopped, swapped, or the processor was somebody else's. */
        MACHINE,
        /** The loop is in time; authorities or calculators are not. */
        UPSTREAM
    }

    /**
     * What was seen over one window.
     *
     * @param maxDelayMs longest time by which the loop was late, in milliseconds
     * @param loopCpuMs processor time that the loop's thread got, in milliseconds
     * @param collectorPauseMs time for which the collector stopped the program, in milliseconds
     * @param lateUpstreamShare share of look-ups and set-ups answered late or not at all, 0 to 1
     */
    public record Window(double maxDelayMs, double loopCpuMs, double collectorPauseMs, double lateUpstreamShare) {}

    private static final double HALF = 0.5;

    private DelayDiagnosis() {}

    /** The cause, for a front whose loop counts as late from {@code onset} milliseconds on. */
    public static Cause diagnose(Window seen, double onset) {
        if (seen.maxDelayMs() < onset) {
            return seen.lateUpstreamShare() > HALF ? Cause.UPSTREAM : Cause.CALM;
        }
        if (seen.collectorPauseMs() >= HALF * seen.maxDelayMs()) {
            return Cause.COLLECTOR;
        }
        return seen.loopCpuMs() >= HALF * seen.maxDelayMs() ? Cause.OWN_WORK : Cause.MACHINE;
    }
}
