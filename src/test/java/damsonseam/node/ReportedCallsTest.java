package damsonseam.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.node.NodeFixture.EstablishedCall;
import damsonseam.sip.SipMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against peers whose claims are taken for facts: reports of calls that no server knows, and set-ups taken back
 * at once, must neither keep callers from connecting nor get other callers' releases.
 */
@Timeout(60)
class ReportedCallsTest {
    /** More connections than the node of the fixture accepts from callers. */
    private static final int BAD_CLIENTS = 200;
    /** Connections that the node of the fixture accepts from callers: 256 descriptors less 72 and 42 reserved ones. */
    private static final int CONNECTION_LIMIT = 142;
    /** A peer that reports calls is owed a refusal, an error or a close within this time of connecting. */
    private static final long CLOSE_MS = 3_000;

    private static SipMessage report(int number) {
        return NodeFixture.invite(NodeFixture.callId(number), "dest:0;width:1;via:-1;at:s-00000000", "1500");
    }

    /** Establishes a call on a new connection; the caller must have its answer well before its time is up. */
    private static EstablishedCall establishInTime(NodeFixture fixture, SipSocket server) throws Exception {
        SipSocket caller = fixture.closeLater(SipSocket.connect(fixture.node.address()));
        SipMessage invite = fixture.invite();
        caller.send(invite);
        SipMessage received = server.receive(1_000);
        while (!received.method().equals(SipMessage.INVITE)
                || !received.callId().equals(invite.callId())) {
            received = server.receive(1_000);
        }
        server.send(NodeFixture.okResponse(received));
        assertEquals(200, caller.receive(1_000).status());
        return new EstablishedCall(caller, server, invite);
    }

    /** Answers the set-up of one call, on the given connection and on those that the node opens later. */
    private static void answerOnEveryConnection(NodeFixture fixture, SipSocket first, String callId) {
        startDaemon(() -> answer(first, callId));
        startDaemon(() -> {
            while (true) {
                SipSocket next = fixture.acceptServerConnection(0);
                startDaemon(() -> answer(next, callId));
            }
        });
    }

    private static Void answer(SipSocket server, String callId) throws Exception {
        for (SipMessage invite = server.receive("INVITE"); invite != null; invite = server.receive("INVITE")) {
            if (invite.callId().equals(callId)) {
                server.send(NodeFixture.okResponse(invite));
            }
        }
        return null;
    }

    private static void startDaemon(Callable<Void> task) {
        Thread thread = new Thread(() -> {
            try {
                task.call();
            } catch (Exception e) {
                // The fixture closes the sockets at the end of the test.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    // Guards against review case 1: reports of unknown calls held their connections for good, and nobody got in.
    @Test
    void callersGetInBesideManyReportsOfUnknownCalls() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            fixture.establishCall(server);
            List<SipSocket> badClients = new ArrayList<>();
            long startedAt = System.nanoTime();
            for (int i = 0; i < BAD_CLIENTS; i++) {
                SipSocket client = fixture.closeLater(SipSocket.connect(fixture.node.address()));
                client.send(report(1_000 + i));
                badClients.add(client);
            }
            for (int i = 0; i < 10; i++) {
                establishInTime(fixture, server);
            }
            for (SipSocket client : badClients) {
                assertNull(client.receive((int) CLOSE_MS), "a report of an unknown call must end in a close");
            }
            assertTrue(System.nanoTime() - startedAt < CLOSE_MS * 1_000_000 + 500_000_000);
        }
    }

    // Guards against evicting a caller whose set-up waits unread after a pause, in place of a peer with an old claim.
    @Test
    void callerWhoseSetUpWaitsUnreadAfterPauseIsNotEvicted() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            for (int i = 0; i < CONNECTION_LIMIT; i++) {
                fixture.closeLater(SipSocket.connect(fixture.node.address())).send(report(8_000 + i));
            }
            Awaitility.await().until(() -> fixture.node.openCalls() == CONNECTION_LIMIT);
            SipSocket caller = fixture.closeLater(SipSocket.connect(fixture.node.address()));
            Awaitility.await().until(() -> fixture.node.callerListener().isAccepting());
            SipMessage invite = fixture.invite();
            try (AutoCloseable paused = fixture.pauseEventLoop()) {
                assertNotNull(paused);
                // Accepted before the set-up is read, these need room.
                for (int i = 0; i < 3; i++) {
                    fixture.closeLater(SipSocket.connect(fixture.node.address()));
                }
                caller.send(invite);
                Thread.sleep(150);
            }
            server.send(NodeFixture.okResponse(server.receive("INVITE")));
            assertEquals(200, caller.receive(1_000).status());
        }
    }

