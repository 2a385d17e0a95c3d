package damsonseam.ss7;

import damsonseam.core.TimerWheel;
import damsonseam.ss7.M3uaMessage.Kind;
import damsonseam.ss7.M3uaMessage.Parameter;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ASP side of one M3UA connection (RFC 4666 section 4.3): brings the ASP up, then active, after which traffic may
 * flow. Heartbeats detect a connection that failed without being closed; a BEAT also serves as the probe of a
 * calculator.
 *
 * <p>Not thread-safe. The session has no clock and no socket: the caller supplies the time, in milliseconds, and
 * messages leave through {@link Output}. The count of outstanding probes is bounded.
 */
public final class AspSession {
    /** Time after which an unacknowledged ASPUP or ASPAC is sent again (RFC 4666 section 4.3.4.1: T(ack), 2 s). */
    private static final double T_ACK_MS = 2_000;
    /** Retransmissions of an ASPUP or ASPAC before the connection is closed. */
    private static final int MAX_RETRANSMISSIONS = 3;
    /** Maximum count of outstanding probes; a further one fails at once. */
    private static final int MAX_OUTSTANDING_PROBES = 64;

    /** The state of the ASP, as far as this side knows it. */
    public enum State {
        DOWN,
        GOING_UP,
        GOING_ACTIVE,
        ACTIVE
    }

    /** Sends messages and receives the events of a session. */
    public interface Output {
        /** Sends a message. */
        void send(M3uaMessage message);

        /** Closes the connection because the far end does not respond as it must. */
        void close(String reason);

        /** Called when the ASP became active and traffic may flow. */
        void onActive();

        /** Called when the far point code became available, unavailable or congested (level 0 to 3). */
        void onDestinationState(boolean reachable, int congestionLevel);

        /** Called for each DATA message. */
        void onData(ProtocolData data);

        /** Called once for each probe, when it was answered or failed after {@code delayMs}. */
        void onProbeResult(boolean answered, double delayMs);
    }

    private final Output out;
    private final TimerWheel timers;
    private final int aspIdentifier;
    private final int farPointCode;
    private final double probeTimeoutMs;
    private final double heartbeatMs;
    private final Map<Long, Double> probesSentAt = new LinkedHashMap<>();
    private final Map<Long, TimerWheel.Timer> probeTimers = new HashMap<>();
    private State state = State.DOWN;
    private int retransmissions;
    private TimerWheel.Timer ackTimer;
    private TimerWheel.Timer heartbeatTimer;
    private long nextHeartbeatId = 1;
    private boolean receivedSinceHeartbeat;
    private int silentHeartbeats;
    private boolean reachable = true;
    private int congestionLevel;

    /**
     * Creates a session that is down.
     *
     * @param aspIdentifier ASP identifier sent with ASPUP
     * @param farPointCode point code whose availability this session follows
     * @param probeTimeoutMs time after which an unanswered probe has failed, in milliseconds
     * @param heartbeatMs interval of heartbeats, in milliseconds; 0 for none
     */
    public AspSession(
            Output out,
            TimerWheel timers,
            int aspIdentifier,
            int farPointCode,
            double probeTimeoutMs,
            double heartbeatMs) {
        this.out = out;
        this.timers = timers;
        this.aspIdentifier = aspIdentifier;
        this.farPointCode = farPointCode;
        this.probeTimeoutMs = probeTimeoutMs;
        this.heartbeatMs = heartbeatMs;
    }

    /** Starts the session on a new connection. */
    public void onConnected(double now) {
        reachable = true;
        congestionLevel = 0;
        silentHeartbeats = 0;
        enter(State.GOING_UP, now);
    }

    /** Ends the session with its connection; outstanding probes fail. */
    public void onClosed(double now) {
        state = State.DOWN;
        timers.cancel(ackTimer);
        timers.cancel(heartbeatTimer);
        ackTimer = null;
        heartbeatTimer = null;
        probeTimers.values().forEach(timers::cancel);
        probeTimers.clear();
        Map<Long, Double> failed = new LinkedHashMap<>(probesSentAt);
        probesSentAt.clear();
        failed.values().forEach(sentAt -> out.onProbeResult(false, now - sentAt));
    }

    private void enter(State to, double now) {
        state = to;
        retransmissions = 0;
        sendStateRequest(now);
    }

    private void sendStateRequest(double now) {
        timers.cancel(ackTimer);
        ackTimer = null;
        if (state == State.GOING_UP) {
            out.send(M3uaMessage.of(Kind.ASPUP, Parameter.ofInt(M3uaMessage.ASP_IDENTIFIER, aspIdentifier)));
        } else if (state == State.GOING_ACTIVE) {
            out.send(M3uaMessage.of(Kind.ASPAC));
        } else {
            return;
        }
        ackTimer = timers.schedule(now + T_ACK_MS, at -> {
            if (++retransmissions > MAX_RETRANSMISSIONS) {
                out.close("no acknowledgement in " + state);
            } else {
                sendStateRequest(at);
            }
        });
    }

