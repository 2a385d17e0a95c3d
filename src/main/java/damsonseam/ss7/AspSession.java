package damsonseam.ss7;

import damsonseam.core.TimerWheel;
import damsonseam.ss7.M3uaMessage.Kind;
import damsonseam.ss7.M3uaMessage.Parameter;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The state of one signalling connection as the application server process sees it (RFC 4666 4.3): up, then
 * active, then traffic. Heartbeats find a connection that is dead without a word; a BEAT is also the probe of
 * a calculator. Time is passed in; what goes out goes through {@link Output}.
 */
public final class AspSession {
    /** Time before ASPUP and ASPAC are repeated (RFC 4666 4.3.4.1: T(ack), 2 s). */
    private static final double T_ACK = 2_000;
    /** Repeats before the connection is given up. */
    private static final int REPEATS = 3;
    /** Probes waiting for their answers at one time; one more is answered as failed at once. */
    private static final int MOST_PROBES = 64;

    /** Where the session is. */
    public enum State {
        DOWN,
        GOING_UP,
        GOING_ACTIVE,
        ACTIVE
    }

    /** What a session asks of its connection and tells its owner. */
    public interface Output {
        /** Sends a message. */
        void send(M3uaMessage message);

        /** Closes the connection: the far end does not do its part. */
        void close(String why);

        /** Traffic may flow. */
        void onActive();

        /** The state of the far destination changed: whether it can be reached, and its congestion level. */
        void onDestinationState(boolean reachable, int congestionLevel);

        /** A DATA came. */
        void onData(ProtocolData data);

        /** A probe was answered, or not in time. */
        void onProbeResult(boolean answered, double delay);
    }

    private final Output out;
    private final TimerWheel timers;
    private final int aspIdentifier;
    private final int farPointCode;
    private final double probeTimeout;
    private final double heartbeat;
    private final Map<Long, Double> probes = new LinkedHashMap<>();
    private final Map<Long, TimerWheel.Timer> probeTimers = new HashMap<>();
    private State state = State.DOWN;
    private int repeats;
    private TimerWheel.Timer ackTimer;
    private TimerWheel.Timer beatTimer;
    private long nextBeat = 1;
    private boolean heardSinceBeat;
    private int silentBeats;
    private boolean reachable = true;
    private int congestionLevel;

    /**
     * A session that is down.
     *
     * @param probeTimeout time in which a probe must be answered, in milliseconds
     * @param heartbeat time between heartbeats on a quiet connection, 0 for none
     */
    public AspSession(
            Output out, TimerWheel timers, int aspIdentifier, int farPointCode, double probeTimeout, double heartbeat) {
        this.out = out;
        this.timers = timers;
        this.aspIdentifier = aspIdentifier;
        this.farPointCode = farPointCode;
        this.probeTimeout = probeTimeout;
        this.heartbeat = heartbeat;
    }

    /** The connection was made. */
    public void onConnected(double now) {
        reachable = true;
        congestionLevel = 0;
        silentBeats = 0;
        go(State.GOING_UP, now);
    }

    /** The connection is gone; probes still out have failed. */
    public void onClosed(double now) {
        state = State.DOWN;
        timers.cancel(ackTimer);
        timers.cancel(beatTimer);
        ackTimer = null;
        beatTimer = null;
        probeTimers.values().forEach(timers::cancel);
        probeTimers.clear();
        Map<Long, Double> lost = new LinkedHashMap<>(probes);
        probes.clear();
        lost.values().forEach(sentAt -> out.onProbeResult(false, now - sentAt));
    }

    private void go(State to, double now) {
        state = to;
        repeats = 0;
        sendForState(now);
    }

    private void sendForState(double now) {
        timers.cancel(ackTimer);
        ackTimer = null;
        if (state == State.GOING_UP) {
            out.send(M3uaMessage.of(Kind.ASPUP, Parameter.ofInt(M3uaMessage.ASP_IDENTIFIER, aspIdentifier)));
        } else if (state == State.GOING_ACTIVE) {
            out.send(M3uaMessage.of(Kind.ASPAC));
        } else {
            return;
        }
        ackTimer = timers.schedule(now + T_ACK, at -> {
            if (++repeats > REPEATS) {
                out.close("no acknowledgement in " + state);
            } else {
                sendForState(at);
            }
        });
    }

