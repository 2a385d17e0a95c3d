package damsonseam.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.node.NodeRig.Standing;
import java.net.ServerSocket;
import java.net.SocketTimeoutException;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The watch of the list of servers, crossed by silence, gaps, moves and calls. */
@Timeout(60)
class CoordinatorCrossingsTest {
    private static final int DRAINING = 1;

    @Test
    void nothingNewWithANumberAheadOfOursIsAGap() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            NodeRig.Coordinator first = rig.coordinator();
            rig.coordinator.setSoTimeout(200);
            NodeRig.Coordinator second = null;
            for (int i = 0; i < 15 && second == null; i++) {
                // It goes on, so that it is not the silence that makes the node ask again.
                try {
                    first.frame(2, 0, 0, 0, 0);
                } catch (java.io.IOException e) {
                    // Left, as it should be.
                }
                second = another(rig);
            }
            assertNotNull(second, "not asked again");
            assertEquals(1, second.from);
            // A coordinator that has nothing to tell before that number is asked once and no more.
            second.frame(2, 0, 0, 0, 0);
            second.frame(2, 2, 0, rig.servers.get(0).getLocalPort(), DRAINING);
            Awaitility.await().until(() -> rig.node.serverListVersion() == 2);
            second.frame(2, 0, 0, 0, 0);
            rig.coordinator.setSoTimeout(400);
            assertNull(another(rig), "asked again for nothing");
        }
    }

    private static NodeRig.Coordinator another(NodeRig rig) throws Exception {
        try {
            return rig.coordinator();
        } catch (SocketTimeoutException e) {
            return null;
        }
    }

    @Test
    void asksOfTheModuleDoNotPassTheBackoff() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            rig.coordinator();
            for (int i = 0; i < 50; i++) {
                rig.node
                        .loop()
                        .eventLoop()
                        .submit(() -> rig.node.coordinator().requestServerList())
                        .get();
            }
            assertNotNull(rig.coordinator(), "asked again");
            rig.coordinator.setSoTimeout(400);
            assertNull(another(rig), "one ask at a time");
        }
    }

    @Test
    void aWatchThatFallsSilentAmidAFrameIsLeft() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            NodeRig.Coordinator first = rig.coordinator();
            first.raw(new byte[] {0, 0, 0, 36, 0, 0, 0, 0, 0, 0, 0, 2, 2, 0});
            assertTrue(first.closed());
            NodeRig.Coordinator second = rig.coordinator();
            assertEquals(1, second.from);
            second.frame(2, 2, 0, rig.servers.get(0).getLocalPort(), DRAINING);
            Awaitility.await().until(() -> rig.node.serverListVersion() == 2);
        }
    }

    @Test
    void aWholeListThatLacksAServerLeavesItsCallsStandingAndMayBringItBack() throws Exception {
        try (NodeRig rig = new NodeRig(2)) {
            SipSocket server = rig.accept(0);
            rig.accept(1);
            Standing s = rig.standing(server);
            NodeRig.Coordinator coordinator = rig.coordinator();
            coordinator.frame(2, 1, 1, rig.servers.get(1).getLocalPort(), 0);
            Awaitility.await().until(() -> rig.node.serverListVersion() == 2);
            assertTrue(s.caller().quiet(100), "the call runs on");
            server.send(NodeRig.bye(s.invite().callId(), 16));
            assertNotNull(s.caller().next("BYE"));
            Awaitility.await().until(() -> rig.node.serverCount() == 1);
            coordinator.frame(3, 2, 0, rig.servers.get(0).getLocalPort(), 0);
            assertNotNull(rig.accept(0), "it is back");
        }
    }

    @Test
    void aDrainToldOnlyAtTheNewAddressCountsAndALateFrameOfTheOldOneDoesNot() throws Exception {
        try (NodeRig rig = new NodeRig(1);
                ServerSocket moved = NodeRig.listen()) {
            NodeRig.Coordinator old = rig.coordinator();
            SipSocket server = rig.accept(0);
            SipSocket caller = rig.caller();
            int port = rig.servers.get(0).getLocalPort();
            rig.node.reload(rig.configuration(moved.getLocalPort()));
            NodeRig.Coordinator at = rig.keep(new NodeRig.Coordinator(moved.accept()));
            at.frame(2, 2, 0, port, DRAINING);
            Awaitility.await().until(() -> rig.node.serverListVersion() == 2);
            try {
                old.frame(3, 2, 0, port, 0);
            } catch (java.io.IOException e) {
                // The node has closed it.
            }
            caller.send(rig.invite());
            assertTrue(caller.next().status() >= 400);
            assertTrue(server.quiet(100), "a set-up to a server that drains");
            assertEquals(2, rig.node.serverListVersion());
        }
    }

    @Test
    void aDrainAndASetUpInOneTurnMeanNoAttempt() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            NodeRig.Coordinator coordinator = rig.coordinator();
            SipSocket server = rig.accept(0);
            SipSocket caller = rig.caller();
            try (AutoCloseable paused = rig.pause()) {
                assertNotNull(paused);
                caller.send(rig.invite());
                coordinator.frame(2, 2, 0, rig.servers.get(0).getLocalPort(), DRAINING);
            }
            assertTrue(caller.next().status() >= 400);
            assertTrue(server.quiet(100));
            rig.empty();
        }
    }
}
