package damsonseam.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.node.NodeFixture.EstablishedCall;
import damsonseam.sip.SipMessage;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against calls that stay established at their server although they are over for their caller: a BYE to a server
 * was written once and forgotten, and calls that ended on a guess were not released at the server at all.
 */
@Timeout(60)
class ServerReleaseTest {
    /** Long enough for a repeated BYE, which follows after 300 ms. */
    private static final int REPETITION_PERIOD_MS = 800;

    private static final int PARTITION_MS = 6_000;
    /** The platform requires the release of a call within this time of its end. */
    private static final int RELEASE_DEADLINE_MS = 8_050;

    private static void confirm(SipSocket server, SipMessage request) throws IOException {
        server.send(SipMessage.response(200, "OK", request.callId(), request.cseq()));
    }

    private static SipMessage byeOf(EstablishedCall call) {
        return NodeFixture.bye(call.invite().callId(), 16);
    }

    /** Returns the next message other than probes, or null if none arrives in time. */
    private static SipMessage receiveUnlessProbe(SipSocket server, int timeoutMs) throws IOException {
        long deadline = System.nanoTime() + timeoutMs * 1_000_000L;
        while (System.nanoTime() < deadline) {
            try {
                SipMessage message = server.receive((int) Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
                if (message == null || !message.method().equals(SipMessage.OPTIONS)) {
                    return message;
                }
            } catch (java.net.SocketTimeoutException e) {
                return null;
            }
        }
        return null;
    }

    @Test
    void byeOnConnectionThatIsNoLongerServedIsSentOnAnother() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket useless = fixture.acceptServerConnection(0);
            EstablishedCall call = fixture.establishCall(useless);
            // From here on the server reads nothing on this connection.
            call.caller().send(fixture.invite());
            call.caller().send(byeOf(call));
            assertEquals(200, call.caller().receive().status());
            SipSocket next = fixture.acceptServerConnection(0);
            SipMessage bye = next.receive("BYE");
            assertEquals(call.invite().callId(), bye.callId());
            confirm(next, bye);
        }
    }

    @Test
    void byeUnreadOnResetConnectionIsSentOnAnother() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            EstablishedCall call = fixture.establishCall(server);
            try (AutoCloseable paused = fixture.pauseEventLoop()) {
                assertNotNull(paused);
                call.caller().send(byeOf(call));
                server.reset();
            }
            assertEquals(
                    call.invite().callId(),
                    fixture.acceptServerConnection(0).receive("BYE").callId());
        }
    }

    @Test
    void confirmedByeIsNotRepeated() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            EstablishedCall call = fixture.establishCall(server);
            call.caller().send(byeOf(call));
            confirm(server, server.receive("BYE"));
            server.reset();
            SipSocket next = fixture.acceptServerConnection(0);
            assertTrue(next.isQuiet(REPETITION_PERIOD_MS), "repeated though the server has confirmed it");
        }
    }

    @Test
    void byeToServerThatNeverConfirmsIsNotRepeatedOnceTheServerUsesTheConnection() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            EstablishedCall call = fixture.establishCall(server);
            call.caller().send(byeOf(call));
            assertNotNull(server.receive("BYE"));
            assertTrue(server.isQuiet(REPETITION_PERIOD_MS));
            server.send(SipMessage.request(SipMessage.NOTIFY, "sip:group@net", "0000000000000001", 1)
                    .addHeader("X-Occupancy", "spare:31;total:40"));
            server.send(SipMessage.request(SipMessage.OPTIONS, "sip:ping@net", "0000000000000002", 1));
            assertTrue(server.isQuiet(REPETITION_PERIOD_MS));
            server.reset();
            assertTrue(fixture.acceptServerConnection(0).isQuiet(REPETITION_PERIOD_MS));
        }
    }

    @Test
    void callsReleasedAfterSilenceAreReleasedAtTheServerWhenItReturns() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            EstablishedCall call = fixture.establishCall(server);
            assertEquals(
                    "Q.850;cause=41",
                    call.caller().receive(RELEASE_DEADLINE_MS).headers().get("Reason"));
            // The network is whole again: the connections that were opened meanwhile are served.
            SipMessage bye = null;
            for (int i = 0; i < 4 && bye == null; i++) {
                bye = receiveUnlessProbe(fixture.acceptServerConnection(0), REPETITION_PERIOD_MS);
            }
            assertNotNull(bye, "the call stays established at the server for good");
            assertEquals(call.invite().callId(), bye.callId());
        }
    }

    @Test
    void callsSurvivePartitionOfSixSeconds() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            EstablishedCall call = fixture.establishCall(server);
            SipMessage probe = server.receive(SipMessage.OPTIONS);
            // The first probe is lost in the partition, and is answered once the network is whole again.
            assertTrue(call.caller().isQuiet(PARTITION_MS), "released during the partition");
            confirm(server, probe);
            assertTrue(call.caller().isQuiet(100), "released after the partition");
            server.send(byeOf(call));
            assertEquals(
                    "Q.850;cause=16", call.caller().receive("BYE").headers().get("Reason"));
        }
    }

    /** Answers nothing and reports that 30 of 40 lines are free, first of all on each connection. */
    private static void acceptQuietConnections(NodeFixture fixture, int serverIndex, List<SipSocket> accepted) {
        Thread acceptor = new Thread(() -> {
            try {
                while (true) {
                    accepted.add(fixture.acceptServerConnection(serverIndex));
                }
            } catch (Exception e) {
                // The test is over.
            }
        });
        acceptor.setDaemon(true);
        acceptor.start();
    }

    @Test
    void quietServerWithoutProbesIsAskedAtTheLimitOfAllConnections() throws Exception {
        int servers = 43; // One connection to each is the limit of all server connections at 256 descriptors.
        try (NodeFixture fixture = new NodeFixture(
                NodeFixture.listenOnPorts(servers), text -> text.replace("\"MayProbe\":true", "\"MayProbe\":false"))) {
            SipSocket server = fixture.acceptServerConnection(0);
            for (int i = 1; i < servers; i++) {
                fixture.acceptServerConnection(i);
            }
            EstablishedCall call = fixture.establishCall(server);
            List<SipSocket> accepted = new CopyOnWriteArrayList<>();
            acceptQuietConnections(fixture, 0, accepted);
            assertTrue(call.caller().isQuiet(10_000), "released although the server is sound");
            accepted.get(accepted.size() - 1).send(byeOf(call));
            assertEquals(
                    "Q.850;cause=16", call.caller().receive("BYE").headers().get("Reason"));
        }
    }

    @Test
    void serverThatRefusedAConnectionGetsTheReleaseOfItsCalls() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            EstablishedCall call = fixture.establishCall(server);
            int port = fixture.serverSockets.get(0).getLocalPort();
            fixture.serverSockets.get(0).close();
            server.reset();
            assertEquals(
                    "Q.850;cause=41", call.caller().receive("BYE").headers().get("Reason"));
            ServerSocket reopened = new ServerSocket();
            reopened.setReuseAddress(true);
            reopened.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            fixture.serverSockets.set(0, reopened);
            assertEquals(
                    call.invite().callId(),
                    fixture.acceptServerConnection(0).receive("BYE").callId());
        }
    }

    @Test
    void attemptThatEndedWithoutAResponseIsReleasedOnceItsCallIsOver() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            SipMessage invite = fixture.invite();
            caller.send(invite);
            assertNotNull(server.receive("INVITE"));
            caller.send(SipMessage.request(SipMessage.CANCEL, invite.requestUri(), invite.callId(), 1));
            assertNotNull(server.receive("CANCEL"));
            // The server has established the call, and its 200 is lost with the connection.
            server.reset();
            assertEquals(
                    invite.callId(),
                    fixture.acceptServerConnection(0).receive("BYE").callId());
        }
    }

    @Test
    void delistedServerGetsTheReleaseThatWasLostWithItsConnection() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            NodeFixture.CoordinatorConnection coordinator = fixture.acceptCoordinator();
            SipSocket server = fixture.acceptServerConnection(0);
            EstablishedCall call = fixture.establishCall(server);
            coordinator.sendFrame(2, 2, 0, fixture.serverSockets.get(0).getLocalPort(), 2);
            assertNotNull(server.receive("OPTIONS"));
            try (AutoCloseable paused = fixture.pauseEventLoop()) {
                assertNotNull(paused);
                call.caller().send(byeOf(call));
                server.reset();
            }
            assertEquals(
                    call.invite().callId(),
                    fixture.acceptServerConnection(0).receive("BYE").callId());
        }
    }
}
