package damsonseam.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.node.NodeRig.Standing;
import damsonseam.sip.SipMessage;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Releases that cross a close, a hand-over or another end of the same call. */
@Timeout(60)
class ReleaseCrossingsTest {

    private static void proves(SipSocket caller, SipMessage bye) throws Exception {
        caller.send(SipMessage.response(200, "OK", bye.callId(), bye.cseq()));
    }

    /** A caller answers the release of one call: from now on the node waits for such proofs. */
    private static void callersAnswerReleases(NodeRig rig, SipSocket server) throws Exception {
        Standing s = rig.standing(server);
        server.send(NodeRig.bye(s.invite().callId(), 16));
        proves(s.caller(), s.caller().next("BYE"));
        s.caller().close();
    }

    @Test
    void aReleaseOnAConnectionThatClosesUnreadIsSaidAgainOnAnother() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            Standing s = rig.standing(server);
            Standing other = rig.standing(server);
            server.send(NodeRig.bye(s.invite().callId(), 16));
            // The release has been written to a caller that closes without having read it.
            Awaitility.await().until(() -> s.caller().hasUnread());
            s.caller().close();
            assertEquals(s.invite().callId(), other.caller().soon("BYE").callId());
        }
    }

    @Test
    void aReleaseThatOnlyAStrangerHeardIsSaidAgainElsewhere() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            callersAnswerReleases(rig, server);
            Standing s = rig.standing(server);
            Standing own = rig.standing(server);
            Standing stranger = rig.standing(server);
            s.caller().close();
            Awaitility.await().until(() -> rig.node.callerConnections() == 2);
            server.send(NodeRig.bye(s.invite().callId(), 16));
            // Heard of last, the stranger is told first; it knows no such call and does not answer.
            assertEquals(s.invite().callId(), stranger.caller().next("BYE").callId());
            SipMessage bye = own.caller().soon("BYE");
            assertEquals(s.invite().callId(), bye.callId());
            proves(own.caller(), bye);
            assertTrue(own.caller().quiet(700) && stranger.caller().quiet(1), "a proved release is not said again");
        }
    }

    @Test
    void withoutAnyProofAReleaseIsSaidOnceOnAConnectionThatStays() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            Standing s = rig.standing(server);
            Standing other = rig.standing(server);
            server.send(NodeRig.bye(s.invite().callId(), 16));
            assertEquals(s.invite().callId(), s.caller().next("BYE").callId());
            assertTrue(s.caller().quiet(700) && other.caller().quiet(1));
        }
    }

    @Test
    void aReleaseThatComesBeforeItsCallerNamesTheCallIsPassedOn() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            SipSocket caller = rig.caller();
            String id = NodeRig.id(700);
            server.send(NodeRig.bye(id, 16));
            assertNotNull(server.next(""));
            caller.send(NodeRig.invite(id, "dest:0;width:1;via:-1;at:s-00000000", "0"));
            SipMessage bye = caller.soon("BYE");
            assertEquals(id, bye.callId());
            assertEquals("Q.850;cause=16", bye.headers().get("Reason"));
            rig.empty();
        }
    }

    @Test
    void aCallNamedAgainAfterItsReleaseIsReleasedAgain() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            Standing s = rig.standing(server);
            SipSocket second = rig.caller();
            server.send(NodeRig.bye(s.invite().callId(), 16));
            assertNotNull(s.caller().next("BYE"));
            // The caller's word for the call was on its way, on another connection, as the release came.
            second.send(NodeRig.invite(s.invite().callId(), "dest:0;width:1;via:-1;at:s-00000000", "0"));
            assertEquals(s.invite().callId(), second.soon("BYE").callId());
            rig.empty();
        }
    }

    @Test
    void aCallNamedTwiceOnTwoConnectionsIsReleasedOnTheFirstWhileThatStays() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            SipSocket first = rig.caller();
            SipSocket second = rig.caller();
            SipMessage names = NodeRig.invite(NodeRig.id(701), "dest:0;width:1;via:-1;at:s-00000000", "0");
            first.send(names);
            Awaitility.await().until(() -> rig.node.openCalls() == 1);
            second.send(names);
            first.close();
            Awaitility.await().until(() -> rig.node.callerConnections() == 1);
            server.send(NodeRig.bye(names.callId(), 16));
            assertEquals(names.callId(), second.next("BYE").callId());
            rig.empty();
        }
    }

    @Test
    void aCallNamedAtAServerThatTheListLacksIsOver() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            rig.accept(0);
            SipSocket caller = rig.caller();
            caller.send(NodeRig.invite(NodeRig.id(702), "dest:0;width:1;via:-1;at:s-0000dead", "0"));
            SipMessage bye = caller.next("BYE");
            assertEquals("Q.850;cause=41", bye.headers().get("Reason"));
            rig.empty();
        }
    }

    @Test
    void releasesFromBothSidesThatCrossEndTheCallOnce() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            Standing s = rig.standing(server);
            try (AutoCloseable paused = rig.pause()) {
                assertNotNull(paused);
                server.send(NodeRig.bye(s.invite().callId(), 16));
                s.caller().send(NodeRig.bye(s.invite().callId(), 16));
            }
            rig.empty();
            assertEquals(0, rig.node.counters().failed);
        }
    }

    @Test
    void aCancelThatCrossesTheAnswerAndTheReleaseLeavesNothing() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            SipSocket caller = rig.caller();
            SipMessage invite = rig.invite();
            caller.send(invite);
            SipMessage seen = server.next("INVITE");
            try (AutoCloseable paused = rig.pause()) {
                assertNotNull(paused);
                server.send(NodeRig.stands(seen));
                server.send(NodeRig.bye(invite.callId(), 16));
                caller.send(SipMessage.request(SipMessage.CANCEL, invite.requestUri(), invite.callId(), 1));
            }
            rig.empty();
        }
    }
}
