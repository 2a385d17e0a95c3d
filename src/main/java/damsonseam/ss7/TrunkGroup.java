package damsonseam.ss7;

import damsonseam.RoutingPolicy.AttemptStatus;
import damsonseam.RoutingPolicy.RejectReason;
import damsonseam.RoutingPolicy.ServerLoadReport;
import damsonseam.core.CircuitAllocator;
import damsonseam.core.TimerWheel;
import java.util.BitSet;
import java.util.OptionalDouble;
import org.agrona.collections.Long2ObjectHashMap;

/**
 * Call control of one trunk group at the side that sets calls up (ITU-T Q.764). A circuit is in use from its IAM to
 * its RLC, whatever happens to the call in between. After a lost connection, circuits that were in use are reset before
 * they carry new calls. An answer that arrives after the REL is ignored.
 *
 * <p>For each attempt that {@link #setUp} sent, either {@link Output#onAttemptEnded} is called once, or the owner calls
 * {@link #release}. A call that was answered stays established until one of the two.
 *
 * <p>Not thread-safe. The caller supplies the time, in milliseconds. Memory is bounded by the count of circuits.
 */
public final class TrunkGroup {
    /** Maximum count of outstanding resets after a lost connection, so as not to overload the far end. */
    private static final int MAX_OUTSTANDING_RESETS = 32;

    /** Sends messages and receives the events of a trunk group. */
    public interface Output {
        /** Sends an ISUP message to the far end. */
        void send(IsupMessage message);

        /** Called when an attempt was answered, by which its call is established. */
        void onAnswered(double now, long callId, int attempt, ServerLoadReport report);

        /** Called when the far end, or the loss of the connection, ended an attempt or released an established call. */
        void onAttemptEnded(
                double now,
                long callId,
                int attempt,
                AttemptStatus status,
                RejectReason reason,
                OptionalDouble retryAfterMs,
                ServerLoadReport report);

        /** Called when the far end has confirmed the release of an attempt, has released it too, or is gone. */
        void onReleaseComplete(double now, long callId, int attempt);
    }

    /**
     * Timer values of a trunk group, in milliseconds (Q.764 annex A).
     *
     * @param t1Ms time without RLC after which a REL is sent again
     * @param t5Ms time after which a circuit that is still not released is reset
     * @param t17Ms time without RLC after which an RSC is sent again
     */
    public record TimerValues(double t1Ms, double t5Ms, double t17Ms) {
        /** The values of the recommendation: 15 s, 5 minutes, 5 minutes. */
        public static final TimerValues Q764 = new TimerValues(15_000, 300_000, 300_000);
    }

    private enum State {
        SETTING_UP,
        ANSWERED,
        RELEASING,
        RESETTING
    }

    /**
     * The state of a circuit that is in use; {@code callId} and {@code attempt} are -1 if it carries no call of this
     * side.
     */
    private static final class BusyCircuit {
        final int circuit;
        final long callId;
        final int attempt;
        State state = State.SETTING_UP;
        TimerWheel.Timer timer;
        double releaseStartedAt;
        int cause;

        BusyCircuit(int circuit, long callId, int attempt) {
            this.circuit = circuit;
            this.callId = callId;
            this.attempt = attempt;
        }
    }

    private final CircuitAllocator circuits;
    private final TimerWheel timers;
    private final TimerValues timerValues;
    private final Output out;
    private final int pointCode;
    private final BusyCircuit[] busyCircuits;
    private final Long2ObjectHashMap<BusyCircuit> circuitsByCall = new Long2ObjectHashMap<>();
    /** Circuits to be reset as soon as there is a connection. */
    private final BitSet circuitsToReset = new BitSet();

    private int outstandingResets;
    private boolean connected;
    private long unexpectedMessages;
    private long lateAnswers;
    private long dualSeizures;

    /**
     * Creates a group whose circuits are all idle.
     *
     * @param pointCode point code of this end, sent in the call reference
     */
    public TrunkGroup(
            CircuitAllocator circuits, TimerWheel timers, TimerValues timerValues, int pointCode, Output out) {
        this.circuits = circuits;
        this.timers = timers;
        this.timerValues = timerValues;
        this.pointCode = pointCode;
        this.out = out;
        busyCircuits = new BusyCircuit[circuits.size() + 1];
    }

    // ---- Outgoing calls ---------------------------------------------------------------------------------

    /** Seizes a circuit and sends an IAM; returns false if no circuit was idle. */
    public boolean setUp(long callId, int attempt, String number, int category) {
        int circuit = circuits.seize();
        if (circuit == 0) {
            return false;
        }
        BusyCircuit busy = new BusyCircuit(circuit, callId, attempt);
        busyCircuits[circuit] = busy;
        circuitsByCall.put(callId, busy);
        out.send(IsupMessages.initialAddress(circuit, number, category, callId, pointCode));
        return true;
    }

