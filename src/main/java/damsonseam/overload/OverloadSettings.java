package damsonseam.overload;

/**
 * The levels of the front's own overload. Each resource has an onset, where the rank of least worth begins to be
 * refused, and a ceiling, past which the dearest is refused too; the ranks share the span between evenly.
 *
 * @param delayOnset wait that a call taken now would meet before the front looks at it, in milliseconds
 * @param delayCeiling the same, where the dearest is refused
 * @param memoryOnset share of the heap in use after collections
 * @param memoryCeiling the same, where the dearest is refused
 * @param tableOnset share of the call table, and of the look-ups that may be out, that any call may use; the
 *     rest is kept for the dearer ones
 * @param forecast how far ahead memory in use is foreseen, in milliseconds
 * @param fairMultiple a sender that asks more than so many fair shares loses what is above them first
 * @param maxRetryAfterMs longest time for which callers are asked to stay away, in milliseconds
 */
public record OverloadSettings(
        double delayOnset,
        double delayCeiling,
        double memoryOnset,
        double memoryCeiling,
        double tableOnset,
        double forecast,
        double fairMultiple,
        double maxRetryAfterMs) {

    /** Refuses levels that can't work. */
    public OverloadSettings {
        order(delayOnset, delayCeiling, "delay");
        order(memoryOnset, memoryCeiling, "memory");
        require(memoryCeiling <= 1, "memoryCeiling: expected a share up to 1, found " + memoryCeiling);
        require(tableOnset > 0 && tableOnset <= 1, "tableOnset: expected a share over 0, up to 1, found " + tableOnset);
        require(forecast >= 0, "forecast: expected 0 ms or more");
        require(
                fairMultiple >= 1,
                "fairMultiple: expected 1 at least, found " + fairMultiple + "; under one fair share nobody could ask");
        require(maxRetryAfterMs >= 0, "longestAdvice: expected 0 ms or more");
    }

    private static void order(double onset, double ceiling, String what) {
        require(onset > 0, what + "Onset: expected over 0, found " + onset);
        require(
                ceiling > onset,
                what + "Ceiling: expected above " + what + "Onset (" + onset + "), found " + ceiling
                        + "; ranks need room between the two");
    }

    private static void require(boolean holds, String what) {
        if (!holds) {
            throw new IllegalArgumentException(what);
        }
    }
}
