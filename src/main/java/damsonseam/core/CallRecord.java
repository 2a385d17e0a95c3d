package damsonseam.core;

import damsonseam.RoutingPolicy.AttemptStatus;

/**
 * State machine of one call, from its arrival to its release. Phases advance in one direction only; {@code TRYING}
 * covers all attempts of the call. A transition that the state machine does not have is a defect of the core and
 * throws {@link IllegalStateException}.
 */
public final class CallRecord {

    /** The phases of a call. An established call stays in its phase until its circuit is released. */
    public enum Phase {
        LOOKING_UP,
        TRYING,
        ESTABLISHED,
        CLOSED
    }

    private final long id;
    private final String number;
    private final int callClass;
    private final boolean redial;
    private final double receivedAt;
    private final double deadline;
    private RouterPorts.Caller caller;
    private Phase phase = Phase.LOOKING_UP;
    private int attempts;
    private String serverId;
    private boolean attemptPending;
    private double sentAt;
    private AttemptStatus releaseStatus;
    private double releaseStartedAt;
    private TimerWheel.Timer deadlineTimer;
    private TimerWheel.Timer attemptTimer;

    CallRecord(
            long id,
            String number,
            int callClass,
            boolean redial,
            double receivedAt,
            double deadline,
            RouterPorts.Caller caller) {
        this.id = id;
        this.number = number;
        this.callClass = callClass;
        this.redial = redial;
        this.receivedAt = receivedAt;
        this.deadline = deadline;
        this.caller = caller;
    }

    /** Returns the call's id, which is never reused, not even after a restart of the front. */
    public long id() {
        return id;
    }

    /** Returns the called number's digits. */
    public String number() {
        return number;
    }

    /** Returns the index of the call's class in the settings. */
    public int callClass() {
        return callClass;
    }

    /** Returns whether the caller marked the call as a redial. */
    public boolean isRedial() {
        return redial;
    }

    /** Returns when the front received the call. */
    public double receivedAt() {
        return receivedAt;
    }

    /** Returns when the caller gives up; the final answer is sent before. */
    public double deadline() {
        return deadline;
    }

    /** Returns the current phase. */
    public Phase phase() {
        return phase;
    }

    /** Returns the number of attempts so far, including those whose set-up could not be sent. */
    public int attempts() {
        return attempts;
    }

    /** Returns the id of the server of the last attempt, or null if there was none. */
    public String serverId() {
        return serverId;
    }

    /** Returns whether an attempt is pending, that is, unanswered or still being released. */
    public boolean hasPendingAttempt() {
        return attemptPending;
    }

    /** Returns when the set-up of the last attempt was sent. */
    public double sentAt() {
        return sentAt;
    }

    void startTrying() {
        transition(Phase.LOOKING_UP, Phase.TRYING);
    }

    int startAttempt(String toServerId, double now) {
        require(phase == Phase.TRYING && !attemptPending, "attempt started while another one is pending");
        serverId = toServerId;
        attemptPending = true;
        sentAt = now;
        return attempts++;
    }

    void endAttempt() {
        require(attemptPending, "no pending attempt to end");
        attemptPending = false;
        releaseStatus = null;
    }

    /** Starts the release of the pending attempt, which stays pending until the release is confirmed or times out. */
    void startRelease(AttemptStatus status, double now) {
        require(attemptPending && releaseStatus == null, "no pending attempt to release");
        releaseStatus = status;
        releaseStartedAt = now;
    }

    /** Returns the status with which the attempt being released will end, or null if none is being released. */
    AttemptStatus releaseStatus() {
        return releaseStatus;
    }

    /** Returns when the release of the attempt being released was started. */
    double releaseStartedAt() {
        return releaseStartedAt;
    }

    void establish() {
        require(attemptPending && releaseStatus == null, "call established without a pending attempt");
        attemptPending = false;
        transition(Phase.TRYING, Phase.ESTABLISHED);
    }

    /** Closes the call; returns its caller if the caller has not been answered yet, else null. */
    RouterPorts.Caller close() {
        phase = Phase.CLOSED;
        return takeCaller();
    }

    /** Returns the caller on the first invocation and null afterwards, so that no call is answered twice. */
    RouterPorts.Caller takeCaller() {
        RouterPorts.Caller unanswered = caller;
        caller = null;
        return unanswered;
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
        require(phase == from, "no transition from " + phase + " to " + to);
        phase = to;
    }

    private void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalStateException("call " + id + ": " + message);
        }
    }
}
