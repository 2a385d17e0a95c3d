package damsonseam.core;

/**
 * The final answer to a call; each call gets exactly one.
 *
 * @param kind kind of answer
 * @param serverId id of the server at which the call is established, otherwise empty
 * @param retryAfterMs time the caller is asked to wait before it redials, in milliseconds, 0 for no advice
 * @param reason short text for the log and the caller
 */
public record FinalAnswer(Kind kind, String serverId, double retryAfterMs, String reason) {

    /** The kinds of answer: established ({@code STANDS}), refused, failed, and failed with no point in a redial. */
    public enum Kind {
        STANDS,
        REFUSED,
        FAILED,
        UNKNOWN_NUMBER
    }

    static FinalAnswer established(String serverId) {
        return new FinalAnswer(Kind.STANDS, serverId, 0, "stands");
    }

    static FinalAnswer refused(double retryAfterMs, String reason) {
        return new FinalAnswer(Kind.REFUSED, "", retryAfterMs, reason);
    }

    static FinalAnswer failed(String reason) {
        return new FinalAnswer(Kind.FAILED, "", 0, reason);
    }
}