    /** Releases the circuit of an attempt, for which only {@link Output#onReleaseComplete} is called from then on. */
    public void release(double now, long callId, int attempt, int cause) {
        BusyCircuit busy = circuitsByCall.get(callId);
        if (busy != null && busy.attempt == attempt) {
            circuitsByCall.remove(callId);
            startRelease(busy, cause, now);
        }
    }

    private void startRelease(BusyCircuit busy, int cause, double now) {
        busy.state = State.RELEASING;
        busy.cause = cause;
        busy.releaseStartedAt = now;
        if (connected) {
            out.send(IsupMessages.release(busy.circuit, cause));
            scheduleRetransmission(busy, now);
        } else {
            circuitsToReset.set(busy.circuit);
        }
    }

    /** Retransmits a REL or RSC until it is confirmed; a REL that remains unconfirmed is followed by an RSC. */
    private void scheduleRetransmission(BusyCircuit busy, double now) {
        timers.cancel(busy.timer);
        double delayMs = busy.state == State.RELEASING ? timerValues.t1Ms() : timerValues.t17Ms();
        busy.timer = timers.schedule(now + delayMs, at -> {
            busy.timer = null;
            if (!connected || busyCircuits[busy.circuit] != busy) {
                return;
            }
            if (busy.state == State.RELEASING && at - busy.releaseStartedAt < timerValues.t5Ms()) {
                out.send(IsupMessages.release(busy.circuit, busy.cause));
            } else {
                outstandingResets += busy.state == State.RESETTING ? 0 : 1;
                busy.state = State.RESETTING;
                out.send(IsupMessage.of(busy.circuit, IsupMessage.Type.RSC));
            }
            scheduleRetransmission(busy, at);
        });
    }

    // ---- Signalling connection --------------------------------------------------------------------------

    /** Resumes traffic on a new connection; circuits in use on the previous one are reset, a few at a time. */
    public void onConnectionUp(double now) {
        connected = true;
        sendPendingResets(now);
    }

    private void sendPendingResets(double now) {
        for (int circuit = circuitsToReset.nextSetBit(0);
                circuit >= 0 && outstandingResets < MAX_OUTSTANDING_RESETS;
                circuit = circuitsToReset.nextSetBit(circuit)) {
            circuitsToReset.clear(circuit);
            BusyCircuit busy = busyCircuits[circuit];
            if (busy != null) {
                busy.state = State.RESETTING;
                outstandingResets++;
                circuits.startReset(circuit);
                out.send(IsupMessage.of(circuit, IsupMessage.Type.RSC));
                scheduleRetransmission(busy, now);
            }
        }
    }

    /** Ends every attempt and every established call after the connection is lost, reporting each once. */
    public void onConnectionLost(double now) {
        connected = false;
        outstandingResets = 0;
        for (int circuit = 1; circuit < busyCircuits.length; circuit++) {
            BusyCircuit busy = busyCircuits[circuit];
            if (busy == null) {
                continue;
            }
            timers.cancel(busy.timer);
            busy.timer = null;
            circuitsToReset.set(circuit);
            boolean carriesCall = busy.state == State.SETTING_UP || busy.state == State.ANSWERED;
            if (busy.state == State.RELEASING) {
                out.onReleaseComplete(now, busy.callId, busy.attempt);
            }
            busy.state = State.RELEASING;
            if (carriesCall && circuitsByCall.remove(busy.callId) != null) {
                out.onAttemptEnded(
                        now,
                        busy.callId,
                        busy.attempt,
                        AttemptStatus.RESET,
                        RejectReason.NONE,
                        OptionalDouble.empty(),
                        ServerLoadReport.NONE);
            }
        }
    }

    // ---- Incoming messages ------------------------------------------------------------------------------

    /** Handles a message; unexpected ones are handled according to Q.764 2.9.5. */
    public void onMessage(double now, IsupMessage message) {
        int circuit = message.circuit();
        if (!circuits.contains(circuit)) {
            unexpectedMessages++;
            return;
        }
        BusyCircuit busy = busyCircuits[circuit];
        switch (message.type()) {
            case ACM, CPG -> handleProgress(busy, circuit, now);
            case ANM, CON -> handleAnswer(busy, message, now);
            case REL -> handleRelease(busy, message, now);
            case RLC -> handleReleaseComplete(busy, circuit, now);
            case RSC -> {
                handleReset(busy, circuit, now);
                out.send(IsupMessage.of(circuit, IsupMessage.Type.RLC));
            }
            case GRS -> handleGroupReset(message, now);
            case BLO -> {
                circuits.setBlocked(circuit, true);
                out.send(IsupMessage.of(circuit, IsupMessage.Type.BLA));
            }
            case UBL -> {
                circuits.setBlocked(circuit, false);
                out.send(IsupMessage.of(circuit, IsupMessage.Type.UBA));
            }
            case IAM -> handleIncomingCall(busy, circuit, now);
            default -> unexpectedMessages++;
        }
    }

