package damsonseam.ss7;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.core.TimerWheel;
import damsonseam.ss7.M3uaMessage.Kind;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards the ASP state machine, its heartbeats and its probes, also against a far end that does not respond. */
class AspSessionTest {
    private static final int FAR_POINT_CODE = 1000;
    private final TimerWheel timers = new TimerWheel(0);
    private final List<M3uaMessage> sent = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private final AspSession session = new AspSession(
            new AspSession.Output() {
                @Override
                public void send(M3uaMessage message) {
                    sent.add(message);
                }

                @Override
                public void close(String reason) {
                    events.add("close " + reason);
                }

                @Override
                public void onActive() {
                    events.add("active");
                }

                @Override
                public void onDestinationState(boolean reachable, int level) {
                    events.add("destination " + reachable + " " + level);
                }

                @Override
                public void onData(ProtocolData data) {
                    events.add("data " + data.opc());
                }

                @Override
                public void onProbeResult(boolean answered, double delayMs) {
                    events.add("probed " + answered);
                }
            },
            timers,
            5,
            FAR_POINT_CODE,
            250,
            1_000);

    private Kind lastSent() {
        return sent.get(sent.size() - 1).kind();
    }

    private void activate() throws SignallingProtocolException {
        session.onConnected(0);
        session.onMessage(1, M3uaMessage.of(Kind.ASPUP_ACK));
        session.onMessage(2, M3uaMessage.of(Kind.ASPAC_ACK));
    }

    @Test
    void sessionGoesUpThenActiveThenCarriesTraffic() throws SignallingProtocolException {
        session.onConnected(0);
        assertEquals(Kind.ASPUP, lastSent());
        session.onMessage(1, M3uaMessage.of(Kind.ASPUP_ACK));
        assertEquals(Kind.ASPAC, lastSent());
        assertFalse(session.isUsable());
        session.onMessage(2, M3uaMessage.of(Kind.ASPAC_ACK));
        assertTrue(session.isUsable());
        assertEquals(List.of("active"), events);
    }

    @Test
    void dataBeforeActiveIsUnexpectedMessage() {
        session.onConnected(0);
        M3uaMessage data = new ProtocolData(FAR_POINT_CODE, 5, 0, new byte[] {1, 0, 9}).toMessage();
        assertEquals(
                M3uaMessage.UNEXPECTED_MESSAGE,
                assertThrows(SignallingProtocolException.class, () -> session.onMessage(1, data))
                        .code());
    }

    @Test
    void missingAcknowledgementIsFollowedByRetransmissionsAndClose() {
        session.onConnected(0);
        for (double now = 0; now <= 9_000; now += 50) {
            timers.poll(now);
        }
        assertEquals(4, sent.size());
        assertTrue(events.get(0).startsWith("close"));
    }

    @Test
    void destinationStateFollowsNetworkManagementMessages() throws SignallingProtocolException {
        activate();
        session.onMessage(3, M3uaMessage.destinationState(Kind.DUNA, FAR_POINT_CODE));
        assertFalse(session.isUsable());
        session.onMessage(4, M3uaMessage.destinationState(Kind.DAVA, FAR_POINT_CODE));
        assertTrue(session.isUsable());
        session.onMessage(
                5, M3uaMessage.destinationState(Kind.SCON, FAR_POINT_CODE, M3uaMessage.congestionIndications(2)));
        assertEquals(2, session.congestionLevel());
        assertTrue(session.isUsable());
        session.onMessage(6, M3uaMessage.destinationState(Kind.DUNA, FAR_POINT_CODE + 1));
        assertTrue(session.isUsable());
    }

    @Test
    void maskedPointCodeIncludesFarPointCode() throws SignallingProtocolException {
        activate();
        session.onMessage(3, M3uaMessage.destinationState(Kind.DUNA, 0x08000000 | (FAR_POINT_CODE & ~0xff)));
        assertFalse(session.isUsable());
    }

    @Test
    void probeIsReportedOnceAsAnsweredOrFailed() throws SignallingProtocolException {
        activate();
        session.sendProbe(10);
        M3uaMessage beat = sent.get(sent.size() - 1);
        session.onMessage(20, new M3uaMessage(Kind.BEAT_ACK, beat.parameters()));
        session.onMessage(21, new M3uaMessage(Kind.BEAT_ACK, beat.parameters()));
        session.sendProbe(30);
        timers.poll(300);
        assertEquals(List.of("active", "probed true", "probed false"), events);
    }

    @Test
    void closingTheConnectionFailsOutstandingProbes() throws SignallingProtocolException {
        activate();
        session.sendProbe(10);
        session.onClosed(15);
        assertEquals("probed false", events.get(1));
        timers.poll(2_000);
        assertEquals(2, events.size());
    }

    /** Guards against a connection that stays open after the far end failed without closing it. */
    @Test
    void silentConnectionIsClosedAfterTwoHeartbeats() throws SignallingProtocolException {
        activate();
        for (double now = 10; now <= 4_000; now += 50) {
            timers.poll(now);
        }
        assertTrue(events.get(1).startsWith("close no heartbeat"), events.toString());
    }

    @Test
    void heartbeatDataIsReturnedUnchanged() throws SignallingProtocolException {
        activate();
        M3uaMessage beat =
                M3uaMessage.of(Kind.BEAT, new M3uaMessage.Parameter(M3uaMessage.HEARTBEAT_DATA, new byte[] {1, 2, 3}));
        session.onMessage(3, beat);
        assertEquals(Kind.BEAT_ACK, lastSent());
        assertEquals(beat.parameters(), sent.get(sent.size() - 1).parameters());
    }
}
