package damsonseam.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.node.NodeFixture.EstablishedCall;
import damsonseam.sip.SipMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against lost answers and releases when a node shuts down while callers and servers still send messages. */
@Timeout(60)
class ShutdownTest {
    /** Earliest time of SIGKILL after SIGTERM for the deadlines of the fixture's classes. */
    private static final int KILLED_AFTER_MS = 3_700;

    @Test
    void pendingCallsAreAnsweredBeforePlatformKills() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            SipMessage first = NodeFixture.invite(NodeFixture.callId(1), "dest:0;width:1;via:-1", "9000");
            caller.send(first);
            assertNotNull(server.receive("INVITE"));
            // Only one set-up may try a silent server: the others are held.
            for (int i = 2; i < 8; i++) {
                caller.send(NodeFixture.invite(NodeFixture.callId(i), "dest:0;width:1;via:-1", "9000"));
            }
            long startedAt = System.nanoTime();
            Thread drainThread = fixture.startDrain();
            assertTrue(caller.endsWithoutReset(), "a reset destroys responses under way");
            drainThread.join();
            long elapsedMs = (System.nanoTime() - startedAt) / 1_000_000;
            assertTrue(elapsedMs < KILLED_AFTER_MS, "stopped after " + elapsedMs + " ms");
            for (int i = 1; i < 8; i++) {
                SipMessage response = caller.pollBuffered();
                assertNotNull(response, "call without a final response");
                assertTrue(response.status() >= 400, "status " + response.status());
            }
        }
    }

    @Test
    void callerStillSendingIsNotReset() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            SipMessage invite = fixture.invite();
            caller.send(invite);
            Thread drainThread = fixture.startDrain();
            server.send(NodeFixture.okResponse(server.receive("INVITE")));
            assertTrue(caller.endsWithoutReset());
            assertEquals(200, caller.pollBuffered().status());
            // Data that arrives after the node has closed would cause a reset, which destroys unread responses.
            SipMessage ack = SipMessage.request(SipMessage.ACK, invite.requestUri(), invite.callId(), 1);
            long until = System.nanoTime() + 60_000_000;
            while (System.nanoTime() < until) {
                caller.send(ack);
            }
            caller.close();
            drainThread.join();
        }
    }

    @Test
    void setUpWaitingInBacklogAtTheEndIsAnswered() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            fixture.connectCaller();
            Thread drainThread = fixture.startDrain();
            Thread.sleep(500);
            SipSocket late;
            SipMessage invite = fixture.invite();
            try (AutoCloseable paused = fixture.pauseEventLoop()) {
                assertNotNull(paused);
                late = fixture.closeLater(SipSocket.connect(fixture.node.address()));
                late.send(invite);
                // The loop is paused until the node could stop: what the sockets hold is handled first anyway.
                Thread.sleep(600);
            }
            server.send(NodeFixture.okResponse(server.receive("INVITE")));
            assertEquals(200, late.receive().status());
            drainThread.join();
        }
    }

    @Test
    void callReleasedDuringShutdownIsReleasedToCaller() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            EstablishedCall call = fixture.establishCall(server);
            Thread drainThread = fixture.startDrain();
            Thread.sleep(500);
            try (AutoCloseable paused = fixture.pauseEventLoop()) {
                assertNotNull(paused);
                server.send(NodeFixture.bye(call.invite().callId(), 16));
                Thread.sleep(600);
            }
            assertEquals(call.invite().callId(), call.caller().receive("BYE").callId());
            assertTrue(call.caller().endsWithoutReset());
            drainThread.join();
        }
    }

    @Test
    void reloadDuringAndAfterShutdownIsHarmless() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            fixture.acceptServerConnection(0);
            fixture.connectCaller();
            Thread drainThread = fixture.startDrain();
            NodeConfig same = fixture.parsedConfig(fixture.coordinatorSocket.getLocalPort());
            fixture.node.reload(same);
            drainThread.join();
            fixture.node.reload(same);
        }
    }
}
