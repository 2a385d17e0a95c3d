package damsonseam.core;

import java.util.List;

/**
 * Where a number may be set up, as its look-up told.
 *
 * @param outcome whether the look-up found the number
 * @param servers the names of the servers, the first choice first; empty unless found
 */
public record LookupResult(Outcome outcome, List<String> servers) {
    /** The number does not exist, by an authority's word. */
    public static final LookupResult NOT_FOUND = new LookupResult(Outcome.NOT_FOUND, List.of());
    /** No authority answered in time and nothing old was kept. */
    public static final LookupResult UNAVAILABLE = new LookupResult(Outcome.UNAVAILABLE, List.of());

    /** What a look-up came to. */
    public enum Outcome {
        FOUND,
        NOT_FOUND,
        UNAVAILABLE
    }

    /** A number that was found. */
    public static LookupResult found(List<String> servers) {
        return new LookupResult(Outcome.FOUND, List.copyOf(servers));
    }
}