    /** Handles a message that could not be decoded: answers CFN if its circuit exists (Q.764 2.9.5.3). */
    public void onMalformedMessage(int circuit, int cause) {
        unexpectedMessages++;
        if (connected && circuits.contains(circuit)) {
            out.send(IsupMessages.confusion(circuit, cause));
        }
    }

    /** Resets an idle circuit on which the far end reports progress, as it holds that circuit (Q.764 2.9.5.1 f). */
    private void handleProgress(BusyCircuit busy, int circuit, double now) {
        if (busy == null) {
            unexpectedMessages++;
            seizeAndReset(circuit, now);
        }
    }

    private void seizeAndReset(int circuit, double now) {
        circuits.seizeIncoming(circuit);
        busyCircuits[circuit] = new BusyCircuit(circuit, -1, -1);
        busyCircuits[circuit].state = State.RELEASING;
        circuitsToReset.set(circuit);
        sendPendingResets(now);
    }

    private void handleAnswer(BusyCircuit busy, IsupMessage message, double now) {
        if (busy == null) {
            handleProgress(null, message.circuit(), now);
        } else if (busy.state == State.SETTING_UP) {
            busy.state = State.ANSWERED;
            out.onAnswered(now, busy.callId, busy.attempt, LoadReportParameter.decode(message));
        } else {
            lateAnswers++;
        }
    }

    private void handleRelease(BusyCircuit busy, IsupMessage message, double now) {
        int circuit = message.circuit();
        out.send(IsupMessage.of(circuit, IsupMessage.Type.RLC));
        if (busy == null || busy.state == State.RESETTING) {
            return;
        }
        if (busy.state == State.RELEASING) {
            // Both ends have sent REL: the release of this end is complete as well (Q.764 2.3.1 e).
            makeIdle(busy, now);
            out.onReleaseComplete(now, busy.callId, busy.attempt);
            return;
        }
        boolean answered = busy.state == State.ANSWERED;
        circuitsByCall.remove(busy.callId);
        makeIdle(busy, now);
        int cause = qualifiedCause(message);
        out.onAttemptEnded(
                now,
                busy.callId,
                busy.attempt,
                attemptStatus(cause, answered),
                rejectReason(cause, answered),
                OptionalDouble.empty(),
                LoadReportParameter.decode(message));
    }

    /**
     * Returns the cause of a REL, qualified by its automatic congestion level (Q.764 2.11): a level means that the far
     * end is congested whatever the cause, unless the cause is a busy circuit or number, or normal clearing.
     */
    private static int qualifiedCause(IsupMessage message) {
        int cause = IsupMessages.cause(message);
        boolean specificCause = cause == IsupMessage.NO_CIRCUIT_AVAILABLE
                || cause == IsupMessage.USER_BUSY
                || cause == IsupMessage.NORMAL_CLEARING;
        return IsupMessages.congestionLevel(message) > 0 && !specificCause
                ? IsupMessage.SWITCHING_EQUIPMENT_CONGESTION
                : cause;
    }

    private static AttemptStatus attemptStatus(int cause, boolean answered) {
        if (answered) {
            return cause == IsupMessage.NORMAL_CLEARING ? AttemptStatus.COMPLETED : AttemptStatus.RESET;
        }
        return cause == IsupMessage.NO_CIRCUIT_AVAILABLE || cause == IsupMessage.SWITCHING_EQUIPMENT_CONGESTION
                ? AttemptStatus.FULL
                : AttemptStatus.ERROR;
    }

    private static RejectReason rejectReason(int cause, boolean answered) {
        if (answered) {
            return RejectReason.NONE;
        }
        return switch (cause) {
            case IsupMessage.NO_CIRCUIT_AVAILABLE -> RejectReason.NO_LINE;
            case IsupMessage.SWITCHING_EQUIPMENT_CONGESTION -> RejectReason.PROCESSOR_FULL;
            case IsupMessage.USER_BUSY -> RejectReason.NUMBER_BUSY;
            default -> RejectReason.NONE;
        };
    }

