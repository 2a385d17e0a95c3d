package damsonseam.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.node.NodeFixture.EstablishedCall;
import damsonseam.sip.SipMessage;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against releases that are lost or sent twice when a BYE crosses a closing connection, a caller's report of the
 * call on another connection, or another release of the same call.
 */
@Timeout(60)
class ReleaseRaceTest {

    private static void confirm(SipSocket caller, SipMessage bye) throws Exception {
        caller.send(SipMessage.response(200, "OK", bye.callId(), bye.cseq()));
    }

    /** Confirms the release of one call, after which the node expects confirmations from callers. */
    private static void confirmOneRelease(NodeFixture fixture, SipSocket server) throws Exception {
        EstablishedCall call = fixture.establishCall(server);
        server.send(NodeFixture.bye(call.invite().callId(), 16));
        confirm(call.caller(), call.caller().receive("BYE"));
        call.caller().close();
    }

    @Test
    void byeUnreadOnClosedConnectionIsResentOnAnother() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            EstablishedCall call = fixture.establishCall(server);
            EstablishedCall other = fixture.establishCall(server);
            server.send(NodeFixture.bye(call.invite().callId(), 16));
            // The BYE has been written to a caller that closes without having read it.
            Awaitility.await().until(() -> call.caller().hasUnread());
            call.caller().close();
            assertEquals(
                    call.invite().callId(),
                    other.caller().receiveWithinOneSecond("BYE").callId());
        }
    }

    @Test
    void unconfirmedByeIsResentOnAnotherConnection() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            confirmOneRelease(fixture, server);
            EstablishedCall call = fixture.establishCall(server);
            EstablishedCall confirming = fixture.establishCall(server);
            EstablishedCall unrelated = fixture.establishCall(server);
            call.caller().close();
            Awaitility.await().until(() -> fixture.node.callerConnections() == 2);
            server.send(NodeFixture.bye(call.invite().callId(), 16));
            // The unrelated caller was active last and gets the BYE first; it does not know the call or confirm.
            assertEquals(
                    call.invite().callId(), unrelated.caller().receive("BYE").callId());
            SipMessage bye = confirming.caller().receiveWithinOneSecond("BYE");
            assertEquals(call.invite().callId(), bye.callId());
            confirm(confirming.caller(), bye);
            assertTrue(
                    confirming.caller().isQuiet(700) && unrelated.caller().isQuiet(1),
                    "a confirmed release must not be sent again");
        }
    }

    @Test
    void byeIsSentOnceWhenCallersNeverConfirm() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            EstablishedCall call = fixture.establishCall(server);
            EstablishedCall other = fixture.establishCall(server);
            server.send(NodeFixture.bye(call.invite().callId(), 16));
            assertEquals(call.invite().callId(), call.caller().receive("BYE").callId());
            assertTrue(call.caller().isQuiet(700) && other.caller().isQuiet(1));
        }
    }

    @Test
    void byeArrivingBeforeCallerReportsCallIsPassedOn() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            String callId = NodeFixture.callId(700);
            server.send(NodeFixture.bye(callId, 16));
            assertNotNull(server.receive(""));
            caller.send(NodeFixture.invite(callId, "dest:0;width:1;via:-1;at:s-00000000", "0"));
            SipMessage bye = caller.receiveWithinOneSecond("BYE");
            assertEquals(callId, bye.callId());
            assertEquals("Q.850;cause=16", bye.headers().get("Reason"));
            fixture.awaitEmpty();
        }
    }

    @Test
    void callReportedAfterItsReleaseIsReleasedAgain() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            EstablishedCall call = fixture.establishCall(server);
            SipSocket second = fixture.connectCaller();
            server.send(NodeFixture.bye(call.invite().callId(), 16));
            assertNotNull(call.caller().receive("BYE"));
            // The caller's report of the call on another connection crossed the release.
            second.send(NodeFixture.invite(call.invite().callId(), "dest:0;width:1;via:-1;at:s-00000000", "0"));
            assertEquals(
                    call.invite().callId(), second.receiveWithinOneSecond("BYE").callId());
            fixture.awaitEmpty();
        }
    }

    @Test
    void callReportedTwiceIsReleasedOnSecondConnectionAfterFirstCloses() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket first = fixture.connectCaller();
            SipSocket second = fixture.connectCaller();
            SipMessage report = NodeFixture.invite(NodeFixture.callId(701), "dest:0;width:1;via:-1;at:s-00000000", "0");
            first.send(report);
            Awaitility.await().until(() -> fixture.node.openCalls() == 1);
            second.send(report);
            first.close();
            Awaitility.await().until(() -> fixture.node.callerConnections() == 1);
            server.send(NodeFixture.bye(report.callId(), 16));
            assertEquals(report.callId(), second.receive("BYE").callId());
            fixture.awaitEmpty();
        }
    }

    @Test
    void callReportedAtUnknownServerIsReleased() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            caller.send(NodeFixture.invite(NodeFixture.callId(702), "dest:0;width:1;via:-1;at:s-0000dead", "0"));
            SipMessage bye = caller.receive("BYE");
            assertEquals("Q.850;cause=41", bye.headers().get("Reason"));
            fixture.awaitEmpty();
        }
    }

    @Test
    void crossingByesReleaseCallOnce() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            EstablishedCall call = fixture.establishCall(server);
            try (AutoCloseable paused = fixture.pauseEventLoop()) {
                assertNotNull(paused);
                server.send(NodeFixture.bye(call.invite().callId(), 16));
                call.caller().send(NodeFixture.bye(call.invite().callId(), 16));
            }
            fixture.awaitEmpty();
            assertEquals(0, fixture.node.counters().failed);
        }
    }

    @Test
    void cancelCrossingOkAndByeLeavesNoState() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            SipMessage invite = fixture.invite();
            caller.send(invite);
            SipMessage received = server.receive("INVITE");
            try (AutoCloseable paused = fixture.pauseEventLoop()) {
                assertNotNull(paused);
                server.send(NodeFixture.okResponse(received));
                server.send(NodeFixture.bye(invite.callId(), 16));
                caller.send(SipMessage.request(SipMessage.CANCEL, invite.requestUri(), invite.callId(), 1));
            }
            fixture.awaitEmpty();
        }
    }
}
