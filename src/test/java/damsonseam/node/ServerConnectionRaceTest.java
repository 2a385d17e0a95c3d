package damsonseam.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.sip.SipMessage;
import java.io.IOException;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against lost or wrongly counted attempts when a server connection closes while a set-up is under way, against
 * established calls that outlive a silent server, and against callers using up the file descriptors.
 */
@Timeout(60)
class ServerConnectionRaceTest {

    @Test
    void unsentSetUpMovesToNextConnectionAfterReset() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            SipMessage invite = fixture.invite();
            try (AutoCloseable paused = fixture.pauseEventLoop()) {
                assertNotNull(paused);
                caller.send(invite);
                server.reset();
            }
            SipSocket next = fixture.acceptServerConnection(0);
            SipMessage received = next.receive("INVITE");
            assertEquals("1 INVITE", received.cseq(), "the unsent attempt must not be counted");
            next.send(NodeFixture.okResponse(received));
            assertEquals(200, caller.receive().status());
        }
    }

    @Test
    void closeCrossingSetUpCountsAsResetAndCallIsRetried() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            caller.send(fixture.invite());
            Awaitility.await().until(server::hasUnread);
            // Closing with the set-up unread causes a reset, so the node cannot know whether it was handled.
            server.close();
            SipSocket next = fixture.acceptServerConnection(0);
            SipMessage received = next.receive("INVITE");
            assertEquals("2 INVITE", received.cseq());
            next.send(NodeFixture.okResponse(received));
            assertEquals(200, caller.receive().status());
        }
    }

    @Test
    void silentServerIsNotProbedWhenProbesAreDisabled() throws Exception {
        try (NodeFixture fixture = new NodeFixture(
                NodeFixture.listenOnPorts(1), text -> text.replace("\"MayProbe\":true", "\"MayProbe\":false"))) {
            SipSocket server = fixture.acceptServerConnection(0);
            NodeFixture.EstablishedCall call = fixture.establishCall(server);
            // The node opens another connection instead, the server sends on it, and the call stays established.
            SipSocket second = fixture.acceptServerConnection(0);
            second.send(NodeFixture.bye(call.invite().callId(), 16));
            assertEquals(
                    "Q.850;cause=16", call.caller().receive("BYE").headers().get("Reason"));
            SipMessage message;
            do {
                message = server.receive(100);
                assertTrue(!message.method().equals(SipMessage.OPTIONS), "probe sent");
            } while (server.hasUnread());
        }
    }

    @Test
    void callsAreReleasedInTimeWhenServerOnlyFailsProbes() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            NodeFixture.EstablishedCall call = fixture.establishCall(server);
            Thread responder = new Thread(() -> {
                try {
                    for (SipMessage message = server.receive("OPTIONS");
                            message != null;
                            message = server.receive("OPTIONS")) {
                        server.send(SipMessage.response(503, "Service Unavailable", message.callId(), message.cseq()));
                    }
                } catch (IOException e) {
                    // The node closes the connection, as expected.
                }
            });
            long startedAt = System.nanoTime();
            responder.start();
            SipMessage bye = call.caller().receive(7_500);
            assertEquals(call.invite().callId(), bye.callId());
            assertEquals("Q.850;cause=41", bye.headers().get("Reason"));
            assertTrue(System.nanoTime() - startedAt < 7_500_000_000L);
            responder.join();
        }
    }

    @Test
    void delistedServerIsProbedAtOnceOnEveryConnection() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            NodeFixture.CoordinatorConnection coordinator = fixture.acceptCoordinator();
            SipSocket first = fixture.acceptServerConnection(0);
            NodeFixture.EstablishedCall call = fixture.establishCall(first);
            // A second set-up while one is outstanding makes the node open a second connection.
            call.caller().send(fixture.invite());
            SipMessage received = first.receive("INVITE");
            call.caller().send(fixture.invite());
            SipSocket second = fixture.acceptServerConnection(0);
            first.send(SipMessage.response(503, "Full", received.callId(), received.cseq()));
            long startedAt = System.nanoTime();
            coordinator.sendFrame(2, 2, 0, fixture.serverSockets.get(0).getLocalPort(), 2);
            assertNotNull(first.receive("OPTIONS"));
            assertNotNull(second.receive("OPTIONS"));
            assertTrue(
                    System.nanoTime() - startedAt < 1_500_000_000L,
                    "probed only after the silence that any server is allowed");
        }
    }

    @Test
    void failedAcceptDelaysNextCallerByLessThanASecond() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            fixture.acceptServerConnection(0);
            fixture.connectCaller();
            fixture.node
                    .loop()
                    .eventLoop()
                    .submit(() -> fixture.node
                            .callerListener()
                            .pipeline()
                            .fireExceptionCaught(new IOException("Too many open files")))
                    .get();
            long startedAt = System.nanoTime();
            fixture.connectCaller();
            assertTrue(System.nanoTime() - startedAt < 700_000_000L);
        }
    }

    @Test
    void descriptorsAreReservedForManyServers() throws Exception {
        int serverCount = 60;
        try (NodeFixture fixture = new NodeFixture(serverCount)) {
            for (int i = 0; i < serverCount; i++) {
                fixture.acceptServerConnection(i);
            }
            SipSocket first = fixture.connectCaller();
            for (int i = 0; i < 300; i++) {
                fixture.closeLater(SipSocket.connect(fixture.node.address()));
            }
            int maxCallers = 256 - 72 - serverCount;
            Awaitility.await().until(() -> fixture.node.callerListener().peakConnections() >= maxCallers);
            assertTrue(
                    fixture.node.callerListener().peakConnections() <= maxCallers + 4,
                    "the limit may be exceeded only by the connections accepted in one iteration");
            first.send(fixture.invite());
            assertNotNull(fixture.acceptCoordinator(), "no descriptor left for the coordinator");
        }
    }
}
