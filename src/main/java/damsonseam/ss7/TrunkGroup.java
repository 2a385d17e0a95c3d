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
 * Call control of one trunk group at the side that sets calls up (ITU-T Q.764). A circuit is taken from its IAM
 * until its RLC, whatever became of the call; after a lost connection the circuits that were not idle are reset
 * before they are used again. Answers that come after our REL change nothing. Time is passed in.
 *
 * <p>Each attempt that {@link #setUp} sent ends in one {@link Output#onOutcome}, or is released by its owner; one
 * that was answered stands until {@code ended} or release.
 */
public final class TrunkGroup {
    /** Resets in flight at one time after a lost connection: the far end must not drown in them. */
    private static final int RESET_WINDOW = 32;

    /** What a group sends and tells. */
    public interface Output {
        /** Sends an ISUP message to the far end. */
        void send(IsupMessage message);

        /** The attempt was answered. */
        void onAnswered(double now, long call, int attempt, ServerLoadReport report);

        /** The attempt, or the standing call, was ended by the far end or with the connection. */
        void onOutcome(
                double now,
                long call,
                int attempt,
                AttemptStatus result,
                RejectReason reason,
                OptionalDouble toldWait,
                ServerLoadReport report);

        /** The far end has the release of an attempt: it completed it, released too, or is gone. */
        void onReleaseComplete(double now, long call, int attempt);
    }

    /**
     * Timers of the group, in milliseconds (Q.764 annex A).
     *
     * @param t1Ms a REL not completed is sent again
     * @param t5Ms a circuit still not released is reset
     * @param t17Ms a reset not completed is sent again
     */
    public record TimerValues(double t1Ms, double t5Ms, double t17Ms) {
        /** The recommendation's values: 15 s, 5 minutes, 5 minutes. */
        public static final TimerValues Q764 = new TimerValues(15_000, 300_000, 300_000);
    }

    private enum State {
        SETTING_UP,
        ANSWERED,
        RELEASING,
        RESETTING
    }

    /** A circuit that is not idle. */
    private static final class Busy {
        final int circuit;
        final long call;
        final int attempt;
        State state = State.SETTING_UP;
        TimerWheel.Timer timer;
        double since;
        int cause;

        Busy(int circuit, long call, int attempt) {
            this.circuit = circuit;
            this.call = call;
            this.attempt = attempt;
        }
    }

    private final CircuitAllocator circuits;
    private final TimerWheel timers;
    private final TimerValues times;
    private final Output out;
    private final int pointCode;
    private final Busy[] busyCircuits;
    private final Long2ObjectHashMap<Busy> byCall = new Long2ObjectHashMap<>();
    /** CircuitAllocator that must be reset once there is a connection, and how many resets are in flight. */
    private final BitSet toReset = new BitSet();

    private int resetsOut;
    private boolean connected;
    private long unexpectedMessages;
    private long lateAnswers;
    private long dualSeizures;

    /** A group with all circuits idle; {@code pointCode} is this end's. */
    public TrunkGroup(CircuitAllocator circuits, TimerWheel timers, TimerValues times, int pointCode, Output out) {
        this.circuits = circuits;
        this.timers = timers;
        this.times = times;
        this.pointCode = pointCode;
        this.out = out;
        busyCircuits = new Busy[circuits.size() + 1];
    }

    // ---- What the core asks for -------------------------------------------------------------------------

    /** Takes a circuit and sends a set-up; returns whether there was one. */
    public boolean setUp(long call, int attempt, String number, int category) {
        int circuit = circuits.seize();
        if (circuit == 0) {
            return false;
        }
        Busy b = new Busy(circuit, call, attempt);
        busyCircuits[circuit] = b;
        byCall.put(call, b);
        out.send(IsupMessages.initialAddress(circuit, number, category, call, pointCode));
        return true;
    }

    /** Releases what an attempt holds; its owner has done with it and hears no more of it. */
    public void release(double now, long call, int attempt, int cause) {
        Busy b = byCall.get(call);
        if (b != null && b.attempt == attempt) {
            byCall.remove(call);
            startRelease(b, cause, now);
        }
    }

    private void startRelease(Busy b, int cause, double now) {
        b.state = State.RELEASING;
        b.cause = cause;
        b.since = now;
        if (connected) {
            out.send(IsupMessages.release(b.circuit, cause));
            await(b, now);
        } else {
            toReset.set(b.circuit);
        }
    }

    /** A release or a reset is repeated until it is complete; a release that never is becomes a reset. */
    private void await(Busy b, double now) {
        timers.cancel(b.timer);
        double after = b.state == State.RELEASING ? times.t1Ms() : times.t17Ms();
        b.timer = timers.schedule(now + after, at -> {
            b.timer = null;
            if (!connected || busyCircuits[b.circuit] != b) {
                return;
            }
            if (b.state == State.RELEASING && at - b.since < times.t5Ms()) {
                out.send(IsupMessages.release(b.circuit, b.cause));
            } else {
                resetsOut += b.state == State.RESETTING ? 0 : 1;
                b.state = State.RESETTING;
                out.send(IsupMessage.of(b.circuit, IsupMessage.Type.RSC));
            }
            await(b, at);
        });
    }

    // ---- The connection ---------------------------------------------------------------------------------

    /** Traffic may flow; circuits left over from before are reset first, a few at a time. */
    public void onConnectionUp(double now) {
        connected = true;
        resetNext(now);
    }

    private void resetNext(double now) {
        for (int c = toReset.nextSetBit(0); c >= 0 && resetsOut < RESET_WINDOW; c = toReset.nextSetBit(c)) {
            toReset.clear(c);
            Busy b = busyCircuits[c];
            if (b != null) {
                b.state = State.RESETTING;
                resetsOut++;
                circuits.startReset(c);
                out.send(IsupMessage.of(c, IsupMessage.Type.RSC));
                await(b, now);
            }
        }
    }

    /** The connection is gone: every attempt out and every standing call on it is cut, each told once. */
    public void onConnectionLost(double now) {
        connected = false;
        resetsOut = 0;
        for (int c = 1; c < busyCircuits.length; c++) {
            Busy b = busyCircuits[c];
            if (b == null) {
                continue;
            }
            timers.cancel(b.timer);
            b.timer = null;
            toReset.set(c);
            boolean told = b.state == State.SETTING_UP || b.state == State.ANSWERED;
            if (b.state == State.RELEASING) {
                out.onReleaseComplete(now, b.call, b.attempt);
            }
            b.state = State.RELEASING;
            if (told && byCall.remove(b.call) != null) {
                out.onOutcome(
                        now,
                        b.call,
                        b.attempt,
                        AttemptStatus.RESET,
                        RejectReason.NONE,
                        OptionalDouble.empty(),
                        ServerLoadReport.NONE);
            }
        }
    }

    // ---- What the far end sends -------------------------------------------------------------------------

    /** A message came; the unreasonable ones are handled as Q.764 2.9.5 has it. */
    public void onMessage(double now, IsupMessage message) {
        int c = message.circuit();
        if (!circuits.contains(c)) {
            unexpectedMessages++;
            return;
        }
        Busy b = busyCircuits[c];
        switch (message.type()) {
            case ACM, CPG -> unexpected(b, c, now);
            case ANM, CON -> answer(b, message, now);
            case REL -> released(b, message, now);
            case RLC -> complete(b, c, now);
            case RSC -> {
                farReset(b, c, now);
                out.send(IsupMessage.of(c, IsupMessage.Type.RLC));
            }
            case GRS -> groupReset(message, now);
            case BLO -> {
                circuits.setBlocked(c, true);
                out.send(IsupMessage.of(c, IsupMessage.Type.BLA));
            }
            case UBL -> {
                circuits.setBlocked(c, false);
                out.send(IsupMessage.of(c, IsupMessage.Type.UBA));
            }
            case IAM -> incoming(b, c, now);
            default -> unexpectedMessages++;
        }
    }

    /** A message that could not be read: confusion is told where the circuit is known (Q.764 2.9.5.3). */
    public void onMalformedMessage(int circuit, int cause) {
        unexpectedMessages++;
        if (connected && circuits.contains(circuit)) {
            out.send(IsupMessages.confusion(circuit, cause));
        }
    }

    /** Progress on an idle circuit: the far end holds it, so it is reset (Q.764 2.9.5.1 f). */
    private void unexpected(Busy b, int c, double now) {
        if (b == null) {
            unexpectedMessages++;
            resetIdle(c, now);
        }
    }

    private void resetIdle(int c, double now) {
        circuits.seizeIncoming(c);
        busyCircuits[c] = new Busy(c, -1, -1);
        busyCircuits[c].state = State.RELEASING;
        toReset.set(c);
        resetNext(now);
    }

    private void answer(Busy b, IsupMessage message, double now) {
        if (b == null) {
            unexpected(null, message.circuit(), now);
        } else if (b.state == State.SETTING_UP) {
            b.state = State.ANSWERED;
            out.onAnswered(now, b.call, b.attempt, LoadReportParameter.decode(message));
        } else {
            lateAnswers++;
        }
    }

    private void released(Busy b, IsupMessage message, double now) {
        int c = message.circuit();
        out.send(IsupMessage.of(c, IsupMessage.Type.RLC));
        if (b == null || b.state == State.RESETTING) {
            return;
        }
        if (b.state == State.RELEASING) {
            // Releases that cross: ours is complete as well (Q.764 2.3.1 e).
            idle(b, now);
            out.onReleaseComplete(now, b.call, b.attempt);
            return;
        }
        boolean answered = b.state == State.ANSWERED;
        byCall.remove(b.call);
        idle(b, now);
        int cause = cause(message);
        out.onOutcome(
                now,
                b.call,
                b.attempt,
                result(cause, answered),
                reason(cause, answered),
                OptionalDouble.empty(),
                LoadReportParameter.decode(message));
    }

    /**
     * The cause, as the automatic congestion level qualifies it (Q.764 2.11): a far end that releases with a level
     * is pressed, whatever cause it gives, unless it says that a line or the number is what is short.
     */
    private static int cause(IsupMessage message) {
        int cause = IsupMessages.cause(message);
        boolean said = cause == IsupMessage.NO_CIRCUIT_AVAILABLE
                || cause == IsupMessage.USER_BUSY
                || cause == IsupMessage.NORMAL_CLEARING;
        return IsupMessages.congestionLevel(message) > 0 && !said ? IsupMessage.SWITCHING_EQUIPMENT_CONGESTION : cause;
    }

    private static AttemptStatus result(int cause, boolean answered) {
        if (answered) {
            return cause == IsupMessage.NORMAL_CLEARING ? AttemptStatus.COMPLETED : AttemptStatus.RESET;
        }
        return cause == IsupMessage.NO_CIRCUIT_AVAILABLE || cause == IsupMessage.SWITCHING_EQUIPMENT_CONGESTION
                ? AttemptStatus.FULL
                : AttemptStatus.ERROR;
    }

    private static RejectReason reason(int cause, boolean answered) {
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

    private void complete(Busy b, int c, double now) {
        if (b == null) {
            return;
        }
        if (b.state == State.RELEASING || b.state == State.RESETTING) {
            idle(b, now);
            out.onReleaseComplete(now, b.call, b.attempt);
            return;
        }
        // The far end has released a call of ours that we have not: its end is told, then it is reset.
        byCall.remove(b.call);
        b.state = State.RELEASING;
        toReset.set(c);
        resetNext(now);
        out.onOutcome(
                now,
                b.call,
                b.attempt,
                AttemptStatus.RESET,
                RejectReason.NONE,
                OptionalDouble.empty(),
                ServerLoadReport.NONE);
    }

    private void idle(Busy b, double now) {
        timers.cancel(b.timer);
        busyCircuits[b.circuit] = null;
        toReset.clear(b.circuit);
        if (b.state == State.RESETTING) {
            resetsOut = Math.max(0, resetsOut - 1);
        }
        circuits.setIdle(b.circuit);
        if (connected) {
            resetNext(now);
        }
    }

    private void farReset(Busy b, int c, double now) {
        circuits.setBlocked(c, false);
        if (b == null) {
            return;
        }
        boolean told = (b.state == State.SETTING_UP || b.state == State.ANSWERED) && byCall.remove(b.call) != null;
        idle(b, now);
        out.onReleaseComplete(now, b.call, b.attempt);
        if (told) {
            out.onOutcome(
                    now,
                    b.call,
                    b.attempt,
                    AttemptStatus.RESET,
                    RejectReason.NONE,
                    OptionalDouble.empty(),
                    ServerLoadReport.NONE);
        }
    }

    /** Range: the circuits after the first that are reset with it (Q.763 3.43). */
    private void groupReset(IsupMessage message, double now) {
        byte[] value = message.parameterValue(IsupMessage.RANGE_AND_STATUS);
        if (value == null || value.length < 1) {
            unexpectedMessages++;
            return;
        }
        int range = Math.min(value[0] & 0xff, RESET_WINDOW - 1);
        for (int c = message.circuit(); c <= message.circuit() + range && circuits.contains(c); c++) {
            farReset(busyCircuits[c], c, now);
        }
        byte[] status = new byte[1 + (range + 8) / 8];
        status[0] = (byte) range;
        out.send(IsupMessage.of(
                message.circuit(),
                IsupMessage.Type.GRA,
                new IsupMessage.Parameter(IsupMessage.RANGE_AND_STATUS, status)));
    }

    /** The far end seizes a circuit: this group sets up one way only, and its own call goes first if it may. */
    private void incoming(Busy b, int c, double now) {
        if (b != null && b.state == State.SETTING_UP) {
            dualSeizures++;
            if (circuits.isControlled(c)) {
                return;
            }
            // The other end controls this circuit: our attempt never ran, theirs is turned away.
            byCall.remove(b.call);
            startRelease(b, IsupMessage.NO_CIRCUIT_AVAILABLE, now);
            out.onOutcome(
                    now,
                    b.call,
                    b.attempt,
                    AttemptStatus.FULL,
                    RejectReason.NO_LINE,
                    OptionalDouble.empty(),
                    ServerLoadReport.NONE);
            return;
        }
        if (b == null) {
            circuits.seizeIncoming(c);
            Busy refused = new Busy(c, -1, -1);
            busyCircuits[c] = refused;
            startRelease(refused, IsupMessage.NO_CIRCUIT_AVAILABLE, now);
        }
    }

    /** CircuitAllocator on which a set-up could go out now. */
    public int freeCircuits() {
        return circuits.idleCount();
    }

    /** CircuitAllocator that are not idle, whatever for. */
    public int busyCircuits() {
        int count = 0;
        for (Busy b : busyCircuits) {
            count += b == null ? 0 : 1;
        }
        return count;
    }

    /** Messages that made no sense where they came. */
    public long unexpectedMessages() {
        return unexpectedMessages;
    }

    /** Answers that came after our release. */
    public long lateAnswers() {
        return lateAnswers;
    }

    /** CircuitAllocator that both ends seized at once. */
    public long dualSeizures() {
        return dualSeizures;
    }
}
