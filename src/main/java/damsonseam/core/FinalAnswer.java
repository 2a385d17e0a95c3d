package damsonseam.core;

/**
 * The one final answer of a call.
 *
 * @param kind what it is
 * @param server the server at which the call stands, or empty
 * @param retryAfterMs how long the caller is asked to stay away, in milliseconds, 0 for no advice
 * @param reason a short reason for logs and for the caller
 */
public record FinalAnswer(Kind kind, String server, double retryAfterMs, String reason) {

    /** The three ways in which a call is answered; {@code UNKNOWN_NUMBER} is a failure that dialling again
     * does not mend. */
    public enum Kind {
        STANDS,
        REFUSED,
        FAILED,
        UNKNOWN_NUMBER
    }

    static FinalAnswer established(String server) {
        return new FinalAnswer(Kind.STANDS, server, 0, "stands");
    }

    static FinalAnswer refused(double returnAfter, String why) {
        return new FinalAnswer(Kind.REFUSED, "", returnAfter, why);
    }

    static FinalAnswer failed(String why) {
        return new FinalAnswer(Kind.FAILED, "", 0, why);
    }
}