    /** A message came; one that may not come now is answered with an ERR and changes nothing. */
    public void onMessage(double now, M3uaMessage message) throws SignallingProtocolException {
        heardSinceBeat = true;
        switch (message.kind()) {
            case ASPUP_ACK -> {
                if (state == State.GOING_UP) {
                    go(State.GOING_ACTIVE, now);
                } else if (state == State.ACTIVE) {
                    // An ack that was not asked for: the far end lost our state (RFC 4666 4.3.4.1).
                    go(State.GOING_ACTIVE, now);
                }
            }
            case ASPAC_ACK -> {
                if (state == State.GOING_ACTIVE) {
                    go(State.ACTIVE, now);
                    out.onActive();
                    scheduleBeat(now);
                }
            }
            case ASPDN_ACK -> {
                if (state != State.DOWN) {
                    go(State.GOING_UP, now);
                }
            }
            case ASPIA_ACK -> {
                if (state == State.ACTIVE) {
                    go(State.GOING_ACTIVE, now);
                }
            }
            case BEAT -> out.send(new M3uaMessage(Kind.BEAT_ACK, message.parameters()));
            case BEAT_ACK -> beatAck(now, message);
            case DATA -> {
                if (state != State.ACTIVE) {
                    throw new SignallingProtocolException(M3uaMessage.UNEXPECTED_MESSAGE, "DATA while " + state);
                }
                out.onData(ProtocolData.from(message));
            }
            case DUNA, DAVA, SCON, DRST -> destination(message);
            case ERR, NTFY, DUPU -> {}
            default ->
                throw new SignallingProtocolException(M3uaMessage.UNEXPECTED_MESSAGE, message.kind() + " at an ASP");
        }
    }

    private void destination(M3uaMessage message) throws SignallingProtocolException {
        byte[] affected = message.parameterValue(M3uaMessage.AFFECTED_POINT_CODE);
        if (affected == null) {
            throw new SignallingProtocolException(
                    M3uaMessage.MISSING_PARAMETER, message.kind() + " without a point code");
        }
        if (!covers(affected)) {
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

    /** Whether one of the listed point codes, each under a mask of its low bits, is the far one. */
    private boolean covers(byte[] affected) throws SignallingProtocolException {
        if (affected.length % Integer.BYTES != 0) {
            throw new SignallingProtocolException(
                    M3uaMessage.PARAMETER_FIELD_ERROR, "point codes of " + affected.length + " octets");
        }
        ByteBuffer in = ByteBuffer.wrap(affected);
        while (in.hasRemaining()) {
            int entry = in.getInt();
            int mask = Math.min(24, entry >>> 24);
            if ((entry & 0xffffff) >> mask == farPointCode >> mask) {
                return true;
            }
        }
        return false;
    }

    // ---- Heartbeats -------------------------------------------------------------------------------------

    /** Sends a probe; its answer comes through {@link Output#onProbeResult}. */
    public void sendProbe(double now) {
        if (state != State.ACTIVE || probes.size() >= MOST_PROBES) {
            timers.schedule(now, at -> out.onProbeResult(false, 0));
            return;
        }
        long id = nextBeat++;
        probes.put(id, now);
        probeTimers.put(id, timers.schedule(now + probeTimeout, at -> {
            probeTimers.remove(id);
            if (probes.remove(id) != null) {
                out.onProbeResult(false, at - now);
            }
        }));
        beat(id);
    }

    private void beat(long id) {
        out.send(M3uaMessage.of(
                Kind.BEAT,
                new Parameter(
                        M3uaMessage.HEARTBEAT_DATA,
                        ByteBuffer.allocate(Long.BYTES).putLong(id).array())));
    }

    private void beatAck(double now, M3uaMessage message) {
        byte[] data = message.parameterValue(M3uaMessage.HEARTBEAT_DATA);
        if (data == null || data.length != Long.BYTES) {
            return;
        }
        long id = ByteBuffer.wrap(data).getLong();
        Double sentAt = probes.remove(id);
        if (sentAt != null) {
            timers.cancel(probeTimers.remove(id));
            out.onProbeResult(true, now - sentAt);
        }
    }

    private void scheduleBeat(double now) {
        timers.cancel(beatTimer);
        beatTimer = heartbeat <= 0
                ? null
                : timers.schedule(now + heartbeat, at -> {
                    // Two silent spans in a row: the far end is gone without having said so.
                    silentBeats = heardSinceBeat ? 0 : silentBeats + 1;
                    if (silentBeats >= 2) {
                        out.close("no heartbeat in " + 2 * heartbeat + " ms");
                        return;
                    }
                    heardSinceBeat = false;
                    beat(nextBeat++);
                    scheduleBeat(at);
                });
    }

    /** Whether set-ups may go out. */
    public boolean isUsable() {
        return state == State.ACTIVE && reachable;
    }

    /** Where the session is. */
    public State state() {
        return state;
    }

    /** The congestion level last told for the destination, 0 for none. */
    public int congestionLevel() {
        return congestionLevel;
    }
}
