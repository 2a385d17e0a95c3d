package damsonseam.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.sip.SipMessage;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against attempts for calls that were abandoned already: the caller closes, resets or cancels while its set-up
 * is in the socket buffers, in the accept backlog, or waits in the node.
 */
@Timeout(60)
class CallerAbandonsCallTest {
    /** Much longer than the time from a set-up to its attempt. */
    private static final int QUIET_PERIOD_MS = 300;
    /** More than one event-loop iteration reads of a connection, and less than the system's buffers take. */
    private static final int UNREAD_SET_UPS = 300;

    private static final int UNREAD_BODY_BYTES = 4_000;

    /** How a caller abandons its call. */
    private interface AbandonAction {
        void abandon(SipSocket caller, SipMessage invite) throws Exception;
    }

    private static void assertNoAttemptWhenAbandonedDuringPause(AbandonAction action) throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            SipMessage invite = fixture.invite();
            try (AutoCloseable paused = fixture.pauseEventLoop()) {
                assertNotNull(paused);
                caller.send(invite);
                action.abandon(caller, invite);
            }
            assertTrue(server.isQuiet(QUIET_PERIOD_MS), "attempt for an abandoned call");
            fixture.awaitEmpty();
        }
    }

    @Test
    void noAttemptAfterCallerCloses() throws Exception {
        assertNoAttemptWhenAbandonedDuringPause((caller, invite) -> caller.close());
    }

    @Test
    void noAttemptAfterCallerResets() throws Exception {
        assertNoAttemptWhenAbandonedDuringPause((caller, invite) -> caller.reset());
    }

    @Test
    void noAttemptAfterCallerHalfCloses() throws Exception {
        assertNoAttemptWhenAbandonedDuringPause((caller, invite) -> caller.halfClose());
    }

    @Test
    void noAttemptAfterCancelOnSameConnection() throws Exception {
        assertNoAttemptWhenAbandonedDuringPause((caller, invite) ->
                caller.send(SipMessage.request(SipMessage.CANCEL, invite.requestUri(), invite.callId(), 1)));
    }

    @Test
    void noAttemptWhenCallerClosesBeforeAccept() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            fixture.connectCaller();
            try (AutoCloseable paused = fixture.pauseEventLoop()) {
                assertNotNull(paused);
                for (int i = 0; i < 20; i++) {
                    SipSocket late = SipSocket.connect(fixture.node.address());
                    late.send(fixture.invite());
                    late.close();
                }
            }
            assertTrue(server.isQuiet(QUIET_PERIOD_MS), "attempt for an abandoned call");
            fixture.awaitEmpty();
        }
    }

    @Test
    void noAttemptForAbandonedCallsAmongManyCallers() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            List<SipSocket> callers = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                callers.add(fixture.connectCaller());
            }
            List<String> remainingCallIds = new ArrayList<>();
            try (AutoCloseable paused = fixture.pauseEventLoop()) {
                assertNotNull(paused);
                for (int i = 0; i < callers.size(); i++) {
                    SipMessage invite = fixture.invite();
                    callers.get(i).send(invite);
                    if (i % 3 == 0) {
                        remainingCallIds.add(invite.callId());
                    } else {
                        callers.get(i).close();
                    }
                }
            }
            // The remaining calls are set up one after the other as the server answers, the abandoned ones never.
            for (int i = 0; i < remainingCallIds.size(); i++) {
                SipMessage received = server.receive("INVITE");
                assertTrue(remainingCallIds.contains(received.callId()), "attempt for an abandoned call");
                server.send(NodeFixture.okResponse(received));
            }
        }
    }

    @Test
    void noSecondAttemptAfterCallerClosesBetweenAttempts() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            caller.send(fixture.invite());
            SipMessage first = server.receive("INVITE");
            try (AutoCloseable paused = fixture.pauseEventLoop()) {
                assertNotNull(paused);
                // The first attempt breaks, its guard expires and the caller closes within one event-loop iteration.
                server.send(SipMessage.response(504, "Reset", first.callId(), first.cseq()));
                Thread.sleep(NodeFixture.GUARD_MS + 50);
                caller.close();
            }
            assertNotNull(server.receive("ACK"));
            assertTrue(server.isQuiet(QUIET_PERIOD_MS), "further attempt for an abandoned call");
            fixture.awaitEmpty();
        }
    }

    @Test
    void callIsRemovedWhenAbandonedWhileWaitingForServerConnection() throws Exception {
        // A listener with a full backlog accepts no connection, so the set-up waits for one.
        try (ServerSocket fullBacklog = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<Socket> fillers = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                Socket filler = new Socket();
                try {
                    filler.connect(fullBacklog.getLocalSocketAddress(), 200);
                } catch (java.net.SocketTimeoutException e) {
                    // The backlog is full.
                }
                fillers.add(filler);
            }
            try (NodeFixture fixture = new NodeFixture(List.of(fullBacklog))) {
                SipSocket caller = fixture.connectCaller();
                caller.send(fixture.invite());
                caller.close();
                fixture.awaitEmpty();
                assertEquals(0, fixture.node.counters().established);
            }
            for (Socket filler : fillers) {
                filler.close();
            }
        }
    }

    /** Asserts that no INVITE arrives for a while; probes may. */
    private static void assertNoInvite(SipSocket server) throws IOException {
        try {
            while (true) {
                SipMessage message = server.receive(QUIET_PERIOD_MS);
                assertNotNull(message, "the node closed the connection");
                assertNotEquals(SipMessage.INVITE, message.method(), message.toString());
            }
        } catch (SocketTimeoutException e) {
            // Nothing more arrives.
        }
    }

    // Guards against set-ups that were sent on although their caller's close waited unread behind them.
    @Test
    void noAttemptForSetUpsWhoseCallerClosedBehindManyUnreadBytes() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            fixture.connectCaller();
            try (AutoCloseable paused = fixture.pauseEventLoop()) {
                assertNotNull(paused);
                SipSocket caller = SipSocket.connect(fixture.node.address());
                Thread writer = new Thread(() -> sendManyInvitesAndClose(fixture, caller));
                writer.start();
                writer.join(2_000);
                assertFalse(writer.isAlive(), "the system's buffers do not take all set-ups");
            }
            assertNoInvite(server);
            fixture.awaitEmpty();
        }
    }

    private static void sendManyInvitesAndClose(NodeFixture fixture, SipSocket caller) {
        try {
            for (int i = 0; i < UNREAD_SET_UPS; i++) {
                SipMessage invite = fixture.invite();
                caller.send(SipMessage.request(
                                SipMessage.INVITE, invite.requestUri(), invite.callId(), 1, new byte[UNREAD_BODY_BYTES])
                        .addHeader("X-Cos", "dear")
                        .addHeader("X-Timer-Ms", "1500"));
            }
            caller.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    // Guards against an id that runs twice as it comes again after its caller has left.
    @Test
    void idOfCallThatWasSentIsNotSetUpAgain() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            SipMessage invite = fixture.invite();
            caller.send(invite);
            SipMessage received = server.receive("INVITE");
            caller.close();
            assertNotNull(server.receive("CANCEL"));
            server.send(SipMessage.response(487, "Request Terminated", received.callId(), received.cseq()));
            SipSocket again = fixture.connectCaller();
            again.send(invite);
            assertEquals(482, again.receive().status());
            assertNoInvite(server);
            fixture.awaitEmpty();
        }
    }

    @Test
    void idOfCallThatWasNeverSentIsSetUp() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            SipMessage invite = fixture.invite();
            try (AutoCloseable paused = fixture.pauseEventLoop()) {
                assertNotNull(paused);
                caller.send(invite);
                caller.close();
            }
            fixture.awaitEmpty();
            SipSocket again = fixture.connectCaller();
            again.send(invite);
            server.send(NodeFixture.okResponse(server.receive("INVITE")));
            assertEquals(200, again.receive().status());
        }
    }
}
