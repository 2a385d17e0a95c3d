package damsonseam.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import damsonseam.sip.SipMessage;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Checks the messages that a front node on loopback exchanges in the normal case, and guards against lost calls, wrong
 * releases and leaked state when a caller, a server or the coordinator misbehaves.
 */
@Timeout(60)
class NodeServerTest {

    /** An established and acknowledged call: its INVITE and the connections that carry it. */
    private record EstablishedCall(SipSocket caller, SipSocket server, SipMessage invite) {}

    private static EstablishedCall establishCall(NodeFixture fixture) throws Exception {
        SipSocket server = fixture.acceptServerConnection(0);
        SipSocket caller = fixture.connectCaller();
        SipMessage invite = fixture.invite();
        caller.send(invite);
        server.send(NodeFixture.okResponse(server.receive("INVITE")));
        assertEquals(200, caller.receive().status());
        caller.send(SipMessage.request(SipMessage.ACK, invite.requestUri(), invite.callId(), 1));
        assertNotNull(server.receive("ACK"));
        return new EstablishedCall(caller, server, invite);
    }

    private static int causeOf(SipMessage bye) {
        String reason = bye.headers().get("Reason");
        return Integer.parseInt(reason.substring(reason.indexOf('=') + 1));
    }

    @Test
    void callIsForwardedUnchangedAndReleased() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            SipMessage invite = fixture.invite();
            caller.send(invite);
            SipMessage received = server.receive("INVITE");
            assertEquals(invite.callId(), received.callId());
            assertEquals(invite.requestUri(), received.requestUri());
            assertEquals("dear", received.headers().get("X-Cos"));
            assertArrayEquals(NodeFixture.OFFER, received.body());
            long remainingMs = Long.parseLong(received.headers().get("X-Timer-Ms"));
            assertTrue(remainingMs > 1_000 && remainingMs < 1_500, "remaining ms: " + remainingMs);
            server.send(SipMessage.response(180, "Ringing", received.callId(), received.cseq()));
            server.send(NodeFixture.okResponse(received));
            SipMessage response = caller.receive();
            assertEquals(200, response.status());
            assertEquals("1 INVITE", response.cseq());
            assertArrayEquals(NodeFixture.ANSWER, response.body());
            server.send(NodeFixture.bye(invite.callId(), 16));
            SipMessage bye = caller.receive();
            assertEquals(SipMessage.BYE, bye.method());
            assertEquals(16, causeOf(bye));
            assertEquals(invite.callId(), bye.callId());
            Awaitility.await().until(() -> fixture.node.openCalls() == 0);
        }
    }

    @Test
    void callIsRefusedWhenServerIsFull() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            caller.send(fixture.invite());
            // The server is full for every attempt until the attempts or the ranks are used up.
            Thread responder = new Thread(() -> {
                try {
                    for (SipMessage message = server.receive("INVITE");
                            message != null;
                            message = server.receive("INVITE")) {
                        server.send(SipMessage.response(503, "Full", message.callId(), message.cseq())
                                .addHeader("X-Diagnosis", "cpu_full"));
                    }
                } catch (Exception e) {
                    // The node has closed the connection.
                }
            });
            responder.start();
            SipMessage response = caller.receive();
            assertTrue(response.status() >= 400, "status " + response.status());
            fixture.close();
            responder.join();
        }
    }

    @Test
    void nodeIsReadyAfterServerRefusedConnection() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            fixture.serverSockets.get(0).close();
            SipSocket caller = fixture.closeLater(SipSocket.connect(fixture.node.address()));
            Awaitility.await().until(() -> {
                caller.send(SipMessage.request(SipMessage.OPTIONS, "sip:ping@net", "00000000000000aa", 1));
                return caller.receive().status() == 200;
            });
            // A refused connection counts as tried, so the node is ready; a set-up then fails.
            caller.send(fixture.invite());
            assertTrue(caller.receive().status() >= 400);
        }
    }

    @Test
    void cancelIsForwardedAndCallerGetsRequestTerminated() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            SipMessage invite = fixture.invite();
            caller.send(invite);
            SipMessage received = server.receive("INVITE");
            caller.send(SipMessage.request(SipMessage.CANCEL, invite.requestUri(), invite.callId(), 1));
            assertEquals(487, caller.receive().status());
            assertEquals(invite.callId(), server.receive("CANCEL").callId());
            // The 200 crossed the CANCEL: the caller has abandoned the call, so it is released.
            server.send(NodeFixture.okResponse(received));
            assertNotNull(server.receive("ACK"));
            assertEquals(invite.callId(), server.receive("BYE").callId());
            assertTrue(caller.isQuiet(100));
        }
    }

    @Test
    void cancelCrossingOkReleasesBothSides() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            EstablishedCall call = establishCall(fixture);
            call.caller.send(SipMessage.request(SipMessage.CANCEL, call.invite.requestUri(), call.invite.callId(), 1));
            assertEquals(call.invite.callId(), call.server.receive("BYE").callId());
            assertEquals(SipMessage.BYE, call.caller.receive().method());
        }
    }

    @Test
    void pendingSetUpIsCancelledWhenCallerCloses() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            SipMessage invite = fixture.invite();
            caller.send(invite);
            server.receive("INVITE");
            caller.close();
            assertEquals(invite.callId(), server.receive("CANCEL").callId());
            Awaitility.await().until(() -> fixture.node.openCalls() == 0);
        }
    }

    @Test
    void callerByeOnAnyConnectionReleasesCall() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            EstablishedCall call = establishCall(fixture);
            SipSocket other = fixture.connectCaller();
            other.send(NodeFixture.bye(call.invite.callId(), 16));
            assertEquals(200, other.receive().status());
            assertEquals(call.invite.callId(), call.server.receive("BYE").callId());
        }
    }

    @Test
    void byeIsSentOnAnotherConnectionOfItsCaller() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            EstablishedCall call = establishCall(fixture);
            // Of two connections from this host, one has sent no INVITE and does not count as a caller's.
            SipSocket other = fixture.connectCaller();
            other.send(NodeFixture.invite(NodeFixture.callId(900), "dest:0;width:1;via:-1;at:s-00000000", "0"));
            fixture.connectCaller();
            call.caller.close();
            Awaitility.await().until(() -> fixture.node.callerConnections() == 2);
            call.server.send(NodeFixture.bye(call.invite.callId(), 16));
            assertEquals(call.invite.callId(), other.receive("BYE").callId());
        }
    }

    @Test
    void byeIsNotSentToAnotherPeerThatReportsTheCall() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            EstablishedCall call = establishCall(fixture);
            SipSocket otherPeer = fixture.connectCaller();
            otherPeer.send(NodeFixture.invite(call.invite.callId(), "dest:0;width:1;via:-1;at:s-00000000", "0"));
            assertTrue(otherPeer.isQuiet(50));
            call.server.send(NodeFixture.bye(call.invite.callId(), 16));
            assertEquals(call.invite.callId(), call.caller.receive("BYE").callId());
            assertTrue(otherPeer.isQuiet(50));
        }
    }

    @Test
    void byeWaitsForNextConnectionOfItsCaller() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            EstablishedCall call = establishCall(fixture);
            call.caller.close();
            Awaitility.await().until(() -> fixture.node.callerConnections() == 0);
            call.server.send(NodeFixture.bye(call.invite.callId(), 16));
            Awaitility.await().until(() -> fixture.node.openCalls() == 0);
            SipSocket silent = fixture.connectCaller();
            SipSocket other = fixture.connectCaller();
            other.send(fixture.invite());
            assertEquals(call.invite.callId(), other.receive("BYE").callId());
            assertTrue(silent.isQuiet(50));
        }
    }

    @Test
    void callEstablishedBeforeStartIsReleasedToItsCaller() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            String callId = NodeFixture.callId(700);
            caller.send(NodeFixture.invite(callId, "dest:0;width:1;via:-1;at:s-00000000", "0"));
            assertTrue(caller.isQuiet(100), "the report of a call gets no response");
            server.send(NodeFixture.bye(callId, 16));
            assertEquals(callId, caller.receive("BYE").callId());
            Awaitility.await().until(() -> fixture.node.openCalls() == 0);
        }
    }

    @Test
    void callsAreReleasedWhenServerProcessDies() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            EstablishedCall call = establishCall(fixture);
            fixture.serverSockets.get(0).close();
            call.server.reset();
            SipMessage bye = call.caller.receive("BYE");
            assertEquals(41, causeOf(bye));
        }
    }

    @Test
    void establishedCallSurvivesLostServerConnection() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            EstablishedCall call = establishCall(fixture);
            call.server.reset();
            SipSocket reconnected = fixture.acceptServerConnection(0);
            assertTrue(call.caller.isQuiet(200));
            reconnected.send(NodeFixture.bye(call.invite.callId(), 16));
            assertEquals(16, causeOf(call.caller.receive("BYE")));
        }
    }

    @Test
    void callsAreReleasedInTimeWhenServerFallsSilent() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            EstablishedCall call = establishCall(fixture);
            // The server sends nothing and accepts nothing any more: the node's probe stays unanswered.
            long startedAt = System.nanoTime();
            assertNotNull(call.server.receive("OPTIONS"));
            assertEquals(41, causeOf(call.caller.receive("BYE")));
            assertTrue(System.nanoTime() - startedAt < 7_500_000_000L);
        }
    }

    @Test
    void byeLostWithServerConnectionIsAcceptedOnNextOne() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            EstablishedCall call = establishCall(fixture);
            // A second set-up while one is outstanding makes the node open a second connection.
            call.caller.send(fixture.invite());
            assertNotNull(call.server.receive("INVITE"));
            call.caller.send(fixture.invite());
            SipSocket second = fixture.acceptServerConnection(0);
            // The first connection breaks, perhaps with a BYE on it; the second stays open.
            call.server.reset();
            SipSocket third = fixture.acceptServerConnection(0);
            third.send(NodeFixture.bye(call.invite.callId(), 16));
            assertEquals(call.invite.callId(), call.caller.receive("BYE").callId());
            assertNotNull(second);
        }
    }

    @Test
    void callsAreReleasedWhenAnotherServerTakesTheAddress() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            NodeFixture.CoordinatorConnection coordinator = fixture.acceptCoordinator();
            EstablishedCall call = establishCall(fixture);
            // The old process ended with its connection; a new server has its address before the list reports the end.
            call.server.reset();
            fixture.acceptServerConnection(0);
            coordinator.sendFrame(2, 2, 7, fixture.serverSockets.get(0).getLocalPort(), 0);
            assertEquals(41, causeOf(call.caller.receive("BYE")));
            coordinator.sendFrame(3, 2, 0, fixture.serverSockets.get(0).getLocalPort(), 2);
            Awaitility.await().until(() -> fixture.node.serverListVersion() == 3 && fixture.node.serverCount() == 1);
        }
    }

    @Test
    void malformedResponseIsNotForwardedAndCallIsRetried() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            caller.send(fixture.invite());
            SipMessage first = server.receive("INVITE");
            server.send("SIP/2.0 200 OK\r\nCall-ID: " + first.callId() + "\r\nContent-Length: 3000000000\r\n\r\n");
            assertNull(server.receive(), "the node must close the connection");
            long closedAt = System.nanoTime();
            SipSocket reconnected = fixture.acceptServerConnection(0);
            SipMessage second = reconnected.receive("INVITE");
            assertEquals(first.callId(), second.callId());
            assertTrue(System.nanoTime() - closedAt >= 140_000_000L, "retried before the guard expired");
            reconnected.send(NodeFixture.okResponse(second));
            assertEquals(200, caller.receive().status());
        }
    }

    @Test
    void lateResponseOfCancelledAttemptDoesNotReleaseNextAttempt() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            SipMessage call = fixture.invite();
            caller.send(call);
            SipMessage first = server.receive("INVITE");
            assertTrue(caller.isQuiet(60));
            // A later set-up is answered first, so the first counts as lost, is cancelled and retried after the guard.
            caller.send(fixture.invite());
            server.send(NodeFixture.okResponse(server.receive("INVITE")));
            assertEquals(200, caller.receive().status());
            assertEquals(call.callId(), server.receive("CANCEL").callId());
            SipMessage second = server.receive("INVITE");
            assertEquals(call.callId(), second.callId());
            assertEquals(2, second.cseqNumber());
            server.send(NodeFixture.okResponse(first));
            server.send(NodeFixture.okResponse(second));
            assertEquals(call.callId(), caller.receive().callId());
            assertEquals(SipMessage.ACK, server.receive().method());
            assertEquals(SipMessage.ACK, server.receive().method(), "a BYE would release the next attempt");
            assertTrue(server.isQuiet(100), "a BYE would release the established call");
            // The node opened a second connection while both set-ups were outstanding.
            assertTrue(fixture.acceptServerConnection(0).isQuiet(100), "a BYE would release the established call");
        }
    }

    @Test
    void connectionWithUnansweredSetUpGetsNoNewSetUp() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket dead = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            SipMessage lost = fixture.invite();
            caller.send(lost);
            assertNotNull(dead.receive("INVITE"));
            caller.send(SipMessage.request(SipMessage.CANCEL, lost.requestUri(), lost.callId(), 1));
            assertEquals(487, caller.receive().status());
            SipMessage next = fixture.invite();
            caller.send(next);
            SipSocket alive = fixture.acceptServerConnection(0);
            SipMessage received = alive.receive("INVITE");
            assertEquals(next.callId(), received.callId());
            alive.send(NodeFixture.okResponse(received));
            assertEquals(200, caller.receive().status());
        }
    }

    @Test
    void connectionWithUnfinishedResponseIsClosed() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            caller.send(fixture.invite());
            SipMessage received = server.receive("INVITE");
            server.send(
                    "SIP/2.0 200 OK\r\nCall-ID: " + received.callId() + "\r\nCSeq: 1 INVITE\r\nContent-Length: 99\r\n");
            assertNull(server.receive("BYE"), "the node must close the connection");
            assertEquals(
                    received.callId(),
                    fixture.acceptServerConnection(0).receive("INVITE").callId());
        }
    }

    @Test
    void byeOfBrokenAttemptDoesNotReleaseNextAttempt() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket broken = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            SipMessage call = fixture.invite();
            caller.send(call);
            assertNotNull(broken.receive("INVITE"));
            broken.send("SIP/2.0 200 OK\r\nContent-Length: -1\r\n\r\n");
            assertNull(broken.receive("BYE"));
            SipSocket next = fixture.acceptServerConnection(0);
            SipMessage second = next.receive("INVITE");
            // One more set-up while that is outstanding makes the node open another connection.
            caller.send(fixture.invite());
            SipSocket other = fixture.acceptServerConnection(0);
            other.send(NodeFixture.bye(call.callId(), 16));
            assertTrue(caller.isQuiet(100));
            next.send(NodeFixture.okResponse(second));
            assertEquals(200, caller.receive().status());
            other.send(NodeFixture.bye(call.callId(), 16));
            assertTrue(caller.isQuiet(100), "BYE of the broken attempt passed on");
            next.send(NodeFixture.bye(call.callId(), 16));
            assertEquals(call.callId(), caller.receive("BYE").callId());
        }
    }

    @Test
    void responsesWithoutMatchingSetUpAreIgnored() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            EstablishedCall call = establishCall(fixture);
            call.server.send(NodeFixture.okResponse(call.invite));
            call.server.send(SipMessage.response(200, "OK", NodeFixture.callId(999), "1 INVITE", NodeFixture.ANSWER));
            call.server.send(SipMessage.response(503, "Full", call.invite.callId(), "1 INVITE"));
            assertTrue(call.caller.isQuiet(150));
            call.server.send(NodeFixture.bye(call.invite.callId(), 16));
            assertEquals(16, causeOf(call.caller.receive()));
        }
    }

    @Test
    void drainingOrGoneServerGetsNoNewSetUp() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            NodeFixture.CoordinatorConnection coordinator = fixture.acceptCoordinator();
            assertEquals(1, coordinator.requestedAfter);
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            coordinator.sendFrame(2, 2, 0, fixture.serverSockets.get(0).getLocalPort(), 1);
            Awaitility.await().until(() -> fixture.node.serverListVersion() == 2);
            caller.send(fixture.invite());
            assertTrue(caller.receive().status() >= 400);
            assertTrue(server.isQuiet(100), "set-up sent to a draining server");
            coordinator.sendFrame(3, 2, 0, fixture.serverSockets.get(0).getLocalPort(), 2);
            Awaitility.await().until(() -> fixture.node.serverCount() == 0);
        }
    }

    @Test
    void coordinatorIsAskedForUpdatesAfterTheLastOne() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            int port = fixture.serverSockets.get(0).getLocalPort();
            NodeFixture.CoordinatorConnection first = fixture.acceptCoordinator();
            first.sendFrame(2, 2, 7, port, 0);
            first.sendFrame(2, 2, 7, port, 2);
            Awaitility.await().until(() -> fixture.node.serverListVersion() == 2);
            first.sendRaw(new byte[] {0, 0, 0, 36, 0, 0, 0});
            first.close();
            NodeFixture.CoordinatorConnection second = fixture.acceptCoordinator();
            assertEquals(2, second.requestedAfter, "a repeated frame counts once, an unfinished one not at all");
            second.sendRaw(new byte[] {0x7f, 0, 0, 0, 1});
            assertTrue(second.isClosedByNode(), "invalid frame length");
            NodeFixture.CoordinatorConnection third = fixture.acceptCoordinator();
            assertTrue(third.isClosedByNode(), "silent coordinator");
            NodeFixture.CoordinatorConnection fourth = fixture.acceptCoordinator();
            assertEquals(2, fourth.requestedAfter);
            fourth.sendFrame(4, 2, 7, port, 0);
            assertTrue(fourth.isClosedByNode(), "gap in the numbers");
            assertEquals(2, fixture.acceptCoordinator().requestedAfter);
        }
    }

    @Test
    void reloadChangesOnlyTheCoordinatorAddress() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1);
                ServerSocket moved = NodeFixture.listen()) {
            NodeFixture.CoordinatorConnection old = fixture.acceptCoordinator();
            old.sendFrame(2, 2, 0, fixture.serverSockets.get(0).getLocalPort(), 0);
            Awaitility.await().until(() -> fixture.node.serverListVersion() == 2);
            EstablishedCall call = establishCall(fixture);
            fixture.node.reload(
                    NodeConfig.fromJson(new ObjectMapper().readTree(fixture.configJson(moved.getLocalPort()))));
            NodeFixture.CoordinatorConnection current =
                    fixture.closeLater(new NodeFixture.CoordinatorConnection(moved.accept()));
            assertEquals(2, current.requestedAfter);
            assertTrue(call.caller.isQuiet(50));
            call.server.send(NodeFixture.bye(call.invite.callId(), 16));
            assertNotNull(call.caller.receive("BYE"));
        }
    }

    @Test
    void drainingNodeAnswersNewSetUps() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            SipMessage before = fixture.invite();
            caller.send(before);
            SipMessage received = server.receive("INVITE");
            Thread drainThread = new Thread(() -> {
                try {
                    fixture.node.drain();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            drainThread.start();
            SipSocket late = fixture.closeLater(SipSocket.connect(fixture.node.address()));
            SipMessage after = fixture.invite();
            late.send(after);
            server.send(NodeFixture.okResponse(received));
            server.send(NodeFixture.okResponse(server.receive("INVITE")));
            assertEquals(200, caller.receive().status());
            assertEquals(200, late.receive().status());
            drainThread.join();
            assertNull(late.receive());
        }
    }

    @Test
    void manyServersAndCallersLeaveNoState() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            NodeFixture.CoordinatorConnection coordinator = fixture.acceptCoordinator();
            int port = fixture.serverSockets.get(0).getLocalPort();
            for (int i = 0; i < 300; i++) {
                coordinator.sendFrame(2 + 2 * i, 2, 1_000 + i, port, 0);
                coordinator.sendFrame(3 + 2 * i, 2, 1_000 + i, port, 2);
                fixture.serverSockets.get(0).setSoTimeout(2_000);
                if (i % 10 == 0) {
                    SipSocket caller = fixture.connectCaller();
                    caller.send(NodeFixture.invite(NodeFixture.callId(i), "dest:99;width:1;via:-1", "60"));
                    caller.close();
                }
            }
            Awaitility.await()
                    .until(() -> fixture.node.serverListVersion() == 601
                            && fixture.node.serverCount() == 1
                            && fixture.node.callerConnections() == 0
                            && fixture.node.openCalls() == 0);
        }
    }

    @Test
    void invalidMessagesGetErrorResponseOrClose() throws Exception {
        String startLine = "INVITE sip:" + NodeFixture.NUMBER + "@net SIP/2.0\r\n";
        List<String> invalidMessages = new ArrayList<>(List.of(
                "\u0000\u0001noise\r\n",
                "x".repeat(20_000),
                startLine + "Content-Length: -5\r\n\r\n",
                startLine + "Content-Length: 60000000\r\n\r\n",
                startLine + "CSeq: 1 INVITE\r\nX-Cos: dear\r\nX-Timer-Ms: 100\r\nContent-Length: 0\r\n\r\n"));
        for (String field : List.of(
                "X-Cos: nothing",
                "X-Timer-Ms: many",
                "X-Timer-Ms: -1",
                "X-Timer-Ms: 1e300",
                "X-Timer-Ms: NaN",
                "X-Timer-Ms: 900\r\nX-Legs: dest:x",
                "X-Timer-Ms: 900\r\nX-Legs: width:-3",
                "X-Timer-Ms: 900\r\nX-Legs: at:nowhere",
                "X-Timer-Ms: 900\r\nX-Reattempt: often",
                "X-No: timer")) {
            invalidMessages.add(startLine + "Call-ID: " + NodeFixture.callId(50) + "\r\nCSeq: 1 INVITE\r\n" + field
                    + (field.startsWith("X-Cos") ? "" : "\r\nX-Cos: dear") + "\r\nContent-Length: 0\r\n\r\n");
        }
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            fixture.connectCaller();
            for (String text : invalidMessages) {
                try (SipSocket client = SipSocket.connect(fixture.node.address())) {
                    client.send(text);
                    SipMessage response = client.receive(3_000);
                    assertTrue(response == null || response.status() >= 400, text);
                }
            }
            assertTrue(server.isQuiet(50), "an invalid message reached a server");
            assertEquals(0, fixture.node.openCalls());
        }
    }

    @Test
    void silentConnectionsAndUnfinishedMessagesAreClosed() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            fixture.acceptServerConnection(0);
            SipSocket active = fixture.connectCaller();
            SipSocket silent = fixture.closeLater(SipSocket.connect(fixture.node.address()));
            SipSocket unfinished = fixture.closeLater(SipSocket.connect(fixture.node.address()));
            unfinished.send("INVITE sip:1@net SIP/2.0\r\nCall-ID: 1");
            assertNull(silent.receive(3_000));
            assertNull(unfinished.receive(3_000));
            active.send(SipMessage.request(SipMessage.OPTIONS, "sip:ping@net", "00000000000000aa", 1));
            assertEquals(200, active.receive().status());
        }
    }

    @Test
    void silentConnectionsAreEvictedInFavourOfCallers() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            SipMessage invite = fixture.invite();
            caller.send(invite);
            SipMessage received = server.receive("INVITE");
            for (int i = 0; i < 300; i++) {
                fixture.closeLater(SipSocket.connect(fixture.node.address()));
            }
            SipSocket late = fixture.connectCaller();
            assertNotNull(late);
            assertTrue(fixture.node.callerConnections() <= 256 - 72 - 256 / 6);
            server.send(NodeFixture.okResponse(received));
            assertEquals(200, caller.receive().status(), "a connection with an open call was evicted");
        }
    }

    @Test
    void callIdInUseIsRejected() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            SipMessage invite = fixture.invite();
            caller.send(invite);
            SipMessage received = server.receive("INVITE");
            // The same Call-ID from another connection does not affect the first call.
            SipSocket other = fixture.connectCaller();
            other.send(invite);
            assertEquals(482, other.receive().status());
            server.send(NodeFixture.okResponse(received));
            assertEquals(200, caller.receive().status());
            // The sender's own pending Call-ID with a different body: both calls are rejected.
            SipMessage otherInvite = fixture.invite();
            other.send(otherInvite);
            server.receive("INVITE");
            other.send(new SipMessage(
                    otherInvite.method(), otherInvite.requestUri(), 0, "", otherInvite.headers(), NodeFixture.ANSWER));
            assertEquals(482, other.receive().status());
            assertEquals(otherInvite.callId(), server.receive("CANCEL").callId());
            assertTrue(other.isQuiet(100));
        }
    }

    @Test
    void manySimultaneousCancelsLeaveNoState() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            for (int i = 0; i < 300; i++) {
                SipMessage invite = fixture.invite();
                caller.send(invite);
                caller.send(SipMessage.request(SipMessage.CANCEL, invite.requestUri(), invite.callId(), 1));
            }
            for (int i = 0; i < 300; i++) {
                assertTrue(caller.receive().status() >= 400);
            }
            Awaitility.await().until(() -> fixture.node.openCalls() == 0);
            assertFalse(fixture.node.counters().received < 300);
        }
    }

    @Test
    void callerThatDoesNotReadIsClosed() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            byte[] request = ("FOO sip:x@net SIP/2.0\r\nCall-ID: " + "9".repeat(8_000)
                            + "\r\nCSeq: 1 FOO\r\nContent-Length: 0\r\n\r\n")
                    .getBytes();
            Thread writer = new Thread(() -> {
                try {
                    for (int i = 0; i < 4_000; i++) {
                        caller.send(request);
                    }
                } catch (Exception e) {
                    // The node closes the connection, as expected.
                }
            });
            writer.start();
            Awaitility.await().until(() -> fixture.node.callerConnections() == 0);
            writer.join();
        }
    }
}
