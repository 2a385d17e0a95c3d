package damsonseam.overload;

/**
 * Tells why a front was late: its own work, the collector, the machine, or nobody but those it waits for. Guards
 * against the one symptom, answers that come late, being taken for the front's own load whatever is behind it.
 */
public final class Diagnosis {

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
     * @param delay longest time by which the loop was late, in milliseconds
     * @param loopCpu processor time that the loop's thread got, in milliseconds
     * @param collector time for which the collector stopped the program, in milliseconds
     * @param upstreamShare share of look-ups and set-ups answered late or not at all, 0 to 1
     */
    public record Window(double delay, double loopCpu, double collector, double upstreamShare) {}

    private static final double HALF = 0.5;

    private Diagnosis() {}

    /** The cause, for a front whose loop counts as late from {@code onset} milliseconds on. */
    public static Cause of(Window seen, double onset) {
        if (seen.delay() < onset) {
            return seen.upstreamShare() > HALF ? Cause.UPSTREAM : Cause.CALM;
        }
        if (seen.collector() >= HALF * seen.delay()) {
            return Cause.COLLECTOR;
        }
        return seen.loopCpu() >= HALF * seen.delay() ? Cause.OWN_WORK : Cause.MACHINE;
    }
}
