package damsonseam.dns;

import damsonseam.core.FinalAnswer;
import java.nio.charset.StandardCharsets;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Type;

/**
 * Encodes responses to fast-path queries directly, without dnsjava's message objects. The bytes are the same as
 * those of {@link EnumResponses} for the same query and answer.
 */
public final class FastPathResponse {
    private static final int QUESTION_NAME_POINTER = 0xc00c;
    private static final int EDE_OPTION_CODE = 15;
    private static final int CALL_OPTION_DATA_BYTES = 5;
    private static final int MAX_CHARACTER_STRING_BYTES = 255;
    /** NAPTR data before the regular expression: order 100, preference 10, flags "u", service "E2U+sip". */
    private static final byte[] NAPTR_PREFIX = {0, 100, 0, 10, 1, 'u', 7, 'E', '2', 'U', '+', 's', 'i', 'p'};

    private final byte[] out;
    private int position;

    private FastPathResponse(int size) {
        out = new byte[size];
    }

    /** Encodes the final answer of a call; returns null if only {@link EnumResponses} can encode it. */
    static byte[] encode(FastPathQuery query, long call, FinalAnswer answer, int maxBytes) {
        return switch (answer.kind()) {
            case STANDS -> encodeEstablished(query, Long.toHexString(call), answer.serverId(), maxBytes);
            case REFUSED -> encodeRefused(query, Math.round(answer.retryAfterMs()), answer.reason(), maxBytes);
            case FAILED -> encodeFailed(query, answer.reason(), maxBytes);
            default -> null;
        };
    }

    private static byte[] encodeEstablished(FastPathQuery query, String call, String server, int maxBytes) {
        byte[] regexp = ("!^.*$!sip:" + call + "@" + server + "!").getBytes(StandardCharsets.ISO_8859_1);
        int dataBytes = NAPTR_PREFIX.length + 1 + regexp.length + 1;
        FastPathResponse response = startResponse(query, Rcode.NOERROR, 1, 12 + dataBytes + (query.hasEdns() ? 11 : 0));
        // Non-ASCII characters and backslashes have to be escaped, which is left to dnsjava.
        if (regexp.length > MAX_CHARACTER_STRING_BYTES
                || response.out.length > maxBytes
                || server.indexOf('\\') >= 0
                || server.chars().anyMatch(c -> c < ' ' || c > '~')) {
            return null;
        }
        response.writeU16(QUESTION_NAME_POINTER)
                .writeU16(Type.NAPTR)
                .writeU16(DClass.IN)
                .writeU16(0)
                .writeU16(0)
                .writeU16(dataBytes)
                .write(NAPTR_PREFIX);
        response.out[response.position++] = (byte) regexp.length;
        response.write(regexp).position++;
        if (query.hasEdns()) {
            response.writeOpt(0);
        }
        return response.out;
    }

    /**
     * Encodes a refusal; returns null if it is longer than {@code maxBytes}.
     *
     * @param waitMs advised wait before a redial, 0 for none
     */
    public static byte[] encodeRefused(FastPathQuery query, long waitMs, String reason, int maxBytes) {
        if (!query.hasEdns()) {
            return startResponse(query, Rcode.REFUSED, 0, 0).out;
        }
        byte[] text =
                (reason + (waitMs > 0 ? "; return after " + waitMs + " ms" : "")).getBytes(StandardCharsets.UTF_8);
        FastPathResponse response =
                startResponse(query, Rcode.REFUSED, 0, 11 + 4 + CALL_OPTION_DATA_BYTES + 6 + text.length);
        if (response.out.length > maxBytes) {
            return null;
        }
        int cappedWaitMs = (int) Math.min(Integer.MAX_VALUE, waitMs);
        response.writeOpt(4 + CALL_OPTION_DATA_BYTES + 6 + text.length)
                .writeU16(EdnsCallOption.CODE)
                .writeU16(CALL_OPTION_DATA_BYTES);
        response.out[response.position++] = 0;
        response.writeU16(cappedWaitMs >>> 16).writeU16(cappedWaitMs & 0xffff);
        return response.writeError(EnumResponses.EDE_REFUSED, text);
    }

    /** Encodes a failure: the caller's time is over, or no calculator could take the call; null if it is too long. */
    public static byte[] encodeFailed(FastPathQuery query, String reason, int maxBytes) {
        if (!query.hasEdns()) {
            return startResponse(query, Rcode.SERVFAIL, 0, 0).out;
        }
        byte[] text = reason.getBytes(StandardCharsets.UTF_8);
        FastPathResponse response = startResponse(query, Rcode.SERVFAIL, 0, 11 + 6 + text.length);
        return response.out.length > maxBytes
                ? null
                : response.writeOpt(6 + text.length).writeError(EnumResponses.EDE_FAILED, text);
    }

    private static FastPathResponse startResponse(
            FastPathQuery query, int rcode, int answerCount, int bytesAfterQuestion) {
        FastPathResponse response = new FastPathResponse(query.questionEndOffset() + bytesAfterQuestion);
        System.arraycopy(query.bytes(), 0, response.out, 0, query.questionEndOffset());
        // QR, the caller's RD, and AA unless refused; other flags of the query are not copied.
        response.out[2] = (byte) (0x80 | query.bytes()[2] & 0x01 | (rcode == Rcode.REFUSED ? 0 : 0x04));
        response.out[3] = (byte) rcode;
        response.out[7] = (byte) answerCount;
        response.out[11] = (byte) (query.hasEdns() ? 1 : 0);
        response.position = query.questionEndOffset();
        return response;
    }

    private FastPathResponse writeOpt(int optionsBytes) {
        position++;
        return writeU16(Type.OPT)
                .writeU16(DnsCodec.MAX_UDP_RESPONSE_BYTES)
                .writeU16(0)
                .writeU16(0)
                .writeU16(optionsBytes);
    }

    private byte[] writeError(int code, byte[] text) {
        return writeU16(EDE_OPTION_CODE)
                .writeU16(2 + text.length)
                .writeU16(code)
                .write(text)
                .out;
    }

    private FastPathResponse writeU16(int value) {
        out[position++] = (byte) (value >>> 8);
        out[position++] = (byte) value;
        return this;
    }

    private FastPathResponse write(byte[] value) {
        System.arraycopy(value, 0, out, position, value.length);
        position += value.length;
        return this;
    }
}
