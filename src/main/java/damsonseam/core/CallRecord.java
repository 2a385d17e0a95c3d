package damsonseam.core;

import damsonseam.Front.Result;

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
        ESTABLISHED,
        CLOSED
    }

    private final long id;
    private final String number;
    private final int callClass;
    private final boolean isRedial;
    private final double receivedAt;
    private final double deadline;
    private RouterPorts.Caller caller;
    private Phase phase = Phase.LOOKING_UP;
    private int attempts;
    private String server;
    private boolean hasPendingAttempt;
    private double sentAt;
    private Result releaseOutcome;
    private double releaseStartedAt;
    private TimerWheel.Timer deadlineTimer;
    private TimerWheel.Timer attemptTimer;

    CallRecord(
            long id,
            String number,
            int callClass,
            boolean redialled,
            double takenAt,
            double deadline,
            RouterPorts.Caller caller) {
        this.id = id;
        this.number = number;
        this.callClass = callClass;
        this.isRedial = redialled;
        this.receivedAt = takenAt;
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
    public boolean isRedial() {
        return isRedial;
    }

    /** When the front took it. */
    public double receivedAt() {
        return receivedAt;
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
    public boolean hasPendingAttempt() {
        return hasPendingAttempt;
    }

    /** When the last attempt went out. */
    public double sentAt() {
        return sentAt;
    }

    void startTrying() {
        transition(Phase.LOOKING_UP, Phase.TRYING);
    }

    int startAttempt(String to, double now) {
        require(phase == Phase.TRYING && !hasPendingAttempt, "a second attempt while one is out");
        server = to;
        hasPendingAttempt = true;
        sentAt = now;
        return attempts++;
    }

    void endAttempt() {
        require(hasPendingAttempt, "the end of an attempt that is not out");
        hasPendingAttempt = false;
        releaseOutcome = null;
    }

    /** The attempt is given up with this result; it counts as out until its release is proved or waited out. */
    void startRelease(Result as, double now) {
        require(hasPendingAttempt && releaseOutcome == null, "a release of an attempt that is not out");
        releaseOutcome = as;
        releaseStartedAt = now;
    }

    /** What an attempt that is being released ends in, else null. */
    Result releaseOutcome() {
        return releaseOutcome;
    }

    /** When the attempt that is being released was given up. */
    double releaseStartedAt() {
        return releaseStartedAt;
    }

    void establish() {
        require(hasPendingAttempt && releaseOutcome == null, "a call that stands without an attempt");
        hasPendingAttempt = false;
        transition(Phase.TRYING, Phase.ESTABLISHED);
    }

    /** Ends the call; returns its caller the first time that one is owed an answer, else null. */
    RouterPorts.Caller close() {
        phase = Phase.CLOSED;
        return takeCaller();
    }

    /** Hands out the caller once, so that no call is answered twice. */
    RouterPorts.Caller takeCaller() {
        RouterPorts.Caller owed = caller;
        caller = null;
        return owed;
    }

    boolean isCurrentAttempt(int attempt) {
        return attempt == attempts - 1;
    }

    TimerWheel.Timer replaceAttemptTimer(TimerWheel.Timer timer) {
        TimerWheel.Timer old = attemptTimer;
        attemptTimer = timer;
        return old;
    }

    TimerWheel.Timer replaceDeadlineTimer(TimerWheel.Timer timer) {
        TimerWheel.Timer old = deadlineTimer;
        deadlineTimer = timer;
        return old;
    }

    private void transition(Phase from, Phase to) {
        require(phase == from, "no way from " + phase + " to " + to);
        phase = to;
    }

    private void require(boolean holds, String what) {
        if (!holds) {
            throw new IllegalStateException("call " + id + ": " + what);
        }
    }
}
