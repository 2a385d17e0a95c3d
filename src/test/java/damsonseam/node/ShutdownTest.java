package damsonseam.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.node.NodeRig.Standing;
import damsonseam.sip.SipMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The planned end of a node, crossed by what callers and servers still say. */
@Timeout(60)
class ShutdownTest {
    /** The platform kills the process no sooner, for the deadlines of the rig's classes, in milliseconds. */
    private static final int KILLED_AFTER = 3_700;

    @Test
    void whatIsOwedIsAnsweredBeforeThePlatformKills() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            SipSocket caller = rig.caller();
            SipMessage out = NodeRig.invite(NodeRig.id(1), "dest:0;width:1;via:-1", "9000");
            caller.send(out);
            assertNotNull(server.next("INVITE"));
            // More than one set-up can test a silent server: the others are held.
            for (int i = 2; i < 8; i++) {
                caller.send(NodeRig.invite(NodeRig.id(i), "dest:0;width:1;via:-1", "9000"));
            }
            long from = System.nanoTime();
            Thread ending = rig.drain();
            assertTrue(caller.endsInOrder(), "a reset destroys what was answered");
            ending.join();
            long took = (System.nanoTime() - from) / 1_000_000;
            assertTrue(took < KILLED_AFTER, "ended after " + took + " ms");
            for (int i = 1; i < 8; i++) {
                SipMessage answer = caller.had();
                assertNotNull(answer, "call without an answer");
                assertTrue(answer.status() >= 400, "status " + answer.status());
            }
        }
    }

    @Test
    void aCallerThatStillTalksIsReadToItsEndAndNotReset() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            SipSocket caller = rig.caller();
            SipMessage invite = rig.invite();
            caller.send(invite);
            Thread ending = rig.drain();
            server.send(NodeRig.stands(server.next("INVITE")));
            assertTrue(caller.endsInOrder());
            assertEquals(200, caller.had().status());
            // What a caller says behind the node's last word would be met by a reset, which destroys what is unread.
            SipMessage ack = SipMessage.request(SipMessage.ACK, invite.requestUri(), invite.callId(), 1);
            long until = System.nanoTime() + 60_000_000;
            while (System.nanoTime() < until) {
                caller.send(ack);
            }
            caller.close();
            ending.join();
        }
    }

    @Test
    void aSetUpThatWaitsToBeAcceptedInTheLastMomentIsAnswered() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            rig.caller();
            Thread ending = rig.drain();
            Thread.sleep(500);
            SipSocket late;
            SipMessage invite = rig.invite();
            try (AutoCloseable paused = rig.pause()) {
                assertNotNull(paused);
                late = rig.keep(SipSocket.to(rig.node.address()));
                late.send(invite);
                // The loop stands until the node could end: what the sockets hold comes first all the same.
                Thread.sleep(600);
            }
            server.send(NodeRig.stands(server.next("INVITE")));
            assertEquals(200, late.next().status());
            ending.join();
        }
    }

    @Test
    void aCallThatIsOverInTheLastSecondIsReleased() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            Standing s = rig.standing(server);
            Thread ending = rig.drain();
            Thread.sleep(500);
            try (AutoCloseable paused = rig.pause()) {
                assertNotNull(paused);
                server.send(NodeRig.bye(s.invite().callId(), 16));
                Thread.sleep(600);
            }
            assertEquals(s.invite().callId(), s.caller().next("BYE").callId());
            assertTrue(s.caller().endsInOrder());
            ending.join();
        }
    }

    @Test
    void aNewConfigurationDuringAndAfterTheEndHarmsNothing() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            rig.accept(0);
            rig.caller();
            Thread ending = rig.drain();
            NodeConfig same = rig.configuration(rig.coordinator.getLocalPort());
            rig.node.reload(same);
            ending.join();
            rig.node.reload(same);
        }
    }
}
