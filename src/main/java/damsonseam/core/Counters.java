package damsonseam.core;

/** Plain counts of one core, for health calls and reports; only the core's own thread writes them. */
public final class Counters {
    /** Calls taken, and what became of them. */
    public long received;
    /** Answered: stands. */
    public long established;
    /** Answered: refused. */
    public long refused;
    /** Of these, refused because the table was full. */
    public long refusedTableFull;
    /** Answered: failed, unknown numbers included. */
    public long failed;
    /** Calls that the core failed at the last moment, as the module had not. */
    public long failedAtDeadline;
    /** Set-ups sent. */
    public long setUps;
    /** Set-ups for which there was no circuit or no way to the server. */
    public long notSent;
    /** Attempts abandoned in silence. */
    public long timedOut;
    /** Releases whose proof did not come in the time it is waited for. */
    public long unconfirmedReleases;
    /** Attempts called off by the module. */
    public long cancelled;
    /** Longest pause of the loop, in milliseconds. */
    public double maxPauseMs;
}
