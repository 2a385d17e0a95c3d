package damsonseam.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.sip.SipMessage;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against one peer that sends small requests at full speed, under ever new ids, and delays the answers of the
 * others: a connection was read for as long as it had anything to read, up to a limit of 1 MiB.
 */
@Timeout(60)
class FullSpeedCallerTest {
    /** Half a second, after which a late answer counts as lost. */
    private static final long MAX_ANSWER_MS = 500;

    private static final int CALLS = 40;
    private static final int REQUESTS_PER_WRITE = 400;

    private static String request(int kind, String callId) {
        return switch (kind % 4) {
            case 0 ->
                "OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: " + callId
                        + "\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n";
            case 1 -> "BYE sip:1@net SIP/2.0\r\nCall-ID: " + callId + "\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n";
            case 2 ->
                "UNKNOWN" + callId + " sip:1@net SIP/2.0\r\nCall-ID: " + callId
                        + "\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n";
            default ->
                "INVITE sip:1@net SIP/2.0\r\nCall-ID: " + callId + "\r\nCSeq: 1 INVITE\r\nX-Cos: class" + callId
                        + "\r\nContent-Length: 0\r\n\r\n";
        };
    }

    private static void sendAtFullSpeed(SipSocket caller, AtomicBoolean stop) {
        try {
            for (int number = 1_000_000; !stop.get(); ) {
                ByteArrayOutputStream requests = new ByteArrayOutputStream();
                for (int i = 0; i < REQUESTS_PER_WRITE; i++) {
                    String text = request(number, NodeFixture.callId(number++));
                    requests.writeBytes(text.getBytes(StandardCharsets.US_ASCII));
                }
                caller.send(requests.toByteArray());
            }
        } catch (IOException e) {
            // The node may close the connection.
        }
    }

    private static void readAll(SipSocket caller) {
        try {
            caller.discardAll();
        } catch (IOException e) {
            // The test is over.
        }
    }

    private static void answerInvites(SipSocket server) {
        try {
            for (SipMessage invite = server.receive("INVITE"); invite != null; invite = server.receive("INVITE")) {
                server.send(NodeFixture.okResponse(invite));
                // The call is over soon: as many lines are free as before.
                server.send(SipMessage.request(SipMessage.NOTIFY, "sip:group@net", "0000000000000001", 1)
                        .addHeader("X-Occupancy", "spare:30;total:40"));
            }
        } catch (IOException e) {
            // The test is over.
        }
    }

    private static void inBackground(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    @Test
    void callsOfOthersAreAnsweredInTime() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket usual = fixture.connectCaller();
            SipSocket fast = fixture.connectCaller();
            AtomicBoolean stop = new AtomicBoolean();
            inBackground(() -> answerInvites(server));
            inBackground(() -> readAll(fast));
            inBackground(() -> sendAtFullSpeed(fast, stop));
            long longestMs = 0;
            int served = 0;
            for (int i = 0; i < CALLS; i++) {
                SipMessage invite = fixture.invite();
                long sentAt = System.nanoTime();
                usual.send(invite);
                SipMessage answer = usual.receive();
                assertEquals(invite.callId(), answer.callId());
                longestMs = Math.max(longestMs, (System.nanoTime() - sentAt) / 1_000_000);
                if (answer.status() == SipMessage.OK) {
                    served++;
                    usual.send(NodeFixture.bye(invite.callId(), 16));
                    assertEquals(200, usual.receive().status());
                }
                Thread.sleep(50);
            }
            stop.set(true);
            assertTrue(longestMs <= MAX_ANSWER_MS, "longest answer: " + longestMs + " ms");
            assertTrue(served > CALLS / 2, "served: " + served);
        }
    }
}
