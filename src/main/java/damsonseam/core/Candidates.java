package damsonseam.core;

import java.util.List;

/**
 * Where a number may be set up, as its look-up told.
 *
 * @param outcome whether the look-up found the number
 * @param servers the names of the servers, the first choice first; empty unless found
 */
public record Candidates(Outcome outcome, List<String> servers) {
    /** The number does not exist, by an authority's word. */
    public static final Candidates UNKNOWN = new Candidates(Outcome.UNKNOWN, List.of());
    /** No authority answered in time and nothing old was kept. */
    public static final Candidates UNAVAILABLE = new Candidates(Outcome.UNAVAILABLE, List.of());

    /** What a look-up came to. */
    public enum Outcome {
        FOUND,
        UNKNOWN,
        UNAVAILABLE
    }

    /** A number that was found. */
    public static Candidates of(List<String> servers) {
        return new Candidates(Outcome.FOUND, List.copyOf(servers));
    }
}
