package damsonseam.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.sip.SipMessage;
import java.io.IOException;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Connections to servers that close or reset as a set-up is under way, and descriptors that run short. */
@Timeout(60)
class ServerCrossingsTest {

    @Test
    void aSetUpWhoseConnectionIsResetBeforeItWentOutGoesOnTheNext() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            SipSocket caller = rig.caller();
            SipMessage invite = rig.invite();
            try (AutoCloseable paused = rig.pause()) {
                assertNotNull(paused);
                caller.send(invite);
                server.reset();
            }
            SipSocket next = rig.accept(0);
            SipMessage seen = next.next("INVITE");
            assertEquals("1 INVITE", seen.cseq(), "no attempt was used up");
            next.send(NodeRig.stands(seen));
            assertEquals(200, caller.next().status());
        }
    }

    @Test
    void anIdleCloseThatCrossesASetUpIsARestAndTheCallGoesOn() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            SipSocket caller = rig.caller();
            caller.send(rig.invite());
            Awaitility.await().until(server::hasUnread);
            // Closed with the set-up unread: the node sees a reset, and whether it ran can't be known.
            server.close();
            SipSocket next = rig.accept(0);
            SipMessage seen = next.next("INVITE");
            assertEquals("2 INVITE", seen.cseq());
            next.send(NodeRig.stands(seen));
            assertEquals(200, caller.next().status());
        }
    }

    @Test
    void aSilentServerIsNotTestedWhereTheSettingsForbidIt() throws Exception {
        try (NodeRig rig =
                new NodeRig(NodeRig.listening(1), text -> text.replace("\"MayProbe\":true", "\"MayProbe\":false"))) {
            SipSocket server = rig.accept(0);
            NodeRig.Standing s = rig.standing(server);
            // Its silence is met by one more connection, on which it speaks, and the call stands on.
            SipSocket second = rig.accept(0);
            second.send(NodeRig.bye(s.invite().callId(), 16));
            assertEquals("Q.850;cause=16", s.caller().next("BYE").headers().get("Reason"));
            SipMessage said;
            do {
                said = server.next(100);
                assertTrue(!said.method().equals(SipMessage.OPTIONS), "a test");
            } while (server.hasUnread());
        }
    }

    @Test
    void callsAtAServerThatOnlyFailsTestsAreReleasedWithinTheTimeAllowed() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            NodeRig.Standing s = rig.standing(server);
            Thread fails = new Thread(() -> {
                try {
                    for (SipMessage m = server.next("OPTIONS"); m != null; m = server.next("OPTIONS")) {
                        server.send(SipMessage.response(503, "Service Unavailable", m.callId(), m.cseq()));
                    }
                } catch (IOException e) {
                    // Closed by the node, as it should be.
                }
            });
            long from = System.nanoTime();
            fails.start();
            SipMessage bye = s.caller().next(7_500);
            assertEquals(s.invite().callId(), bye.callId());
            assertEquals("Q.850;cause=41", bye.headers().get("Reason"));
            assertTrue(System.nanoTime() - from < 7_500_000_000L);
            fails.join();
        }
    }

    @Test
    void ofAServerThatTheListDropsEachConnectionIsAskedAtOnce() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            NodeRig.Coordinator coordinator = rig.coordinator();
            SipSocket first = rig.accept(0);
            NodeRig.Standing s = rig.standing(first);
            // A second set-up while one is out makes the node open a second connection.
            s.caller().send(rig.invite());
            SipMessage out = first.next("INVITE");
            s.caller().send(rig.invite());
            SipSocket second = rig.accept(0);
            first.send(SipMessage.response(503, "Full", out.callId(), out.cseq()));
            long from = System.nanoTime();
            coordinator.frame(2, 2, 0, rig.servers.get(0).getLocalPort(), 2);
            assertNotNull(first.next("OPTIONS"));
            assertNotNull(second.next("OPTIONS"));
            assertTrue(System.nanoTime() - from < 1_500_000_000L, "only after the silence that any server is allowed");
        }
    }

    @Test
    void anAcceptThatFailsKeepsNobodyWaitingForASecond() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            rig.accept(0);
            rig.caller();
            rig.node
                    .loop()
                    .eventLoop()
                    .submit(() -> rig.node
                            .callerListener()
                            .pipeline()
                            .fireExceptionCaught(new IOException("Too many open files")))
                    .get();
            long from = System.nanoTime();
            rig.caller();
            assertTrue(System.nanoTime() - from < 700_000_000L);
        }
    }

    @Test
    void descriptorsForManyServersAreKeptAside() throws Exception {
        int servers = 60;
        try (NodeRig rig = new NodeRig(servers)) {
            for (int i = 0; i < servers; i++) {
                rig.accept(i);
            }
            SipSocket first = rig.caller();
            for (int i = 0; i < 300; i++) {
                rig.keep(SipSocket.to(rig.node.address()));
            }
            int most = 256 - 72 - servers;
            Awaitility.await().until(() -> rig.node.callerListener().peakConnections() >= most);
            assertTrue(
                    rig.node.callerListener().peakConnections() <= most + 4,
                    "at most those accepted in one turn beyond");
            first.send(rig.invite());
            assertNotNull(rig.coordinator(), "the coordinator's own place");
        }
    }
}
