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

/** Set-ups that come in pieces, over any time that their callers take. */
@Timeout(60)
class PiecesTest {

    private static byte[] octets(SipMessage message) {
        ByteBuf encoded = SipEncoder.encode(UnpooledByteBufAllocator.DEFAULT, message);
        byte[] octets = ByteBufUtil.getBytes(encoded);
        encoded.release();
        return octets;
    }

    @Test
    void aSetUpInTwoPiecesOnAConnectionThatWasIdleIsTaken() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            SipSocket caller = rig.caller();
            // Idle for longer than a message may stand half way, yet not for long enough to be closed.
            Thread.sleep(2_200);
            byte[] octets = octets(rig.invite());
            caller.send(Arrays.copyOf(octets, octets.length - 1));
            // Some looks at idle connections pass.
            double sent = rig.node.loop().now();
            Awaitility.await().until(() -> rig.node.loop().now() > sent + 300);
            caller.send(Arrays.copyOfRange(octets, octets.length - 1, octets.length));
            server.send(NodeRig.stands(server.next("INVITE")));
            assertEquals(200, caller.next().status());
        }
    }

    @Test
    void theSilenceLimitCountsFromTheLastOctet() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            SipSocket caller = rig.caller();
            byte[] octets = octets(rig.invite());
            int part = (octets.length + 3) / 4;
            for (int from = 0; from < octets.length; from += part) {
                caller.send(Arrays.copyOfRange(octets, from, Math.min(octets.length, from + part)));
                // Three gaps of 0.8 s, and less than the limit each: 2.4 s from the first octet to the last.
                Thread.sleep(from + part < octets.length ? 800 : 0);
            }
            server.send(NodeRig.stands(server.next("INVITE")));
            assertEquals(200, caller.next().status());
        }
    }

    @Test
    void aMessageWithoutAnEndIsClosedAfterAnyCallersPatience() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            rig.accept(0);
            SipSocket endless = rig.caller();
            Thread trickle = new Thread(() -> {
                try {
                    while (true) {
                        endless.send("x");
                        Thread.sleep(100);
                    }
                } catch (Exception e) {
                    // Closed by the node, as it should.
                }
            });
            trickle.start();
            assertNull(endless.next(), "closed after the longest deadline of 3 s");
            trickle.join();
        }
    }
}
