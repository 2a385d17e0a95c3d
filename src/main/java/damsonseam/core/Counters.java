package damsonseam.core;

/** Counters of one router, for health checks and reports. Only the core's thread writes them. */
public final class Counters {
    /** Calls received. */
    public long received;
    /** Calls answered as established. */
    public long established;
    /** Calls answered as refused. */
    public long refused;
    /** Calls refused because the call table was full; included in {@link #refused}. */
    public long refusedTableFull;
    /** Calls refused because the front had no memory left for them; included in {@link #refused}. */
    public long refusedOutOfMemory;
    /** Calls answered as failed, including unknown numbers. */
    public long failed;
    /** Calls failed by the core shortly before their deadline because the policy had not answered them. */
    public long failedAtDeadline;
    /** Set-ups sent. */
    public long setUps;
    /** Set-ups not sent because no circuit was idle or the server was unreachable. */
    public long notSent;
    /** Attempts given up because the server did not answer in time. */
    public long timedOut;
    /** Releases not confirmed by the server within the release timeout. */
    public long unconfirmedReleases;
    /** Attempts cancelled by the policy. */
    public long cancelled;
    /** Longest delay of a tick of the event loop, in milliseconds. */
    public double maxPauseMs;
}
