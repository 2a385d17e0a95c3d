package damsonseam.ss7;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.core.TimerWheel;
import damsonseam.ss7.M3ua.Kind;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class AspSessionTest {
    private static final int FAR = 1000;
    private final TimerWheel timers = new TimerWheel(0);
    private final List<M3ua> sent = new ArrayList<>();
    private final List<String> told = new ArrayList<>();
    private final AspSession session = new AspSession(
            new AspSession.Output() {
                @Override
                public void send(M3ua message) {
                    sent.add(message);
                }

                @Override
                public void close(String why) {
                    told.add("close " + why);
                }

                @Override
                public void active() {
                    told.add("active");
                }

                @Override
                public void destination(boolean reachable, int level) {
                    told.add("destination " + reachable + " " + level);
                }

                @Override
                public void data(ProtocolData data) {
                    told.add("data " + data.opc());
                }

                @Override
                public void probed(boolean answered, double delay) {
                    told.add("probed " + answered);
                }
            },
            timers,
            5,
            FAR,
            250,
            1_000);

    private Kind lastSent() {
        return sent.get(sent.size() - 1).kind();
    }

    private void activate() throws SignallingException {
        session.connected(0);
        session.received(1, M3ua.of(Kind.ASPUP_ACK));
        session.received(2, M3ua.of(Kind.ASPAC_ACK));
    }

    @Test
    void goesUpThenActiveThenCarriesTraffic() throws SignallingException {
        session.connected(0);
        assertEquals(Kind.ASPUP, lastSent());
        session.received(1, M3ua.of(Kind.ASPUP_ACK));
        assertEquals(Kind.ASPAC, lastSent());
        assertFalse(session.usable());
        session.received(2, M3ua.of(Kind.ASPAC_ACK));
        assertTrue(session.usable());
        assertEquals(List.of("active"), told);
    }

    @Test
    void dataBeforeItIsActiveIsAnUnexpectedMessage() {
        session.connected(0);
        M3ua data = new ProtocolData(FAR, 5, 0, new byte[] {1, 0, 9}).message();
        assertEquals(
                M3ua.UNEXPECTED_MESSAGE,
                assertThrows(SignallingException.class, () -> session.received(1, data))
                        .code());
    }

    @Test
    void anAcknowledgementThatNeverComesIsAskedForAgainAndThenGivenUp() {
        session.connected(0);
        for (double now = 0; now <= 9_000; now += 50) {
            timers.poll(now);
        }
        assertEquals(4, sent.size());
        assertTrue(told.get(0).startsWith("close"));
    }

    @Test
    void whatTheFarEndSaysOfItsDestinationIsFollowed() throws SignallingException {
        activate();
        session.received(3, M3ua.destination(Kind.DUNA, FAR));
        assertFalse(session.usable());
        session.received(4, M3ua.destination(Kind.DAVA, FAR));
        assertTrue(session.usable());
        session.received(5, M3ua.destination(Kind.SCON, FAR, M3ua.congestion(2)));
        assertEquals(2, session.congestion());
        assertTrue(session.usable());
        session.received(6, M3ua.destination(Kind.DUNA, FAR + 1));
        assertTrue(session.usable());
    }

    @Test
    void aMaskCoversItsPointCodes() throws SignallingException {
        activate();
        session.received(3, M3ua.destination(Kind.DUNA, 0x08000000 | (FAR & ~0xff)));
        assertFalse(session.usable());
    }

    @Test
    void aProbeIsAnsweredOnceOrHasFailed() throws SignallingException {
        activate();
        session.probe(10);
        M3ua beat = sent.get(sent.size() - 1);
        session.received(20, new M3ua(Kind.BEAT_ACK, beat.parameters()));
        session.received(21, new M3ua(Kind.BEAT_ACK, beat.parameters()));
        session.probe(30);
        timers.poll(300);
        assertEquals(List.of("active", "probed true", "probed false"), told);
    }

    @Test
    void aClosedConnectionFailsTheProbesThatAreOut() throws SignallingException {
        activate();
        session.probe(10);
        session.closed(15);
        assertEquals("probed false", told.get(1));
        timers.poll(2_000);
        assertEquals(2, told.size());
    }

    /** Guards against a far end that is gone without a reset: heartbeats that nothing answers. */
    @Test
    void aSilentConnectionIsClosedAfterTwoHeartbeats() throws SignallingException {
        activate();
        for (double now = 10; now <= 4_000; now += 50) {
            timers.poll(now);
        }
        assertTrue(told.get(1).startsWith("close no heartbeat"), told.toString());
    }

    @Test
    void aHeartbeatIsGivenBackAsItCame() throws SignallingException {
        activate();
        M3ua beat = M3ua.of(Kind.BEAT, new M3ua.Parameter(M3ua.HEARTBEAT_DATA, new byte[] {1, 2, 3}));
        session.received(3, beat);
        assertEquals(Kind.BEAT_ACK, lastSent());
        assertEquals(beat.parameters(), sent.get(sent.size() - 1).parameters());
    }
}
