package damsonseam.node;

/**
 * What shows that the peer of a connection is a caller with something to lose, weakest first. At the connection limit
 * the peers with the weakest evidence are evicted first. What a peer says of itself is a claim: only a server's answer,
 * or the peer's own answer to a release, is evidence. Peers without evidence are alike, whether they have claimed
 * something or not: a connection that has just been opened must not give way to one with an old claim.
 */
enum CallerEvidence {
    /** No valid INVITE has arrived. */
    NONE(60),
    /** Only set-ups that no server has answered with success, and reports of calls that no server has confirmed. */
    CLAIMED(60),
    /** A server has answered a call of this peer, or the peer has answered a release; it has no such call now. */
    PROVEN(2_000),
    /** A call that a server has answered is established. */
    ESTABLISHED_CALL(2_000);

    /**
     * Time without input, in milliseconds, after which a connection without a pending call may be evicted. For a peer
     * without evidence it is the time in which a set-up that is on its way arrives and is read, even on a fraction of a
     * CPU core.
     */
    private final double evictableAfterMs;

    CallerEvidence(double evictableAfterMs) {
        this.evictableAfterMs = evictableAfterMs;
    }

    double evictableAfterMs() {
        return evictableAfterMs;
    }

    /** Returns whether a connection with this evidence is evicted before one with the other that is silent longer. */
    boolean isEvictedBefore(CallerEvidence other) {
        return other.isProven() && compareTo(other) < 0;
    }

    /** Returns whether the peer is known to be a caller. */
    boolean isProven() {
        return this == PROVEN || this == ESTABLISHED_CALL;
    }
}
