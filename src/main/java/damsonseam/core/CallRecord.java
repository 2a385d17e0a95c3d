package damsonseam.core;

import damsonseam.RoutingPolicy.AttemptStatus;

/**
 * One call from its question to its release. The phases go one way only; each is entered once but for
 * {@code TRYING}, which counts its attempts. A change that the state machine does not have is a defect of the
 * core and is refused loudly.
 */
public final class CallRecord {

    /** Where a call is. Answered calls that stand stay until their circuit is released. */
    public enum Phase {
        LOOKING_UP,
        TRYING,
        STANDING,
        OVER
    }

    private final long id;
    private final String number;
    private final int callClass;
    private final boolean redialled;
    private final double takenAt;
    private final double deadline;
    private Ports.Caller caller;
    private Phase phase = Phase.LOOKING_UP;
    private int attempts;
    private String server;
    private boolean out;
    private double sentAt;
    private AttemptStatus releasing;
    private double releasedAt;
    private Timers.Timer deadlineTimer;
    private Timers.Timer attemptTimer;

    CallRecord(
            long id,
            String number,
            int callClass,
            boolean redialled,
            double takenAt,
            double deadline,
            Ports.Caller caller) {
        this.id = id;
        this.number = number;
        this.callClass = callClass;
        this.redialled = redialled;
        this.takenAt = takenAt;
        this.deadline = deadline;
        this.caller = caller;
    }

    /** Never repeats, not in the next run of the front either. */
    public long id() {
        return id;
    }

    /** The digits called. */
    public String number() {
        return number;
    }

    /** Place of its class in the settings. */
    public int callClass() {
        return callClass;
    }

    /** Whether the caller said that it dials again. */
    public boolean redialled() {
        return redialled;
    }

    /** When the front took it. */
    public double takenAt() {
        return takenAt;
    }

    /** When its caller gives up; the final answer goes out before. */
    public double deadline() {
        return deadline;
    }

    /** Where it is. */
    public Phase phase() {
        return phase;
    }

    /** Set-ups sent so far, or proved not to have gone. */
    public int attempts() {
        return attempts;
    }

    /** The server of the last attempt, or null. */
    public String server() {
        return server;
    }

    /** Whether an attempt is out and unanswered. */
    public boolean out() {
        return out;
    }

    /** When the last attempt went out. */
    public double sentAt() {
        return sentAt;
    }

    void found() {
        move(Phase.LOOKING_UP, Phase.TRYING);
    }

    int send(String to, double now) {
        require(phase == Phase.TRYING && !out, "a second attempt while one is out");
        server = to;
        out = true;
        sentAt = now;
        return attempts++;
    }

    void attemptOver() {
        require(out, "the end of an attempt that is not out");
        out = false;
        releasing = null;
    }

    /** The attempt is given up with this result; it counts as out until its release is proved or waited out. */
    void release(AttemptStatus as, double now) {
        require(out && releasing == null, "a release of an attempt that is not out");
        releasing = as;
        releasedAt = now;
    }

    /** What an attempt that is being released ends in, else null. */
    AttemptStatus releasing() {
        return releasing;
    }

    /** When the attempt that is being released was given up. */
    double releasedAt() {
        return releasedAt;
    }

    void stand() {
        require(out && releasing == null, "a call that stands without an attempt");
        out = false;
        move(Phase.TRYING, Phase.STANDING);
    }

    /** Ends the call; returns its caller the first time that one is owed an answer, else null. */
    Ports.Caller close() {
        phase = Phase.OVER;
        return takeCaller();
    }

    /** Hands out the caller once, so that no call is answered twice. */
    Ports.Caller takeCaller() {
        Ports.Caller owed = caller;
        caller = null;
        return owed;
    }

    boolean isAttempt(int attempt) {
        return attempt == attempts - 1;
    }

    Timers.Timer swapAttemptTimer(Timers.Timer timer) {
        Timers.Timer old = attemptTimer;
        attemptTimer = timer;
        return old;
    }

    Timers.Timer swapDeadlineTimer(Timers.Timer timer) {
        Timers.Timer old = deadlineTimer;
        deadlineTimer = timer;
        return old;
    }

    private void move(Phase from, Phase to) {
        require(phase == from, "no way from " + phase + " to " + to);
        phase = to;
    }

    private void require(boolean holds, String what) {
        if (!holds) {
            throw new IllegalStateException("call " + id + ": " + what);
        }
    }
}
