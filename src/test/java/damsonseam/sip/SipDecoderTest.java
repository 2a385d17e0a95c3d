package damsonseam.sip;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against messages that are split, accepted or rejected wrongly, and against unbounded buffering. */
class SipDecoderTest {
    private static final String INVITE = "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\n"
            + "Call-ID: 9b1f03aa5c7e2d41\r\nCSeq: 1 INVITE\r\nX-Cos: voice\r\nContent-Length: 9\r\n\r\nabc\r\n\r\nde";
    private static final String RESPONSE =
            "SIP/2.0 200 OK\r\ni: 9b1f03aa5c7e2d41\r\nCSEQ : 1 INVITE\r\n" + "Subject: one\r\n  two\r\nl: 0\r\n\r\n";

    private static ByteBuf bytesOf(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }

    private static List<SipMessage> readAll(EmbeddedChannel channel) {
        List<SipMessage> read = new ArrayList<>();
        for (SipMessage message = channel.readInbound(); message != null; message = channel.readInbound()) {
            read.add(message);
        }
        return read;
    }

    @Test
    void decodesRequestAndResponse() {
        EmbeddedChannel channel = new EmbeddedChannel(new SipDecoder());
        channel.writeInbound(bytesOf(INVITE + "\r\n" + RESPONSE));
        List<SipMessage> read = readAll(channel);
        assertEquals(2, read.size());
        SipMessage invite = read.get(0);
        assertTrue(invite.isRequest());
        assertEquals("sip:7f3a9c21e0b4d655@net", invite.requestUri());
        assertEquals("9b1f03aa5c7e2d41", invite.callId());
        assertEquals(1, invite.cseqNumber());
        assertEquals("INVITE", invite.cseqMethod());
        assertArrayEquals("abc\r\n\r\nde".getBytes(StandardCharsets.UTF_8), invite.body());
        SipMessage response = read.get(1);
        assertEquals(200, response.status());
        assertEquals("9b1f03aa5c7e2d41", response.callId());
        assertEquals("one two", response.headers().get("subject"));
        assertNull(response.headers().get("X-Cos"));
        assertFalse(channel.finish());
    }

    @Property(tries = 200)
    void anyFragmentationYieldsSameMessages(@ForAll @Size(max = 12) List<@IntRange(min = 1, max = 90) Integer> cuts) {
        EmbeddedChannel channel = new EmbeddedChannel(new SipDecoder());
        String all = INVITE + RESPONSE + INVITE + "\r\n\r\n" + RESPONSE;
        int at = 0;
        for (int cut : cuts) {
            int end = Math.min(all.length(), at + cut);
            channel.writeInbound(bytesOf(all.substring(at, end)));
            at = end;
        }
        channel.writeInbound(bytesOf(all.substring(at)));
        List<SipMessage> read = readAll(channel);
        assertEquals(4, read.size());
        for (int i = 0; i < 4; i++) {
            assertEquals(i % 2 == 0, read.get(i).isRequest());
            assertEquals(i % 2 == 0 ? 9 : 0, read.get(i).body().length);
        }
        channel.finishAndReleaseAll();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "noise\r\n",
                "\u0001\u0002 \u0003 x\r\n",
                "GET / HTTP/1.1\r\n",
                "INVITE sip:a@net SIP/2.0\n",
                "SIP/2.0 20 OK\r\n",
                "SIP/2.0 999 OK\r\n",
                "INVITE sip:a@net SIP/2.0\r\nno colon\r\n",
                "INVITE sip:a@net SIP/2.0\r\n folded\r\n",
                "INVITE sip:a@net SIP/2.0\r\nContent-Length: -1\r\n",
                "INVITE sip:a@net SIP/2.0\r\nContent-Length: 3000000000\r\n",
                "INVITE sip:a@net SIP/2.0\r\nContent-Length: 60000000\r\n",
                "INVITE sip:a@net SIP/2.0\r\nl: 1e3\r\n",
                "INVITE sip:a@net SIP/2.0\r\nContent-Length:\r\n",
                "INVITE sip:a@net SIP/2.0\r\nCall-ID: 1\r\n\r\n",
                "INVITE sip:a@net SIP/2.0\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
                "INVITE sip:a@net SIP/2.0\r\nCall-ID: 1\r\ni: 2\r\nContent-Length: 0\r\n\r\n",
                "INVITE sip:a@net SIP/2.0\r\nContent-Length: 16384\r\n\r\n",
            })
    void malformedMessageIsRejectedImmediately(String text) {
        EmbeddedChannel channel = new EmbeddedChannel(new SipDecoder());
        DecoderException e = assertThrows(DecoderException.class, () -> channel.writeInbound(bytesOf(text)));
        assertTrue(e.getCause() instanceof SipFormatException, e.toString());
        // Everything after the malformed message is discarded.
        channel.writeInbound(bytesOf(INVITE));
        assertNull(channel.readInbound());
        channel.finishAndReleaseAll();
    }

    @Test
    void lineWithoutEndIsBounded() {
        EmbeddedChannel channel = new EmbeddedChannel(new SipDecoder());
        String part = "x".repeat(1_000);
        channel.writeInbound(bytesOf("INVITE sip:a@net SIP/2.0\r\nA: "));
        assertThrows(DecoderException.class, () -> {
            for (int i = 0; i < 20; i++) {
                channel.writeInbound(bytesOf(part));
            }
        });
        channel.finishAndReleaseAll();
    }

    @Test
    void numberOfHeaderLinesIsBounded() {
        EmbeddedChannel channel = new EmbeddedChannel(new SipDecoder());
        channel.writeInbound(bytesOf("INVITE sip:a@net SIP/2.0\r\n"));
        assertThrows(DecoderException.class, () -> {
            for (int i = 0; i < 100; i++) {
                channel.writeInbound(bytesOf("A: b\r\n"));
            }
        });
        EmbeddedChannel empty = new EmbeddedChannel(new SipDecoder());
        assertThrows(DecoderException.class, () -> empty.writeInbound(bytesOf("\r\n".repeat(9_000))));
        channel.finishAndReleaseAll();
        empty.finishAndReleaseAll();
    }

    @Test
    void encodedMessageDecodesToSameMessage() {
        byte[] body = {0, 13, 10, -1, 13, 10, 13, 10, 7};
        SipMessage sent = SipMessage.request(SipMessage.INVITE, "sip:1@net", "00000000000000ff", 3, body)
                .addHeader("X-Timer-Ms", "1500")
                .addHeader("Content-Length", "77");
        EmbeddedChannel channel = new EmbeddedChannel(new SipDecoder());
        channel.writeInbound(SipEncoder.encode(UnpooledByteBufAllocator.DEFAULT, sent));
        SipMessage read = channel.readInbound();
        assertNotNull(read);
        assertEquals("1500", read.headers().get("X-Timer-Ms"));
        assertEquals(3, read.cseqNumber());
        assertArrayEquals(body, read.body());
        assertFalse(channel.finish());
    }

    @Test
    void invalidCseqHasNoSequenceNumber() {
        SipMessage response = SipMessage.response(200, "OK", "1", "x INVITE");
        assertEquals(-1, response.cseqNumber());
        assertEquals("INVITE", response.cseqMethod());
        assertEquals("", SipMessage.response(200, "OK", "1", null).cseqMethod());
    }
}
