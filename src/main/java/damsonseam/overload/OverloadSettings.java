package damsonseam.overload;

/**
 * Settings of the front's overload control. Each resource has an onset, above which calls of the lowest rank of worth
 * begin to be refused, and a ceiling, above which even those of the highest rank are refused. The ranks divide the span
 * between the two evenly.
 *
 * @param delayOnset expected wait of a new call in the front at which refusals start, in milliseconds
 * @param delayCeiling expected wait above which all calls are refused, in milliseconds
 * @param memoryOnset share of the heap in use after collections at which refusals start
 * @param memoryCeiling share of the heap in use above which all calls are refused
 * @param tableOnset share of the call table and of the permitted pending lookups that calls of any rank may use; the
 *     rest is reserved for higher ranks
 * @param forecast horizon of the memory forecast, in milliseconds
 * @param fairMultiple multiple of the fair share above which a sender's calls are refused first
 * @param maxRetryAfterMs maximum time for which callers are asked not to retry, in milliseconds
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

    /** Validates the settings. */
    public OverloadSettings {
        requireOrder(delayOnset, delayCeiling, "delay");
        requireOrder(memoryOnset, memoryCeiling, "memory");
        require(memoryCeiling <= 1, "memoryCeiling: expected a share up to 1, found " + memoryCeiling);
        require(tableOnset > 0 && tableOnset <= 1, "tableOnset: expected a share over 0, up to 1, found " + tableOnset);
        require(forecast >= 0, "forecast: expected 0 ms or more");
        require(
                fairMultiple >= 1,
                "fairMultiple: expected at least 1, found " + fairMultiple
                        + "; below one fair share, all senders are refused");
        require(maxRetryAfterMs >= 0, "maxRetryAfterMs: expected 0 ms or more");
    }

    private static void requireOrder(double onset, double ceiling, String name) {
        require(onset > 0, name + "Onset: expected over 0, found " + onset);
        require(
                ceiling > onset,
                name + "Ceiling: expected above " + name + "Onset (" + onset + "), found " + ceiling
                        + "; the ranks divide the span between them");
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
