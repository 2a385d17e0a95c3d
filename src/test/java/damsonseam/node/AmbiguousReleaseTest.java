package damsonseam.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.sip.SipMessage;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against calls that stay established at their callers for good because the only BYE that ends them was taken
 * for that of a former attempt, or was lost with its connection; and against the reverse.
 */
@Timeout(60)
class AmbiguousReleaseTest {

    /**
     * A call whose first attempt was reset and whose second one is established at the same server.
     *
     * @param own the server's connection on which the call was answered
     * @param other another connection from the same server
     */
    private record RetriedCall(SipSocket caller, SipSocket own, SipSocket other, SipMessage invite) {
        String callId() {
            return invite.callId();
        }

        /** Reads the OPTIONS on the call's own connection, and answers it. */
        void answerProbe() throws Exception {
            SipMessage probe = own.receive("OPTIONS");
            own.send(SipMessage.response(200, "OK", probe.callId(), probe.cseq()));
        }

        /** Answers each OPTIONS on the call's own connection for so long, as a server that uses it does. */
        void answerProbes(int durationMs) throws Exception {
            answerProbe();
            long deadline = System.nanoTime() + durationMs * 1_000_000L;
            while (System.nanoTime() < deadline) {
                if (own.hasUnread()) {
                    answerProbe();
                }
                Thread.sleep(5);
            }
        }
    }

    private static RetriedCall establishRetriedCall(NodeFixture fixture) throws Exception {
        SipSocket broken = fixture.acceptServerConnection(0);
        SipSocket caller = fixture.connectCaller();
        SipMessage invite = fixture.invite();
        caller.send(invite);
        assertNotNull(broken.receive("INVITE"));
        broken.reset();
        SipSocket own = fixture.acceptServerConnection(0);
        SipMessage second = own.receive("INVITE");
        // One more set-up while that is outstanding makes the node open another connection.
        SipMessage extra = fixture.invite();
        caller.send(extra);
        SipSocket other = fixture.acceptServerConnection(0);
        own.send(NodeFixture.okResponse(second));
        assertEquals(200, caller.receive().status());
        own.send(NodeFixture.okResponse(own.receive("INVITE")));
        assertEquals(200, caller.receive().status());
        caller.send(NodeFixture.bye(extra.callId(), 16));
        assertEquals(extra.callId(), own.receive("BYE").callId());
        assertEquals(200, caller.receive().status());
        return new RetriedCall(caller, own, other, invite);
    }

