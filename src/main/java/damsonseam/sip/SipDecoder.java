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
    /** Size limit of a message. */
    public static final int MAX_MESSAGE_BYTES = 16 * 1024;

    private static final String SIP_VERSION = "SIP/2.0";
    private static final int MAX_TOKEN_LENGTH = 64;
    /** Heap used for the objects of one parsed header, beside its characters. */
    private static final int HEADER_OBJECT_BYTES = 120;

    private SipMessage head;
    private int bodyBytes;
    private int headBytes;
    private int scannedBytes;
    private boolean failed;
    private long receivedBytes;

    /** Creates a decoder for one connection. */
    public SipDecoder() {
        setCumulator(MERGE_CUMULATOR);
    }

    /** Returns the memory held for the unfinished message, in bytes: its buffer, and the headers already parsed. */
    public int bufferedBytes() {
        return internalBuffer().capacity()
                + (head == null
                        ? 0
                        : 2 * headBytes + HEADER_OBJECT_BYTES * head.headers().size());
    }

    /** Returns whether part of an unfinished message has been received. */
    public boolean isMidMessage() {
        return head != null || actualReadableBytes() > 0;
    }

    /** Returns the number of bytes received on the connection so far. */
    public long receivedBytes() {
        return receivedBytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (message instanceof ByteBuf bytes) {
            receivedBytes += bytes.readableBytes();
        }
        super.channelRead(ctx, message);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (failed) {
            in.skipBytes(in.readableBytes());
            return;
        }
        try {
            while (decodeNext(in, out)) {
                // Each call consumes one line or one body.
            }
        } catch (SipFormatException e) {
            failed = true;
            in.skipBytes(in.readableBytes());
            throw e;
        }
    }

    /** Consumes the next line or body if it has arrived whole; returns whether it has. */
    private boolean decodeNext(ByteBuf in, List<Object> out) {
        if (scannedBytes < 0) {
            return decodeBody(in, out);
        }
        int end = in.indexOf(in.readerIndex() + scannedBytes, in.writerIndex(), (byte) '\n');
        if (end < 0) {
            scannedBytes = in.readableBytes();
            check(headBytes + scannedBytes < MAX_MESSAGE_BYTES, "head without an end");
            return false;
        }
        int length = end - in.readerIndex();
        headBytes += length + 1;
        check(headBytes <= MAX_MESSAGE_BYTES, "head of more than " + MAX_MESSAGE_BYTES + " bytes");
        check(length > 0 && in.getByte(end - 1) == '\r', "line that does not end with CRLF");
        String line = in.toString(in.readerIndex(), length - 1, StandardCharsets.UTF_8);
        in.skipBytes(length + 1);
        scannedBytes = 0;
        handleLine(line);
        return true;
    }

    private void handleLine(String line) {
        if (head == null) {
            // RFC 3261 7.5: empty lines before the start line are ignored; they count toward the size limit.
            if (!line.isEmpty()) {
                head = parseStartLine(line);
            }
        } else if (line.isEmpty()) {
            finishHead();
        } else {
            parseHeader(line);
        }
    }

    private static SipMessage parseStartLine(String line) {
        int firstSpace = line.indexOf(' ');
        int secondSpace = line.indexOf(' ', firstSpace + 1);
        check(firstSpace > 0 && secondSpace > firstSpace, "start line of fewer than three parts");
        if (line.startsWith(SIP_VERSION)) {
            String status = line.substring(firstSpace + 1, secondSpace);
            check(
                    firstSpace == SIP_VERSION.length()
                            && status.length() == 3
                            && status.chars().allMatch(SipDecoder::isDigit)
                            && status.charAt(0) >= '1'
                            && status.charAt(0) <= '6',
                    "response without a valid status code");
            return new SipMessage(
                    "", "", Integer.parseInt(status), line.substring(secondSpace + 1), new SipHeaders(), new byte[0]);
        }
        String method = line.substring(0, firstSpace);
        check(isToken(method) && line.substring(secondSpace + 1).equals(SIP_VERSION), "start line that is not SIP/2.0");
        return new SipMessage(
                method, line.substring(firstSpace + 1, secondSpace), 0, "", new SipHeaders(), new byte[0]);
    }

    private void parseHeader(String line) {
        SipHeaders headers = head.headers();
        if (line.charAt(0) == ' ' || line.charAt(0) == '\t') {
            check(headers.size() > 0, "continuation line without a header");
            headers.fold(line.strip());
            return;
        }
        int colon = line.indexOf(':');
        check(colon > 0, "header without a colon");
        String name = line.substring(0, colon).stripTrailing();
        check(isToken(name), "invalid header name");
        check(headers.size() < SipHeaders.MAX_HEADERS, "more than " + SipHeaders.MAX_HEADERS + " headers");
        String value = line.substring(colon + 1).strip();
        if (SipHeaders.toLongForm(name).equalsIgnoreCase(SipHeaders.CONTENT_LENGTH)) {
            parseContentLength(value);
        }
        headers.add(SipHeaders.toLongForm(name), value);
    }

    /** Parses Content-Length, both when its line arrives and with the whole head, to reject an invalid one early. */
    private static int parseContentLength(String value) {
        check(
                !value.isEmpty() && value.length() <= 9 && value.chars().allMatch(SipDecoder::isDigit),
                "Content-Length that is not a number");
        int length = Integer.parseInt(value);
        check(length <= MAX_MESSAGE_BYTES, "body of more than " + MAX_MESSAGE_BYTES + " bytes");
        return length;
    }

    private void finishHead() {
        SipHeaders headers = head.headers();
        String length = headers.get(SipHeaders.CONTENT_LENGTH);
        check(length != null, "no Content-Length");
        check(
                !headers.isRepeated(SipHeaders.CONTENT_LENGTH)
                        && !headers.isRepeated(SipHeaders.CALL_ID)
                        && !headers.isRepeated(SipHeaders.CSEQ),
                "duplicate Content-Length, Call-ID or CSeq");
        bodyBytes = parseContentLength(length);
        check(headBytes + bodyBytes <= MAX_MESSAGE_BYTES, "message of more than " + MAX_MESSAGE_BYTES + " bytes");
        scannedBytes = -1;
    }

    private boolean decodeBody(ByteBuf in, List<Object> out) {
        if (in.readableBytes() < bodyBytes) {
            return false;
        }
        byte[] body = ByteBufUtil.getBytes(in, in.readerIndex(), bodyBytes);
        in.skipBytes(bodyBytes);
        out.add(new SipMessage(
                head.method(), head.requestUri(), head.status(), head.reasonPhrase(), head.headers(), body));
        head = null;
        headBytes = 0;
        scannedBytes = 0;
        return true;
    }

    private static boolean isDigit(int c) {
        return c >= '0' && c <= '9';
    }

    /** Returns whether a text is a token (RFC 3261 25.1) of reasonable length. */
    private static boolean isToken(String text) {
        if (text.isEmpty() || text.length() > MAX_TOKEN_LENGTH) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (!(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || isDigit(c) || "-.!%*_+`'~".indexOf(c) >= 0)) {
                return false;
            }
        }
        return true;
    }

    private static void check(boolean valid, String problem) {
        if (!valid) {
            throw new SipFormatException("malformed SIP message: " + problem);
        }
    }
}