    /**
     * Handles a message.
     *
     * @throws SignallingProtocolException if the message is malformed or not expected in this state; it then changes
     *     nothing, and the caller answers it with an ERR
     */
    public void onMessage(double now, M3uaMessage message) throws SignallingProtocolException {
        receivedSinceHeartbeat = true;
        switch (message.kind()) {
            case ASPUP_ACK -> {
                if (state == State.GOING_UP) {
                    enter(State.GOING_ACTIVE, now);
                } else if (state == State.ACTIVE) {
                    // An unexpected ASP Up Ack: the far end has lost the ASP state (RFC 4666 section 4.3.4.1).
                    enter(State.GOING_ACTIVE, now);
                }
            }
            case ASPAC_ACK -> {
                if (state == State.GOING_ACTIVE) {
                    enter(State.ACTIVE, now);
                    out.onActive();
                    scheduleHeartbeat(now);
                }
            }
            case ASPDN_ACK -> {
                if (state != State.DOWN) {
                    enter(State.GOING_UP, now);
                }
            }
            case ASPIA_ACK -> {
                if (state == State.ACTIVE) {
                    enter(State.GOING_ACTIVE, now);
                }
            }
            case BEAT -> out.send(new M3uaMessage(Kind.BEAT_ACK, message.parameters()));
            case BEAT_ACK -> onHeartbeatAck(now, message);
            case DATA -> {
                if (state != State.ACTIVE) {
                    throw new SignallingProtocolException(M3uaMessage.UNEXPECTED_MESSAGE, "DATA in state " + state);
                }
                out.onData(ProtocolData.from(message));
            }
            case DUNA, DAVA, SCON, DRST -> onDestinationMessage(message);
            case ERR, NTFY, DUPU -> {}
            default ->
                throw new SignallingProtocolException(
                        M3uaMessage.UNEXPECTED_MESSAGE, message.kind() + " received by an ASP");
        }
    }

    private void onDestinationMessage(M3uaMessage message) throws SignallingProtocolException {
        byte[] affected = message.parameterValue(M3uaMessage.AFFECTED_POINT_CODE);
        if (affected == null) {
            throw new SignallingProtocolException(
                    M3uaMessage.MISSING_PARAMETER, message.kind() + " without affected point code");
        }
        if (!includesFarPointCode(affected)) {
            return;
        }
        switch (message.kind()) {
            case DUNA -> reachable = false;
            case SCON -> congestionLevel = Math.max(0, message.intParameter(M3uaMessage.CONGESTION_INDICATIONS));
            default -> {
                reachable = true;
                congestionLevel = 0;
            }
        }
        out.onDestinationState(reachable, congestionLevel);
    }

    /** Returns whether the far point code is in the list, whose entries may mask low-order bits. */
    private boolean includesFarPointCode(byte[] affected) throws SignallingProtocolException {
        if (affected.length % Integer.BYTES != 0) {
            throw new SignallingProtocolException(
                    M3uaMessage.PARAMETER_FIELD_ERROR,
                    "affected point code parameter of " + affected.length + " octets");
        }
        ByteBuffer in = ByteBuffer.wrap(affected);
        while (in.hasRemaining()) {
            int maskAndPointCode = in.getInt();
            int maskedBits = Math.min(24, maskAndPointCode >>> 24);
            if ((maskAndPointCode & 0xffffff) >> maskedBits == farPointCode >> maskedBits) {
                return true;
            }
        }
        return false;
    }

    // ---- Heartbeats -------------------------------------------------------------------------------------

    /** Sends a probe, the result of which is reported through {@link Output#onProbeResult}. */
    public void sendProbe(double now) {
        if (state != State.ACTIVE || probesSentAt.size() >= MAX_OUTSTANDING_PROBES) {
            timers.schedule(now, at -> out.onProbeResult(false, 0));
            return;
        }
        long id = nextHeartbeatId++;
        probesSentAt.put(id, now);
        probeTimers.put(id, timers.schedule(now + probeTimeoutMs, at -> {
            probeTimers.remove(id);
            if (probesSentAt.remove(id) != null) {
                out.onProbeResult(false, at - now);
            }
        }));
        sendHeartbeat(id);
    }

    private void sendHeartbeat(long id) {
        out.send(M3uaMessage.of(
                Kind.BEAT,
                new Parameter(
                        M3uaMessage.HEARTBEAT_DATA,
                        ByteBuffer.allocate(Long.BYTES).putLong(id).array())));
    }

    private void onHeartbeatAck(double now, M3uaMessage message) {
        byte[] data = message.parameterValue(M3uaMessage.HEARTBEAT_DATA);
        if (data == null || data.length != Long.BYTES) {
            return;
        }
        long id = ByteBuffer.wrap(data).getLong();
        Double sentAt = probesSentAt.remove(id);
        if (sentAt != null) {
            timers.cancel(probeTimers.remove(id));
            out.onProbeResult(true, now - sentAt);
        }
    }

    private void scheduleHeartbeat(double now) {
        timers.cancel(heartbeatTimer);
        heartbeatTimer = heartbeatMs <= 0
                ? null
                : timers.schedule(now + heartbeatMs, at -> {
                    // Nothing was received for two intervals: the far end failed without closing the connection.
                    silentHeartbeats = receivedSinceHeartbeat ? 0 : silentHeartbeats + 1;
                    if (silentHeartbeats >= 2) {
                        out.close("no heartbeat in " + 2 * heartbeatMs + " ms");
                        return;
                    }
                    receivedSinceHeartbeat = false;
                    sendHeartbeat(nextHeartbeatId++);
                    scheduleHeartbeat(at);
                });
    }

    /** Returns whether set-ups may be sent: the ASP is active and the destination available. */
    public boolean isUsable() {
        return state == State.ACTIVE && reachable;
    }

    /** Returns the state of the session. */
    public State state() {
        return state;
    }

    /** Returns the congestion level last reported for the destination, 0 for none. */
    public int congestionLevel() {
        return congestionLevel;
    }
}
