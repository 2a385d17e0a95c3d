package damsonseam.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import damsonseam.node.NodeFixture.EstablishedCall;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.SocketTimeoutException;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against missed or repeated server-list updates, and against reconnecting too often, when the coordinator
 * falls silent, skips numbers or moves, and when updates cross calls.
 */
@Timeout(60)
class CoordinatorRaceTest {
    private static final int STATE_DRAINING = 1;

    @Test
    void emptyFrameWithHigherNumberIsTreatedAsGapOnce() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            NodeFixture.CoordinatorConnection first = fixture.acceptCoordinator();
            fixture.coordinatorSocket.setSoTimeout(200);
            NodeFixture.CoordinatorConnection second = null;
            for (int i = 0; i < 15 && second == null; i++) {
                // Keeps sending, so that the node does not reconnect because of silence.
                try {
                    first.sendFrame(2, 0, 0, 0, 0);
                } catch (java.io.IOException e) {
                    // The node has closed the connection, as expected.
                }
                second = acceptOrNull(fixture);
            }
            assertNotNull(second, "the node must ask again");
            assertEquals(1, second.requestedAfter);
            // A coordinator without an update before that number is asked only once.
            second.sendFrame(2, 0, 0, 0, 0);
            second.sendFrame(2, 2, 0, fixture.serverSockets.get(0).getLocalPort(), STATE_DRAINING);
            Awaitility.await().until(() -> fixture.node.serverListVersion() == 2);
            second.sendFrame(2, 0, 0, 0, 0);
            fixture.coordinatorSocket.setSoTimeout(400);
            assertNull(acceptOrNull(fixture), "the node must not ask again");
        }
    }

    private static NodeFixture.CoordinatorConnection acceptOrNull(NodeFixture fixture) throws Exception {
        try {
            return fixture.acceptCoordinator();
        } catch (SocketTimeoutException e) {
            return null;
        }
    }

    @Test
    void moduleRequestsDoNotBypassBackoff() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            fixture.acceptCoordinator();
            for (int i = 0; i < 50; i++) {
                fixture.node
                        .loop()
                        .eventLoop()
                        .submit(() -> fixture.node.coordinator().requestServerList())
                        .get();
            }
            assertNotNull(fixture.acceptCoordinator(), "the node must ask again");
            fixture.coordinatorSocket.setSoTimeout(400);
            assertNull(acceptOrNull(fixture), "only one request at a time");
        }
    }

    @Test
    void connectionSilentMidFrameIsReplaced() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            NodeFixture.CoordinatorConnection first = fixture.acceptCoordinator();
            first.sendRaw(new byte[] {0, 0, 0, 36, 0, 0, 0, 0, 0, 0, 0, 2, 2, 0});
            assertTrue(first.isClosedByNode());
            NodeFixture.CoordinatorConnection second = fixture.acceptCoordinator();
            assertEquals(1, second.requestedAfter);
            second.sendFrame(2, 2, 0, fixture.serverSockets.get(0).getLocalPort(), STATE_DRAINING);
            Awaitility.await().until(() -> fixture.node.serverListVersion() == 2);
        }
    }

    @Test
    void serverMissingFromFullListKeepsItsCallsAndMayReturn() throws Exception {
        try (NodeFixture fixture = new NodeFixture(2)) {
            SipSocket server = fixture.acceptServerConnection(0);
            fixture.acceptServerConnection(1);
            EstablishedCall call = fixture.establishCall(server);
            NodeFixture.CoordinatorConnection coordinator = fixture.acceptCoordinator();
            coordinator.sendFrame(2, 1, 1, fixture.serverSockets.get(1).getLocalPort(), 0);
            Awaitility.await().until(() -> fixture.node.serverListVersion() == 2);
            assertTrue(call.caller().isQuiet(100), "the call must stay established");
            server.send(NodeFixture.bye(call.invite().callId(), 16));
            assertNotNull(call.caller().receive("BYE"));
            Awaitility.await().until(() -> fixture.node.serverCount() == 1);
            coordinator.sendFrame(3, 2, 0, fixture.serverSockets.get(0).getLocalPort(), 0);
            assertNotNull(fixture.acceptServerConnection(0), "the server must be connected again");
        }
    }

    @Test
    void updateFromNewAddressAppliesAndLateFrameFromOldOneIsIgnored() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1);
                ServerSocket moved = NodeFixture.listen()) {
            NodeFixture.CoordinatorConnection old = fixture.acceptCoordinator();
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            int port = fixture.serverSockets.get(0).getLocalPort();
            fixture.node.reload(fixture.parsedConfig(moved.getLocalPort()));
            NodeFixture.CoordinatorConnection current =
                    fixture.closeLater(new NodeFixture.CoordinatorConnection(moved.accept()));
            current.sendFrame(2, 2, 0, port, STATE_DRAINING);
            Awaitility.await().until(() -> fixture.node.serverListVersion() == 2);
            try {
                old.sendFrame(3, 2, 0, port, 0);
            } catch (java.io.IOException e) {
                // The node has closed it.
            }
            caller.send(fixture.invite());
            assertTrue(caller.receive().status() >= 400);
            assertTrue(server.isQuiet(100), "set-up sent to a draining server");
            assertEquals(2, fixture.node.serverListVersion());
        }
    }

    @Test
    void noAttemptWhenDrainAndSetUpArriveInOneIteration() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            NodeFixture.CoordinatorConnection coordinator = fixture.acceptCoordinator();
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            try (AutoCloseable paused = fixture.pauseEventLoop()) {
                assertNotNull(paused);
                caller.send(fixture.invite());
                coordinator.sendFrame(2, 2, 0, fixture.serverSockets.get(0).getLocalPort(), STATE_DRAINING);
            }
            assertTrue(caller.receive().status() >= 400);
            assertTrue(server.isQuiet(100));
            fixture.awaitEmpty();
        }
    }

    // Guards against review case 2: a coordinator that needs longer for its first frame was never heard.
    @Test
    void coordinatorThatIsSlowToServeAConnectionIsHeard() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            for (int i = 0; i < 3; i++) {
                // Each connection is served 2 s after the request for updates.
                NodeFixture.CoordinatorConnection coordinator = fixture.acceptCoordinator();
                Thread.sleep(2_000);
                try {
                    coordinator.sendFrame(2, 2, 0, fixture.serverSockets.get(0).getLocalPort(), 1);
                } catch (IOException e) {
                    continue; // Closed by the node.
                }
                Thread.sleep(200);
                if (fixture.node.serverListVersion() == 2) {
                    return;
                }
            }
            fail("no update of a slow coordinator was applied");
        }
    }
}
