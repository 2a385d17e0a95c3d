package damsonseam.core;

import java.util.List;

/**
 * The result of a number's ENUM lookup.
 *
 * @param outcome whether the lookup found the number
 * @param serverIds ids of the servers that may take the call, in order of preference; empty unless found
 */
public record LookupResult(Outcome outcome, List<String> serverIds) {
    /** An authoritative server stated that the number does not exist. */
    public static final LookupResult NOT_FOUND = new LookupResult(Outcome.NOT_FOUND, List.of());
    /** No authoritative server answered in time and no stale result was cached. */
    public static final LookupResult UNAVAILABLE = new LookupResult(Outcome.UNAVAILABLE, List.of());

    /** The possible outcomes of a lookup. */
    public enum Outcome {
        FOUND,
        NOT_FOUND,
        UNAVAILABLE
    }

    /** Returns the result of a lookup that found the number. */
    public static LookupResult found(List<String> serverIds) {
        return new LookupResult(Outcome.FOUND, List.copyOf(serverIds));
    }
}
