package damsonseam.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.node.NodeFixture.EstablishedCall;
import damsonseam.sip.SipMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against taking a new process at the address of a server for the former one, whose calls then stayed
 * established at their callers until the server list told of the change, which may be later than 8 s.
 */
@Timeout(60)
class ReplacedProcessTest {
    private static final int QUIET_PERIOD_MS = 500;

    private static SipMessage report(int freeLines) {
        return SipMessage.request(SipMessage.NOTIFY, "sip:group@net", "0000000000000001", 1)
                .addHeader("X-Occupancy", "spare:" + freeLines + ";total:40");
    }

    @Test
    void callsAreReleasedWhenConnectionsAreResetAfterUnansweredProbe() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            EstablishedCall call = fixture.establishCall(server);
            assertNotNull(server.receive(SipMessage.OPTIONS));
            assertTrue(call.caller().isQuiet(QUIET_PERIOD_MS));
            server.reset();
            fixture.acceptServerConnection(0);
            assertEquals(
                    "Q.850;cause=41",
                    call.caller().receiveWithinOneSecond("BYE").headers().get("Reason"));
        }
    }

    @Test
    void callsSurviveResetWhileProbesAreAnswered() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            EstablishedCall call = fixture.establishCall(server);
            SipMessage probe = server.receive(SipMessage.OPTIONS);
            server.send(SipMessage.response(200, "OK", probe.callId(), probe.cseq()));
            assertTrue(call.caller().isQuiet(200));
            server.reset();
            fixture.acceptServerConnection(0);
            assertTrue(call.caller().isQuiet(QUIET_PERIOD_MS), "the process goes on");
        }
    }

    @Test
    void callsAreReleasedWhenFirstReportSaysThatAllLinesAreFree() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            EstablishedCall call = fixture.establishCall(server);
            // Older than a report that may have been made before the call was established.
            for (int i = 0; i < 3; i++) {
                SipMessage probe = server.receive(SipMessage.OPTIONS);
                server.send(SipMessage.response(200, "OK", probe.callId(), probe.cseq()));
            }
            server.reset();
            SipSocket restarted = fixture.closeLater(
                    new SipSocket(fixture.serverSockets.get(0).accept()));
            restarted.send(report(40));
            assertEquals(
                    "Q.850;cause=41",
                    call.caller().receiveWithinOneSecond("BYE").headers().get("Reason"));
        }
    }

    @Test
    void callsSurviveReportThatAllLinesAreFreeWhileTheirConnectionIsOpen() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            EstablishedCall call = fixture.establishCall(server);
            server.send(report(40));
            assertTrue(call.caller().isQuiet(QUIET_PERIOD_MS));
        }
    }
}
