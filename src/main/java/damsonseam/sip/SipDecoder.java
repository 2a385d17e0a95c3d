package damsonseam.sip;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Splits the byte stream of one TCP connection into SIP messages. The start line, each header and Content-Length are
 * validated as soon as they arrive and before any of the body is kept. A message has at most
 * {@link #MAX_MESSAGE_BYTES} bytes, so a connection never buffers more than that and one read.
 *
 * <p>Builds on Netty's {@link ByteToMessageDecoder} rather than on {@code HttpObjectDecoder}, the base of Netty's RTSP
 * codec: that one accepts chunked and close-delimited bodies, which SIP does not have, skips control characters before
 * the start line without a limit of its own, and needs a second handler for aggregation; it would save only the loop
 * over header lines below. A full SIP stack would bring its own transactions and timers beside the core's.
 */
public final class SipDecoder extends ByteToMessageDecoder {
    /** Octets of one message at most. */
    public static final int MAX_MESSAGE_BYTES = 16 * 1024;

    private static final String VERSION = "SIP/2.0";
    private static final int LONGEST_TOKEN = 64;

    private SipMessage head;
    private int bodyLength;
    private int headLength;
    private int scanned;
    private boolean broken;

    /** A decoder for one connection. */
    public SipDecoder() {
        setCumulator(MERGE_CUMULATOR);
    }

    /** Whether part of a message has been read. */
    public boolean isMidMessage() {
        return head != null || actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (broken) {
            in.skipBytes(in.readableBytes());
            return;
        }
        try {
            while (step(in, out)) {
                // One part of a message each time.
            }
        } catch (SipFormatException e) {
            broken = true;
            in.skipBytes(in.readableBytes());
            throw e;
        }
    }

    /** Reads the next line or body if it is there whole. */
    private boolean step(ByteBuf in, List<Object> out) {
        if (scanned < 0) {
            return body(in, out);
        }
        int end = in.indexOf(in.readerIndex() + scanned, in.writerIndex(), (byte) '\n');
        if (end < 0) {
            scanned = in.readableBytes();
            check(headLength + scanned < MAX_MESSAGE_BYTES, "a line or head without an end");
            return false;
        }
        int length = end - in.readerIndex();
        headLength += length + 1;
        check(headLength <= MAX_MESSAGE_BYTES, "a head of more than " + MAX_MESSAGE_BYTES + " octets");
        check(length > 0 && in.getByte(end - 1) == '\r', "a line that does not end in CR LF");
        String line = in.toString(in.readerIndex(), length - 1, StandardCharsets.UTF_8);
        in.skipBytes(length + 1);
        scanned = 0;
        line(line);
        return true;
    }

    private void line(String line) {
        if (head == null) {
            // RFC 3261 7.5: empty lines before the first are passed over; they count toward the limit.
            if (!line.isEmpty()) {
                head = firstLine(line);
            }
        } else if (line.isEmpty()) {
            endOfHead();
        } else {
            header(line);
        }
    }

    private static SipMessage firstLine(String line) {
        int first = line.indexOf(' ');
        int second = line.indexOf(' ', first + 1);
        check(first > 0 && second > first, "a first line of less than three parts");
        if (line.startsWith(VERSION)) {
            String code = line.substring(first + 1, second);
            check(
                    first == VERSION.length()
                            && code.length() == 3
                            && code.chars().allMatch(SipDecoder::digit)
                            && code.charAt(0) >= '1'
                            && code.charAt(0) <= '6',
                    "an answer without a status");
            return new SipMessage(
                    "", "", Integer.parseInt(code), line.substring(second + 1), new SipHeaders(), new byte[0]);
        }
        String method = line.substring(0, first);
        check(token(method) && line.substring(second + 1).equals(VERSION), "a first line that is none of SIP 2.0");
        return new SipMessage(method, line.substring(first + 1, second), 0, "", new SipHeaders(), new byte[0]);
    }

    private void header(String line) {
        SipHeaders headers = head.headers();
        if (line.charAt(0) == ' ' || line.charAt(0) == '\t') {
            check(headers.size() > 0, "a continued line that continues nothing");
            headers.fold(line.strip());
            return;
        }
        int colon = line.indexOf(':');
        check(colon > 0, "a header without a colon");
        String name = line.substring(0, colon).stripTrailing();
        check(token(name), "a header without a name");
        check(headers.size() < SipHeaders.MAX_HEADERS, "more than " + SipHeaders.MAX_HEADERS + " headers");
        String value = line.substring(colon + 1).strip();
        if (SipHeaders.longForm(name).equalsIgnoreCase(SipHeaders.CONTENT_LENGTH)) {
            contentLength(value);
        }
        headers.add(SipHeaders.longForm(name), value);
    }

    /** Checked as it is read, and again with the whole head: a length that can't be is not waited for. */
    private static int contentLength(String value) {
        check(
                !value.isEmpty() && value.length() <= 9 && value.chars().allMatch(SipDecoder::digit),
                "a Content-Length that is no length");
        int length = Integer.parseInt(value);
        check(length <= MAX_MESSAGE_BYTES, "a body of more than " + MAX_MESSAGE_BYTES + " octets");
        return length;
    }

    private void endOfHead() {
        SipHeaders headers = head.headers();
        String length = headers.get(SipHeaders.CONTENT_LENGTH);
        check(length != null, "no Content-Length");
        check(
                !headers.repeats(SipHeaders.CONTENT_LENGTH)
                        && !headers.repeats(SipHeaders.CALL_ID)
                        && !headers.repeats(SipHeaders.CSEQ),
                "a header twice that stands once");
        bodyLength = contentLength(length);
        check(headLength + bodyLength <= MAX_MESSAGE_BYTES, "a message of more than " + MAX_MESSAGE_BYTES + " octets");
        scanned = -1;
    }

    private boolean body(ByteBuf in, List<Object> out) {
        if (in.readableBytes() < bodyLength) {
            return false;
        }
        byte[] body = ByteBufUtil.getBytes(in, in.readerIndex(), bodyLength);
        in.skipBytes(bodyLength);
        out.add(new SipMessage(
                head.method(), head.requestUri(), head.status(), head.reasonPhrase(), head.headers(), body));
        head = null;
        headLength = 0;
        scanned = 0;
        return true;
    }

    private static boolean digit(int c) {
        return c >= '0' && c <= '9';
    }

    /** A token of RFC 3261 25.1. */
    private static boolean token(String text) {
        if (text.isEmpty() || text.length() > LONGEST_TOKEN) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (!(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || digit(c) || "-.!%*_+`'~".indexOf(c) >= 0)) {
                return false;
            }
        }
        return true;
    }

    private static void check(boolean holds, String found) {
        if (!holds) {
            throw new SipFormatException("found " + found);
        }
    }
}
