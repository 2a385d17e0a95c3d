package damsonseam.dns;

import damsonseam.core.FinalAnswer;
import java.nio.charset.StandardCharsets;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Type;

/** Answers to plain questions, octet for octet what {@link EnumResponses} gives for the same, written in one go. */
public final class FastPathResponse {
    private static final int POINTER_TO_QUESTION = 0xc00c;
    private static final int EDE = 15;
    private static final int HINTS = 5;
    private static final int MOST_STRING = 255;
    private static final byte[] RULE = {0, 100, 0, 10, 1, 'u', 7, 'E', '2', 'U', '+', 's', 'i', 'p'};

    private final byte[] out;
    private int at;

    private FastPathResponse(int size) {
        out = new byte[size];
    }

    /** The final answer of a call, or null where it does not fit this form and must go the long way. */
    static byte[] encode(FastPathQuery query, long call, FinalAnswer answer, int limit) {
        return switch (answer.kind()) {
            case STANDS -> stands(query, Long.toHexString(call), answer.server(), limit);
            case REFUSED -> encodeRefused(query, Math.round(answer.returnAfter()), answer.why(), limit);
            case FAILED -> encodeFailed(query, answer.why(), limit);
            default -> null;
        };
    }

    private static byte[] stands(FastPathQuery query, String call, String server, int limit) {
        byte[] rule = ("!^.*$!sip:" + call + "@" + server + "!").getBytes(StandardCharsets.ISO_8859_1);
        int data = RULE.length + 1 + rule.length + 1;
        FastPathResponse reply = start(query, Rcode.NOERROR, 1, 12 + data + (query.hasEdns() ? 11 : 0));
        // A name with letters beyond ASCII or a backslash would have to be escaped: dnsjava knows how.
        if (rule.length > MOST_STRING
                || reply.out.length > limit
                || server.indexOf('\\') >= 0
                || server.chars().anyMatch(c -> c < ' ' || c > '~')) {
            return null;
        }
        reply.u16(POINTER_TO_QUESTION)
                .u16(Type.NAPTR)
                .u16(DClass.IN)
                .u16(0)
                .u16(0)
                .u16(data)
                .octets(RULE);
        reply.out[reply.at++] = (byte) rule.length;
        reply.octets(rule).at++;
        if (query.hasEdns()) {
            reply.opt(0);
        }
        return reply.out;
    }

    /** Refused, with advice how long to stay away, in milliseconds. */
    public static byte[] encodeRefused(FastPathQuery query, long wait, String why, int limit) {
        if (!query.hasEdns()) {
            return start(query, Rcode.REFUSED, 0, 0).out;
        }
        byte[] text = (why + (wait > 0 ? "; return after " + wait + " ms" : "")).getBytes(StandardCharsets.UTF_8);
        FastPathResponse reply = start(query, Rcode.REFUSED, 0, 11 + 4 + HINTS + 6 + text.length);
        if (reply.out.length > limit) {
            return null;
        }
        int ms = (int) Math.min(Integer.MAX_VALUE, wait);
        reply.opt(4 + HINTS + 6 + text.length).u16(EdnsCallOption.CODE).u16(HINTS);
        reply.out[reply.at++] = 0;
        reply.u16(ms >>> 16).u16(ms & 0xffff);
        return reply.error(EnumResponses.EDE_REFUSED, text);
    }

    /** Failed: its caller's time is over, or nothing could take it. */
    public static byte[] encodeFailed(FastPathQuery query, String why, int limit) {
        if (!query.hasEdns()) {
            return start(query, Rcode.SERVFAIL, 0, 0).out;
        }
        byte[] text = why.getBytes(StandardCharsets.UTF_8);
        FastPathResponse reply = start(query, Rcode.SERVFAIL, 0, 11 + 6 + text.length);
        return reply.out.length > limit ? null : reply.opt(6 + text.length).error(EnumResponses.EDE_FAILED, text);
    }

    private static FastPathResponse start(FastPathQuery query, int rcode, int answers, int more) {
        FastPathResponse reply = new FastPathResponse(query.questionEndOffset() + more);
        System.arraycopy(query.bytes(), 0, reply.out, 0, query.questionEndOffset());
        // QR, the caller's RD, AA where this front answers for the number; what else the caller set is not kept.
        reply.out[2] = (byte) (0x80 | query.bytes()[2] & 0x01 | (rcode == Rcode.REFUSED ? 0 : 0x04));
        reply.out[3] = (byte) rcode;
        reply.out[7] = (byte) answers;
        reply.out[11] = (byte) (query.hasEdns() ? 1 : 0);
        reply.at = query.questionEndOffset();
        return reply;
    }

    private FastPathResponse opt(int length) {
        at++;
        return u16(Type.OPT).u16(DnsCodec.MAX_UDP_RESPONSE_BYTES).u16(0).u16(0).u16(length);
    }

    private byte[] error(int code, byte[] text) {
        return u16(EDE).u16(2 + text.length).u16(code).octets(text).out;
    }

    private FastPathResponse u16(int value) {
        out[at++] = (byte) (value >>> 8);
        out[at++] = (byte) value;
        return this;
    }

    private FastPathResponse octets(byte[] what) {
        System.arraycopy(what, 0, out, at, what.length);
        at += what.length;
        return this;
    }
}
