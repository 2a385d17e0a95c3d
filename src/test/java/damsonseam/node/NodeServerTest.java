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

/** A front node on loopback: what passes over the sockets when all is well, and when one side does not behave. */
@Timeout(60)
class NodeServerTest {

    /** A call that stands: its set-up, with the connections that carry it. */
    private record Standing(SipSocket caller, SipSocket server, SipMessage invite) {}

    private static Standing standing(NodeRig rig) throws Exception {
        SipSocket server = rig.accept(0);
        SipSocket caller = rig.caller();
        SipMessage invite = rig.invite();
        caller.send(invite);
        server.send(NodeRig.stands(server.next("INVITE")));
        assertEquals(200, caller.next().status());
        caller.send(SipMessage.request(SipMessage.ACK, invite.requestUri(), invite.callId(), 1));
        assertNotNull(server.next("ACK"));
        return new Standing(caller, server, invite);
    }

    private static int cause(SipMessage bye) {
        String reason = bye.headers().get("Reason");
        return Integer.parseInt(reason.substring(reason.indexOf('=') + 1));
    }

    @Test
    void aCallPassesUnchangedAndIsReleased() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            SipSocket caller = rig.caller();
            SipMessage invite = rig.invite();
            caller.send(invite);
            SipMessage seen = server.next("INVITE");
            assertEquals(invite.callId(), seen.callId());
            assertEquals(invite.requestUri(), seen.requestUri());
            assertEquals("dear", seen.headers().get("X-Cos"));
            assertArrayEquals(NodeRig.OFFER, seen.body());
            long left = Long.parseLong(seen.headers().get("X-Timer-Ms"));
            assertTrue(left > 1_000 && left < 1_500, "left " + left);
            server.send(SipMessage.response(180, "Ringing", seen.callId(), seen.cseq()));
            server.send(NodeRig.stands(seen));
            SipMessage answer = caller.next();
            assertEquals(200, answer.status());
            assertEquals("1 INVITE", answer.cseq());
            assertArrayEquals(NodeRig.ANSWER, answer.body());
            server.send(NodeRig.bye(invite.callId(), 16));
            SipMessage bye = caller.next();
            assertEquals(SipMessage.BYE, bye.method());
            assertEquals(16, cause(bye));
            assertEquals(invite.callId(), bye.callId());
            Awaitility.await().until(() -> rig.node.openCalls() == 0);
        }
    }

    @Test
    void aFullServerIsARefusalWithATimeToComeBack() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            SipSocket caller = rig.caller();
            caller.send(rig.invite());
            // Full again and again until the attempts, or the ranks, are used up.
            Thread feeder = new Thread(() -> {
                try {
                    for (SipMessage m = server.next("INVITE"); m != null; m = server.next("INVITE")) {
                        server.send(SipMessage.response(503, "Full", m.callId(), m.cseq())
                                .addHeader("X-Diagnosis", "cpu_full"));
                    }
                } catch (Exception e) {
                    // The node is closed.
                }
            });
            feeder.start();
            SipMessage answer = caller.next();
            assertTrue(answer.status() >= 400, "status " + answer.status());
            rig.close();
            feeder.join();
        }
    }

    @Test
    void beforeAServerIsReachedTheNodeIsNotReady() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            rig.servers.get(0).close();
            SipSocket caller = rig.keep(SipSocket.to(rig.node.address()));
            Awaitility.await().until(() -> {
                caller.send(SipMessage.request(SipMessage.OPTIONS, "sip:ping@net", "00000000000000aa", 1));
                return caller.next().status() == 200;
            });
            // Refused at the server: tried, and so ready; a set-up then ends without one.
            caller.send(rig.invite());
            assertTrue(caller.next().status() >= 400);
        }
    }

    @Test
    void cancelReachesTheServerAndTheCallerHearsTheEnd() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            SipSocket caller = rig.caller();
            SipMessage invite = rig.invite();
            caller.send(invite);
            SipMessage out = server.next("INVITE");
            caller.send(SipMessage.request(SipMessage.CANCEL, invite.requestUri(), invite.callId(), 1));
            assertEquals(487, caller.next().status());
            assertEquals(invite.callId(), server.next("CANCEL").callId());
            // The answer crossed the give-up: nobody is at the call, and it is released.
            server.send(NodeRig.stands(out));
            assertNotNull(server.next("ACK"));
            assertEquals(invite.callId(), server.next("BYE").callId());
            assertTrue(caller.quiet(100));
        }
    }

    @Test
    void cancelThatCrossesTheAnswerEndsTheCallOnBothSides() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            Standing s = standing(rig);
            s.caller.send(SipMessage.request(SipMessage.CANCEL, s.invite.requestUri(), s.invite.callId(), 1));
            assertEquals(s.invite.callId(), s.server.next("BYE").callId());
            assertEquals(SipMessage.BYE, s.caller.next().method());
        }
    }

    @Test
    void aCallerThatClosesGivesItsSetUpsUp() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            SipSocket caller = rig.caller();
            SipMessage invite = rig.invite();
            caller.send(invite);
            server.next("INVITE");
            caller.close();
            assertEquals(invite.callId(), server.next("CANCEL").callId());
            Awaitility.await().until(() -> rig.node.openCalls() == 0);
        }
    }

    @Test
    void aByeOfTheCallerOnAnyConnectionEndsTheCall() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            Standing s = standing(rig);
            SipSocket other = rig.caller();
            other.send(NodeRig.bye(s.invite.callId(), 16));
            assertEquals(200, other.next().status());
            assertEquals(s.invite.callId(), s.server.next("BYE").callId());
        }
    }

    @Test
    void aReleaseFindsAnotherConnectionOfItsCaller() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            Standing s = standing(rig);
            // Of two connections from this host one has only knocked: it is none of a caller.
            SipSocket other = rig.caller();
            other.send(NodeRig.invite(NodeRig.id(900), "dest:0;width:1;via:-1;at:s-00000000", "0"));
            rig.caller();
            s.caller.close();
            Awaitility.await().until(() -> rig.node.callerConnections() == 2);
            s.server.send(NodeRig.bye(s.invite.callId(), 16));
            assertEquals(s.invite.callId(), other.next("BYE").callId());
        }
    }

    @Test
    void aStrangerWhoKnowsAnIdDoesNotGetItsRelease() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            Standing s = standing(rig);
            SipSocket stranger = rig.caller();
            stranger.send(NodeRig.invite(s.invite.callId(), "dest:0;width:1;via:-1;at:s-00000000", "0"));
            assertTrue(stranger.quiet(50));
            s.server.send(NodeRig.bye(s.invite.callId(), 16));
            assertEquals(s.invite.callId(), s.caller.next("BYE").callId());
            assertTrue(stranger.quiet(50));
        }
    }

    @Test
    void aReleaseWaitsForTheNextConnectionOfItsCaller() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            Standing s = standing(rig);
            s.caller.close();
            Awaitility.await().until(() -> rig.node.callerConnections() == 0);
            s.server.send(NodeRig.bye(s.invite.callId(), 16));
            Awaitility.await().until(() -> rig.node.openCalls() == 0);
            SipSocket knocks = rig.caller();
            SipSocket other = rig.caller();
            other.send(rig.invite());
            assertEquals(s.invite.callId(), other.next("BYE").callId());
            assertTrue(knocks.quiet(50));
        }
    }

    @Test
    void aCallThatStoodBeforeTheStartIsReleasedToItsCaller() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            SipSocket caller = rig.caller();
            String id = NodeRig.id(700);
            caller.send(NodeRig.invite(id, "dest:0;width:1;via:-1;at:s-00000000", "0"));
            assertTrue(caller.quiet(100), "it expects no answer");
            server.send(NodeRig.bye(id, 16));
            assertEquals(id, caller.next("BYE").callId());
            Awaitility.await().until(() -> rig.node.openCalls() == 0);
        }
    }

    @Test
    void callsOfAProcessThatDiedAreReleased() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            Standing s = standing(rig);
            rig.servers.get(0).close();
            s.server.reset();
            SipMessage bye = s.caller.next("BYE");
            assertEquals(41, cause(bye));
        }
    }

    @Test
    void aConnectionThatBreaksEndsNoCallThatStands() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            Standing s = standing(rig);
            s.server.reset();
            SipSocket again = rig.accept(0);
            assertTrue(s.caller.quiet(200));
            again.send(NodeRig.bye(s.invite.callId(), 16));
            assertEquals(16, cause(s.caller.next("BYE")));
        }
    }

    @Test
    void callsAtAServerGoneSilentAreReleasedWithinTheTimeAllowed() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            Standing s = standing(rig);
            // Nothing is said and nothing accepted any more: the test that the node sends stays unanswered.
            long from = System.nanoTime();
            assertNotNull(s.server.next("OPTIONS"));
            assertEquals(41, cause(s.caller.next("BYE")));
            assertTrue(System.nanoTime() - from < 7_500_000_000L);
        }
    }

    @Test
    void aReleaseLostWithItsConnectionIsHeardOnTheNext() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            Standing s = standing(rig);
            // A second set-up while one is out makes the node open a second connection.
            s.caller.send(rig.invite());
            assertNotNull(s.server.next("INVITE"));
            s.caller.send(rig.invite());
            SipSocket second = rig.accept(0);
            // The first breaks, with a release on it for all the server knows; the second stays.
            s.server.reset();
            SipSocket third = rig.accept(0);
            third.send(NodeRig.bye(s.invite.callId(), 16));
            assertEquals(s.invite.callId(), s.caller.next("BYE").callId());
            assertNotNull(second);
        }
    }

    @Test
    void callsAtAnAddressThatAnotherServerTakesAreReleased() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            NodeRig.Coordinator coordinator = rig.coordinator();
            Standing s = standing(rig);
            // The old process went while its connection broke; a new id listens there before the list tells of its end.
            s.server.reset();
            rig.accept(0);
            coordinator.frame(2, 2, 7, rig.servers.get(0).getLocalPort(), 0);
            assertEquals(41, cause(s.caller.next("BYE")));
            coordinator.frame(3, 2, 0, rig.servers.get(0).getLocalPort(), 2);
            Awaitility.await().until(() -> rig.node.serverListVersion() == 3 && rig.node.serverCount() == 1);
        }
    }

    @Test
    void aSpoiltAnswerIsNeverPassedOnAndItsCallGoesElsewhere() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            SipSocket caller = rig.caller();
            caller.send(rig.invite());
            SipMessage first = server.next("INVITE");
            server.send("SIP/2.0 200 OK\r\nCall-ID: " + first.callId() + "\r\nContent-Length: 3000000000\r\n\r\n");
            assertNull(server.next(), "the connection is closed");
            long brokenAt = System.nanoTime();
            SipSocket again = rig.accept(0);
            SipMessage second = again.next("INVITE");
            assertEquals(first.callId(), second.callId());
            assertTrue(System.nanoTime() - brokenAt >= 140_000_000L, "before the guard was over");
            again.send(NodeRig.stands(second));
            assertEquals(200, caller.next().status());
        }
    }

    @Test
    void theLateAnswerOfAGivenUpAttemptDoesNotCutTheNextOne() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            SipSocket caller = rig.caller();
            SipMessage call = rig.invite();
            caller.send(call);
            SipMessage first = server.next("INVITE");
            assertTrue(caller.quiet(60));
            // A later set-up is answered: the first counts as lost, is given up, and goes out again after the guard.
            caller.send(rig.invite());
            server.send(NodeRig.stands(server.next("INVITE")));
            assertEquals(200, caller.next().status());
            assertEquals(call.callId(), server.next("CANCEL").callId());
            SipMessage second = server.next("INVITE");
            assertEquals(call.callId(), second.callId());
            assertEquals(2, second.cseqNumber());
            server.send(NodeRig.stands(first));
            server.send(NodeRig.stands(second));
            assertEquals(call.callId(), caller.next().callId());
            assertEquals(SipMessage.ACK, server.next().method());
            assertEquals(SipMessage.ACK, server.next().method(), "no release that cuts the next attempt");
            assertTrue(server.quiet(100), "a release that cuts the call that stands");
            // The node made a second connection when both set-ups were out.
            assertTrue(rig.accept(0).quiet(100), "a release that cuts the call that stands");
        }
    }

    @Test
    void aConnectionOnWhichASetUpVanishedGetsNoOther() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket dead = rig.accept(0);
            SipSocket caller = rig.caller();
            SipMessage lost = rig.invite();
            caller.send(lost);
            assertNotNull(dead.next("INVITE"));
            caller.send(SipMessage.request(SipMessage.CANCEL, lost.requestUri(), lost.callId(), 1));
            assertEquals(487, caller.next().status());
            SipMessage next = rig.invite();
            caller.send(next);
            SipSocket alive = rig.accept(0);
            SipMessage out = alive.next("INVITE");
            assertEquals(next.callId(), out.callId());
            alive.send(NodeRig.stands(out));
            assertEquals(200, caller.next().status());
        }
    }

    @Test
    void aConnectionOnWhichHalfAnAnswerStandsIsClosed() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            SipSocket caller = rig.caller();
            caller.send(rig.invite());
            SipMessage out = server.next("INVITE");
            server.send("SIP/2.0 200 OK\r\nCall-ID: " + out.callId() + "\r\nCSeq: 1 INVITE\r\nContent-Length: 99\r\n");
            assertNull(server.next("BYE"), "closed");
            assertEquals(out.callId(), rig.accept(0).next("INVITE").callId());
        }
    }

    @Test
    void theReleaseOfABrokenAttemptDoesNotEndTheNextOne() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket broken = rig.accept(0);
            SipSocket caller = rig.caller();
            SipMessage call = rig.invite();
            caller.send(call);
            assertNotNull(broken.next("INVITE"));
            broken.send("SIP/2.0 200 OK\r\nContent-Length: -1\r\n\r\n");
            assertNull(broken.next("BYE"));
            SipSocket next = rig.accept(0);
            SipMessage second = next.next("INVITE");
            // One more set-up while that is out makes the node open another connection.
            caller.send(rig.invite());
            SipSocket other = rig.accept(0);
            other.send(NodeRig.bye(call.callId(), 16));
            assertTrue(caller.quiet(100));
            next.send(NodeRig.stands(second));
            assertEquals(200, caller.next().status());
            other.send(NodeRig.bye(call.callId(), 16));
            assertTrue(caller.quiet(100), "the release of the attempt that broke");
            next.send(NodeRig.bye(call.callId(), 16));
            assertEquals(call.callId(), caller.next("BYE").callId());
        }
    }

    @Test
    void answersThatBelongToNoSetUpArePassedOver() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            Standing s = standing(rig);
            s.server.send(NodeRig.stands(s.invite));
            s.server.send(SipMessage.response(200, "OK", NodeRig.id(999), "1 INVITE", NodeRig.ANSWER));
            s.server.send(SipMessage.response(503, "Full", s.invite.callId(), "1 INVITE"));
            assertTrue(s.caller.quiet(150));
            s.server.send(NodeRig.bye(s.invite.callId(), 16));
            assertEquals(16, cause(s.caller.next()));
        }
    }

    @Test
    void aServerThatDrainsOrGoesGetsNothingNew() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            NodeRig.Coordinator coordinator = rig.coordinator();
            assertEquals(1, coordinator.from);
            SipSocket server = rig.accept(0);
            SipSocket caller = rig.caller();
            coordinator.frame(2, 2, 0, rig.servers.get(0).getLocalPort(), 1);
            Awaitility.await().until(() -> rig.node.serverListVersion() == 2);
            caller.send(rig.invite());
            assertTrue(caller.next().status() >= 400);
            assertTrue(server.quiet(100), "a set-up to a server that drains");
            coordinator.frame(3, 2, 0, rig.servers.get(0).getLocalPort(), 2);
            Awaitility.await().until(() -> rig.node.serverCount() == 0);
        }
    }

    @Test
    void theCoordinatorIsAskedAgainFromTheLastNumberHad() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            int port = rig.servers.get(0).getLocalPort();
            NodeRig.Coordinator first = rig.coordinator();
            first.frame(2, 2, 7, port, 0);
            first.frame(2, 2, 7, port, 2);
            Awaitility.await().until(() -> rig.node.serverListVersion() == 2);
            first.raw(new byte[] {0, 0, 0, 36, 0, 0, 0});
            first.close();
            NodeRig.Coordinator second = rig.coordinator();
            assertEquals(2, second.from, "a frame twice counts once, half a frame not at all");
            second.raw(new byte[] {0x7f, 0, 0, 0, 1});
            assertTrue(second.closed(), "a length that can't be");
            NodeRig.Coordinator third = rig.coordinator();
            assertTrue(third.closed(), "a coordinator that says nothing any more");
            NodeRig.Coordinator fourth = rig.coordinator();
            assertEquals(2, fourth.from);
            fourth.frame(4, 2, 7, port, 0);
            assertTrue(fourth.closed(), "a gap");
            assertEquals(2, rig.coordinator().from);
        }
    }

    @Test
    void aNewConfigurationMovesTheCoordinatorAndNothingElse() throws Exception {
        try (NodeRig rig = new NodeRig(1);
                ServerSocket moved = NodeRig.listen()) {
            NodeRig.Coordinator old = rig.coordinator();
            old.frame(2, 2, 0, rig.servers.get(0).getLocalPort(), 0);
            Awaitility.await().until(() -> rig.node.serverListVersion() == 2);
            Standing s = standing(rig);
            rig.node.reload(NodeConfig.fromJson(new ObjectMapper().readTree(rig.config(moved.getLocalPort()))));
            NodeRig.Coordinator at = rig.keep(new NodeRig.Coordinator(moved.accept()));
            assertEquals(2, at.from);
            assertTrue(s.caller.quiet(50));
            s.server.send(NodeRig.bye(s.invite.callId(), 16));
            assertNotNull(s.caller.next("BYE"));
        }
    }

    @Test
    void aNodeThatEndsAnswersWhatStillComes() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            SipSocket caller = rig.caller();
            SipMessage before = rig.invite();
            caller.send(before);
            SipMessage out = server.next("INVITE");
            Thread ending = new Thread(() -> {
                try {
                    rig.node.drain();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            ending.start();
            SipSocket late = rig.keep(SipSocket.to(rig.node.address()));
            SipMessage after = rig.invite();
            late.send(after);
            server.send(NodeRig.stands(out));
            server.send(NodeRig.stands(server.next("INVITE")));
            assertEquals(200, caller.next().status());
            assertEquals(200, late.next().status());
            ending.join();
            assertNull(late.next());
        }
    }

    @Test
    void manyGenerationsOfServersAndCallersLeaveNothing() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            NodeRig.Coordinator coordinator = rig.coordinator();
            int port = rig.servers.get(0).getLocalPort();
            for (int i = 0; i < 300; i++) {
                coordinator.frame(2 + 2 * i, 2, 1_000 + i, port, 0);
                coordinator.frame(3 + 2 * i, 2, 1_000 + i, port, 2);
                rig.servers.get(0).setSoTimeout(2_000);
                if (i % 10 == 0) {
                    SipSocket caller = rig.caller();
                    caller.send(NodeRig.invite(NodeRig.id(i), "dest:99;width:1;via:-1", "60"));
                    caller.close();
                }
            }
            Awaitility.await()
                    .until(() -> rig.node.serverListVersion() == 601
                            && rig.node.serverCount() == 1
                            && rig.node.callerConnections() == 0
                            && rig.node.openCalls() == 0);
        }
    }

    @Test
    void badClientsGetARefusalAnErrorOrAClose() throws Exception {
        String head = "INVITE sip:" + NodeRig.NUMBER + "@net SIP/2.0\r\n";
        List<String> bad = new ArrayList<>(List.of(
                "\u0000\u0001noise\r\n",
                "x".repeat(20_000),
                head + "Content-Length: -5\r\n\r\n",
                head + "Content-Length: 60000000\r\n\r\n",
                head + "CSeq: 1 INVITE\r\nX-Cos: dear\r\nX-Timer-Ms: 100\r\nContent-Length: 0\r\n\r\n"));
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
            bad.add(head + "Call-ID: " + NodeRig.id(50) + "\r\nCSeq: 1 INVITE\r\n" + field
                    + (field.startsWith("X-Cos") ? "" : "\r\nX-Cos: dear") + "\r\nContent-Length: 0\r\n\r\n");
        }
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            rig.caller();
            for (String text : bad) {
                try (SipSocket client = SipSocket.to(rig.node.address())) {
                    client.send(text);
                    SipMessage said = client.next(3_000);
                    assertTrue(said == null || said.status() >= 400, text);
                }
            }
            assertTrue(server.quiet(50), "something of this reached a server");
            assertEquals(0, rig.node.openCalls());
        }
    }

    @Test
    void silentClientsAndHalfMessagesAreClosed() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            rig.accept(0);
            SipSocket good = rig.caller();
            SipSocket silent = rig.keep(SipSocket.to(rig.node.address()));
            SipSocket half = rig.keep(SipSocket.to(rig.node.address()));
            half.send("INVITE sip:1@net SIP/2.0\r\nCall-ID: 1");
            assertNull(silent.next(3_000));
            assertNull(half.next(3_000));
            good.send(SipMessage.request(SipMessage.OPTIONS, "sip:ping@net", "00000000000000aa", 1));
            assertEquals(200, good.next().status());
        }
    }

    @Test
    void hundredsOfSilentConnectionsGiveWayToCallers() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            SipSocket caller = rig.caller();
            SipMessage open = rig.invite();
            caller.send(open);
            SipMessage out = server.next("INVITE");
            for (int i = 0; i < 300; i++) {
                rig.keep(SipSocket.to(rig.node.address()));
            }
            SipSocket late = rig.caller();
            assertNotNull(late);
            assertTrue(rig.node.callerConnections() <= 256 - 72 - 256 / 6);
            server.send(NodeRig.stands(out));
            assertEquals(200, caller.next().status(), "a connection with an open call gave way");
        }
    }

    @Test
    void anIdInUseIsNotTakenTwice() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            SipSocket caller = rig.caller();
            SipMessage invite = rig.invite();
            caller.send(invite);
            SipMessage out = server.next("INVITE");
            // Another connection under the same id: the first is not harmed.
            SipSocket thief = rig.caller();
            thief.send(invite);
            assertEquals(482, thief.next().status());
            server.send(NodeRig.stands(out));
            assertEquals(200, caller.next().status());
            // The sender's own open id with another description: neither is served.
            SipMessage mine = rig.invite();
            thief.send(mine);
            server.next("INVITE");
            thief.send(new SipMessage(mine.method(), mine.requestUri(), 0, "", mine.headers(), NodeRig.ANSWER));
            assertEquals(482, thief.next().status());
            assertEquals(mine.callId(), server.next("CANCEL").callId());
            assertTrue(thief.quiet(100));
        }
    }

    @Test
    void hundredsOfCancelsAtOnceLeaveNothing() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            rig.accept(0);
            SipSocket caller = rig.caller();
            for (int i = 0; i < 300; i++) {
                SipMessage invite = rig.invite();
                caller.send(invite);
                caller.send(SipMessage.request(SipMessage.CANCEL, invite.requestUri(), invite.callId(), 1));
            }
            for (int i = 0; i < 300; i++) {
                assertTrue(caller.next().status() >= 400);
            }
            Awaitility.await().until(() -> rig.node.openCalls() == 0);
            assertFalse(rig.node.counters().received < 300);
        }
    }

    @Test
    void aReaderThatDoesNotReadIsClosed() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            rig.accept(0);
            SipSocket greedy = rig.caller();
            byte[] ask = ("FOO sip:x@net SIP/2.0\r\nCall-ID: " + "9".repeat(8_000)
                            + "\r\nCSeq: 1 FOO\r\nContent-Length: 0\r\n\r\n")
                    .getBytes();
            Thread writer = new Thread(() -> {
                try {
                    for (int i = 0; i < 4_000; i++) {
                        greedy.send(ask);
                    }
                } catch (Exception e) {
                    // Closed by the node, as it should.
                }
            });
            writer.start();
            Awaitility.await().until(() -> rig.node.callerConnections() == 0);
            writer.join();
        }
    }
}
