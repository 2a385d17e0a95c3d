package damsonseam.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import damsonseam.sip.SipEncoder;
import damsonseam.sip.SipMessage;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.util.Arrays;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against closing connections whose messages arrive in slow fragments, and against keeping endless ones. */
@Timeout(60)
class FragmentedMessageTest {

    private static byte[] encode(SipMessage message) {
        ByteBuf encoded = SipEncoder.encode(UnpooledByteBufAllocator.DEFAULT, message);
        byte[] bytes = ByteBufUtil.getBytes(encoded);
        encoded.release();
        return bytes;
    }

    @Test
    void setUpInTwoFragmentsOnIdleConnectionIsAccepted() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            // Idle for longer than a message may stay unfinished, but not long enough to be closed.
            Thread.sleep(2_200);
            byte[] bytes = encode(fixture.invite());
            caller.send(Arrays.copyOf(bytes, bytes.length - 1));
            // Several sweeps of idle connections pass.
            double sentAtMs = fixture.node.loop().now();
            Awaitility.await().until(() -> fixture.node.loop().now() > sentAtMs + 300);
            caller.send(Arrays.copyOfRange(bytes, bytes.length - 1, bytes.length));
            server.send(NodeFixture.okResponse(server.receive("INVITE")));
            assertEquals(200, caller.receive().status());
        }
    }

    @Test
    void silenceTimeoutCountsFromLastByteReceived() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            SipSocket server = fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            byte[] bytes = encode(fixture.invite());
            int fragmentLength = (bytes.length + 3) / 4;
            for (int from = 0; from < bytes.length; from += fragmentLength) {
                caller.send(Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + fragmentLength)));
                // Three gaps of 0.8 s, each below the limit: 2.4 s from the first byte to the last.
                Thread.sleep(from + fragmentLength < bytes.length ? 800 : 0);
            }
            server.send(NodeFixture.okResponse(server.receive("INVITE")));
            assertEquals(200, caller.receive().status());
        }
    }

    @Test
    void connectionIsClosedWhenMessageOutlastsLongestDeadline() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            fixture.acceptServerConnection(0);
            SipSocket caller = fixture.connectCaller();
            Thread sender = new Thread(() -> {
                try {
                    while (true) {
                        caller.send("x");
                        Thread.sleep(100);
                    }
                } catch (Exception e) {
                    // The node closes the connection, as expected.
                }
            });
            sender.start();
            assertNull(caller.receive(), "must be closed after the longest deadline of 3 s");
            sender.join();
        }
    }
}