    // Guards against evicting a caller with an established call while a burst of bad clients is too young to give way.
    @Test
    void callerWithEstablishedCallKeepsItsConnectionInBurstOfReports() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            EstablishedCall call = fixture.establishCall(server);
            Thread.sleep(2_100);
            try (AutoCloseable paused = fixture.pauseEventLoop()) {
                assertNotNull(paused);
                for (int i = 0; i < BAD_CLIENTS; i++) {
                    fixture.closeLater(SipSocket.connect(fixture.node.address()))
                            .send(report(9_000 + i));
                }
            }
            establishInTime(fixture, server);
            server.send(NodeFixture.bye(call.invite().callId(), 16));
            assertEquals(
                    call.invite().callId(),
                    call.caller().receiveWithinOneSecond("BYE").callId());
        }
    }

    // Guards against taken-back set-ups that held the connection limit for two seconds.
    @Test
    void callersGetInBesideManySetUpsTakenBack() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            fixture.connectCaller();
            SipMessage usual = fixture.invite();
            answerOnEveryConnection(fixture, server, usual.callId());
            for (int i = 0; i < BAD_CLIENTS; i++) {
                SipSocket client = fixture.closeLater(SipSocket.connect(fixture.node.address()));
                SipMessage invite = NodeFixture.invite(NodeFixture.callId(2_000 + i), "dest:0;width:1;via:-1", "1500");
                client.send(invite);
                client.send(SipMessage.request(SipMessage.CANCEL, invite.requestUri(), invite.callId(), 1));
            }
            SipSocket caller = fixture.closeLater(SipSocket.connect(fixture.node.address()));
            caller.send(usual);
            assertEquals(200, caller.receive(1_000).status());
        }
    }

    // Guards against the release of a sound call being sent to a peer that only claims to have a call.
    @Test
    void releaseIsSentToProvenCallerBeforePeerThatReportedCalls() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            EstablishedCall call = fixture.establishCall(server);
            EstablishedCall other = fixture.establishCall(server);
            SipSocket claimant = fixture.connectCaller();
            claimant.send(report(3_000));
            Awaitility.await().until(() -> fixture.node.openCalls() == 3);
            call.caller().close();
            Awaitility.await().until(() -> fixture.node.callerConnections() == 2);
            server.send(NodeFixture.bye(call.invite().callId(), 16));
            assertEquals(
                    call.invite().callId(),
                    other.caller().receiveWithinOneSecond("BYE").callId());
            assertTrue(claimant.isQuiet(1));
        }
    }

    // Guards against a reported call that is sound losing its release because its connection was closed as silent.
    @Test
    void reportedCallIsReleasedOnAnotherConnectionOfItsHostAfterClose() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket reporter = fixture.connectCaller();
            reporter.send(report(4_000));
            EstablishedCall proven = fixture.establishCall(server);
            assertNull(reporter.receive((int) CLOSE_MS), "closed, as the host has another way for the release");
            server.send(NodeFixture.bye(NodeFixture.callId(4_000), 16));
            SipMessage bye = proven.caller().receiveWithinOneSecond("BYE");
            assertEquals(NodeFixture.callId(4_000), bye.callId());
            assertEquals("Q.850;cause=16", bye.headers().get("Reason"));
        }
    }

    // Guards against closing the only connection on which the release of a reported call can be sent.
    @Test
    void onlyConnectionOfReportedCallStaysOpen() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket reporter = fixture.connectCaller();
            reporter.send(report(5_000));
            assertTrue(reporter.isQuiet((int) CLOSE_MS));
            server.send(NodeFixture.bye(NodeFixture.callId(5_000), 16));
            assertEquals(
                    NodeFixture.callId(5_000),
                    reporter.receiveWithinOneSecond("BYE").callId());
        }
    }

    // Guards against one peer's invented calls displacing the reports of others at the limit of adopted calls.
    @Test
    void peerWithManyReportsLosesItsOwnCallsAtTheLimit() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            caller.send(report(6_000));
            Awaitility.await().until(() -> fixture.node.openCalls() == 1);
            SipSocket flooder = fixture.connectCaller();
            for (int i = 0; i < CallRegistry.MAX_ADOPTED_CALLS; i++) {
                flooder.send(report(10_000 + i));
            }
            SipMessage refused = flooder.receive("BYE");
            assertEquals(NodeFixture.callId(10_000), refused.callId(), "its oldest report gives way");
            SipSocket late = fixture.connectCaller();
            late.send(report(7_000));
            assertNotNull(flooder.receive("BYE"));
            for (int number : new int[] {6_000, 7_000}) {
                server.send(NodeFixture.bye(NodeFixture.callId(number), 16));
                SipMessage bye = (number == 6_000 ? caller : late).receiveWithinOneSecond("BYE");
                assertEquals(NodeFixture.callId(number), bye.callId());
                assertEquals("Q.850;cause=16", bye.headers().get("Reason"));
            }
        }
    }
}