    private void handleReleaseComplete(BusyCircuit busy, int circuit, double now) {
        if (busy == null) {
            return;
        }
        if (busy.state == State.RELEASING || busy.state == State.RESETTING) {
            makeIdle(busy, now);
            out.onReleaseComplete(now, busy.callId, busy.attempt);
            return;
        }
        // RLC without REL: the far end has released the call, so it is reported as ended and the circuit is reset.
        circuitsByCall.remove(busy.callId);
        busy.state = State.RELEASING;
        circuitsToReset.set(circuit);
        sendPendingResets(now);
        out.onAttemptEnded(
                now,
                busy.callId,
                busy.attempt,
                AttemptStatus.RESET,
                RejectReason.NONE,
                OptionalDouble.empty(),
                ServerLoadReport.NONE);
    }

    private void makeIdle(BusyCircuit busy, double now) {
        timers.cancel(busy.timer);
        busyCircuits[busy.circuit] = null;
        circuitsToReset.clear(busy.circuit);
        if (busy.state == State.RESETTING) {
            outstandingResets = Math.max(0, outstandingResets - 1);
        }
        circuits.setIdle(busy.circuit);
        if (connected) {
            sendPendingResets(now);
        }
    }

    private void handleReset(BusyCircuit busy, int circuit, double now) {
        circuits.setBlocked(circuit, false);
        if (busy == null) {
            return;
        }
        boolean carriesCall = (busy.state == State.SETTING_UP || busy.state == State.ANSWERED)
                && circuitsByCall.remove(busy.callId) != null;
        makeIdle(busy, now);
        out.onReleaseComplete(now, busy.callId, busy.attempt);
        if (carriesCall) {
            out.onAttemptEnded(
                    now,
                    busy.callId,
                    busy.attempt,
                    AttemptStatus.RESET,
                    RejectReason.NONE,
                    OptionalDouble.empty(),
                    ServerLoadReport.NONE);
        }
    }

    /** Handles a GRS; its range is the count of circuits after the first that are reset as well (Q.763 3.43). */
    private void handleGroupReset(IsupMessage message, double now) {
        byte[] value = message.parameterValue(IsupMessage.RANGE_AND_STATUS);
        if (value == null || value.length < 1) {
            unexpectedMessages++;
            return;
        }
        int range = Math.min(value[0] & 0xff, MAX_OUTSTANDING_RESETS - 1);
        for (int circuit = message.circuit();
                circuit <= message.circuit() + range && circuits.contains(circuit);
                circuit++) {
            handleReset(busyCircuits[circuit], circuit, now);
        }
        byte[] status = new byte[1 + (range + 8) / 8];
        status[0] = (byte) range;
        out.send(IsupMessage.of(
                message.circuit(),
                IsupMessage.Type.GRA,
                new IsupMessage.Parameter(IsupMessage.RANGE_AND_STATUS, status)));
    }

    /** Handles an IAM: refuses the call, as this side takes none, and resolves dual seizure (Q.764 2.9.1.4). */
    private void handleIncomingCall(BusyCircuit busy, int circuit, double now) {
        if (busy != null && busy.state == State.SETTING_UP) {
            dualSeizures++;
            if (circuits.isControlled(circuit)) {
                return;
            }
            // The far end controls this circuit: the attempt of this side never ran, and the call of the far end is
            // refused.
            circuitsByCall.remove(busy.callId);
            startRelease(busy, IsupMessage.NO_CIRCUIT_AVAILABLE, now);
            out.onAttemptEnded(
                    now,
                    busy.callId,
                    busy.attempt,
                    AttemptStatus.FULL,
                    RejectReason.NO_LINE,
                    OptionalDouble.empty(),
                    ServerLoadReport.NONE);
            return;
        }
        if (busy == null) {
            circuits.seizeIncoming(circuit);
            BusyCircuit refused = new BusyCircuit(circuit, -1, -1);
            busyCircuits[circuit] = refused;
            startRelease(refused, IsupMessage.NO_CIRCUIT_AVAILABLE, now);
        }
    }

    /** Returns the count of idle circuits, on which a set-up could be sent. */
    public int idleCircuits() {
        return circuits.idleCount();
    }

    /** Returns the count of circuits in use, for whatever reason. */
    public int busyCircuits() {
        int count = 0;
        for (BusyCircuit busy : busyCircuits) {
            count += busy == null ? 0 : 1;
        }
        return count;
    }

    /** Returns the count of messages that were malformed or not expected on their circuit. */
    public long unexpectedMessages() {
        return unexpectedMessages;
    }

    /** Returns the count of answers that arrived after the release of their attempt. */
    public long lateAnswers() {
        return lateAnswers;
    }

    /** Returns the count of dual seizures: circuits that both ends seized at once. */
    public long dualSeizures() {
        return dualSeizures;
    }
}