    // Guards against review case 3: the BYE was dropped as the connection of the answer was open, though of no use.
    @Test
    void byeIsPassedOnWhenConnectionOfTheCallIsOpenButNotServed() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            RetriedCall call = establishRetriedCall(fixture);
            call.other().send(NodeFixture.bye(call.callId(), 16));
            SipMessage bye = call.caller().receiveWithinOneSecond("BYE");
            assertEquals(call.callId(), bye.callId());
            assertEquals("Q.850;cause=16", bye.headers().get("Reason"));
            SipMessage byeToServer = call.other().receive("BYE");
            assertEquals(call.callId(), byeToServer.callId(), "what may remain at the server is released");
            fixture.awaitEmpty();
        }
    }

    // Guards against the same fault where the connection of the answer is stuck within a response.
    @Test
    void byeIsPassedOnWhenConnectionOfTheCallIsStuckWithinMessage() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            RetriedCall call = establishRetriedCall(fixture);
            call.own().send("SIP/2.0 200 OK\r\nContent-Length: 40\r\n\r\nstops short");
            call.other().send(NodeFixture.bye(call.callId(), 16));
            assertEquals(
                    call.callId(), call.caller().receiveWithinOneSecond("BYE").callId());
            fixture.awaitEmpty();
        }
    }

    // Guards against a call ended by the BYE of its former attempt while its own connection is in use.
    @Test
    void byeOfFormerAttemptIsIgnoredWhenConnectionOfTheCallAnswersProbe() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            RetriedCall call = establishRetriedCall(fixture);
            call.other().send(NodeFixture.bye(call.callId(), 16));
            call.answerProbes(700);
            assertTrue(call.caller().isQuiet(100), "BYE of the former attempt passed on");
            // The server repeats it on the next connection.
            call.other().send(NodeFixture.bye(call.callId(), 16));
            call.answerProbes(700);
            assertTrue(call.caller().isQuiet(100), "repeated BYE of the former attempt passed on");
            call.own().send(NodeFixture.bye(call.callId(), 16));
            assertEquals(
                    call.callId(), call.caller().receiveWithinOneSecond("BYE").callId());
            fixture.awaitEmpty();
        }
    }

    // Guards against a BYE held in doubt being forgotten when the connection of the answer closes.
    @Test
    void heldByeIsPassedOnAtOnceWhenConnectionOfTheCallCloses() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            RetriedCall call = establishRetriedCall(fixture);
            call.other().send(NodeFixture.bye(call.callId(), 16));
            assertNotNull(call.own().receive("OPTIONS"));
            call.own().reset();
            assertEquals(call.callId(), call.caller().receive(300).callId());
            fixture.awaitEmpty();
        }
    }

    // Guards against probes where the settings forbid them: what the server sends of itself decides there.
    @Test
    void requestsDecideWhereProbesAreNotAllowed() throws Exception {
        try (NodeFixture fixture = new NodeFixture(
                NodeFixture.listenOnPorts(1), text -> text.replace("\"MayProbe\":true", "\"MayProbe\":false"))) {
            RetriedCall call = establishRetriedCall(fixture);
            call.other().send(NodeFixture.bye(call.callId(), 16));
            Thread.sleep(200);
            call.own()
                    .send(SipMessage.request(SipMessage.NOTIFY, "sip:group@net", "0000000000000001", 2)
                            .addHeader("X-Occupancy", "spare:30;total:40"));
            assertTrue(call.caller().isQuiet(500), "BYE of the former attempt passed on");
            call.other().send(NodeFixture.bye(call.callId(), 16));
            assertEquals(
                    call.callId(), call.caller().receiveWithinOneSecond("BYE").callId());
            fixture.awaitEmpty();
        }
    }

    // Guards against an attempt left at the server that nobody knows, when both BYEs come on the same connection.
    @Test
    void callAndItsFormerAttemptBothEndWithOneByeOnTheConnectionOfTheCall() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            RetriedCall call = establishRetriedCall(fixture);
            call.own().send(NodeFixture.bye(call.callId(), 16));
            assertEquals(
                    call.callId(), call.caller().receiveWithinOneSecond("BYE").callId());
            assertEquals(call.callId(), call.own().receive("BYE").callId());
            call.own().send(NodeFixture.bye(call.callId(), 16));
            assertTrue(call.caller().isQuiet(300), "a call has one release");
            fixture.awaitEmpty();
        }
    }

    // Guards against two attempts out at once: the BYE of a former attempt does not end the one that has no answer yet.
    @Test
    void byeOfFormerAttemptDoesNotEndPendingAttemptOnTheSameConnection() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket broken = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            SipMessage invite = fixture.invite();
            caller.send(invite);
            assertNotNull(broken.receive("INVITE"));
            broken.reset();
            SipSocket next = fixture.acceptServerConnection(0);
            SipMessage second = next.receive("INVITE");
            next.send(NodeFixture.bye(invite.callId(), 16));
            assertTrue(caller.isQuiet(200));
            next.send(NodeFixture.okResponse(second));
            assertEquals(200, caller.receive().status());
        }
    }

    // Guards against set-ups sent on an open connection that holds an unfinished response.
    @Test
    void setUpAvoidsConnectionWithUnfinishedMessage() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket stuck = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            stuck.send("SIP/2.0 200 OK\r\nContent-Length: 40\r\n\r\nstops short");
            Thread.sleep(100);
            SipMessage invite = fixture.invite();
            caller.send(invite);
            SipSocket next = fixture.acceptServerConnection(0);
            SipMessage received = next.receive("INVITE");
            assertEquals(invite.callId(), received.callId());
            assertEquals("1 INVITE", received.cseq(), "the first attempt went out on the unfinished connection");
        }
    }

    // Guards against a BYE lost for good when the first attempt to replace its lost connection fails.
    @Test
    void lostConnectionIsReplacedAfterFailedConnect() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket first = fixture.acceptServerConnection(0);
            NodeFixture.EstablishedCall call = fixture.establishCall(first);
            // A second set-up while one is outstanding makes the node open a second connection.
            call.caller().send(fixture.invite());
            SipMessage outstanding = first.receive("INVITE");
            call.caller().send(fixture.invite());
            SipSocket second = fixture.acceptServerConnection(0);
            SipMessage third = first.receive("INVITE");
            // In the order of the set-ups: the routing policy takes one that a later one overtakes for lost.
            first.send(NodeFixture.okResponse(outstanding));
            first.send(NodeFixture.okResponse(third));
            assertEquals(200, call.caller().receive().status());
            assertEquals(200, call.caller().receive().status());
            int port = fixture.serverSockets.get(0).getLocalPort();
            fixture.serverSockets.get(0).close();
            second.reset();
            Thread.sleep(200);
            ServerSocket reopened = new ServerSocket();
            reopened.setReuseAddress(true);
            reopened.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            fixture.serverSockets.set(0, reopened);
            reopened.setSoTimeout(3_000);
            SipSocket next = fixture.acceptServerConnection(0);
            next.send(NodeFixture.bye(call.invite().callId(), 16));
            SipMessage bye = call.caller().receive("BYE");
            assertEquals(call.invite().callId(), bye.callId());
        }
    }
}
