package damsonseam.dns;

import damsonseam.core.FinalAnswer;
import java.nio.charset.StandardCharsets;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Type;

/** Answers to plain questions, octet for octet what {@link EnumReplies} gives for the same, written in one go. */
public final class PlainReply {
    private static final int POINTER_TO_QUESTION = 0xc00c;
    private static final int EDE = 15;
    private static final int HINTS = 5;
    private static final int MOST_STRING = 255;
    private static final byte[] RULE = {0, 100, 0, 10, 1, 'u', 7, 'E', '2', 'U', '+', 's', 'i', 'p'};

    private final byte[] out;
    private int at;

    private PlainReply(int size) {
        out = new byte[size];
    }

    /** The final answer of a call, or null where it does not fit this form and must go the long way. */
    static byte[] of(PlainQuestion query, long call, FinalAnswer answer, int limit) {
        return switch (answer.kind()) {
            case STANDS -> stands(query, Long.toHexString(call), answer.server(), limit);
            case REFUSED -> refused(query, Math.round(answer.retryAfterMs()), answer.reason(), limit);
            case FAILED -> failed(query, answer.reason(), limit);
            default -> null;
        };
    }

    private static byte[] stands(PlainQuestion query, String call, String server, int limit) {
        byte[] rule = ("!^.*$!sip:" + call + "@" + server + "!").getBytes(StandardCharsets.ISO_8859_1);
        int data = RULE.length + 1 + rule.length + 1;
        PlainReply reply = start(query, Rcode.NOERROR, 1, 12 + data + (query.edns() ? 11 : 0));
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
        if (query.edns()) {
            reply.opt(0);
        }
        return reply.out;
    }

    /** Refused, with advice how long to stay away, in milliseconds. */
    public static byte[] refused(PlainQuestion query, long wait, String why, int limit) {
        if (!query.edns()) {
            return start(query, Rcode.REFUSED, 0, 0).out;
        }
        byte[] text = (why + (wait > 0 ? "; return after " + wait + " ms" : "")).getBytes(StandardCharsets.UTF_8);
        PlainReply reply = start(query, Rcode.REFUSED, 0, 11 + 4 + HINTS + 6 + text.length);
        if (reply.out.length > limit) {
            return null;
        }
        int ms = (int) Math.min(Integer.MAX_VALUE, wait);
        reply.opt(4 + HINTS + 6 + text.length).u16(CallHints.CODE).u16(HINTS);
        reply.out[reply.at++] = 0;
        reply.u16(ms >>> 16).u16(ms & 0xffff);
        return reply.error(EnumReplies.EDE_REFUSED, text);
    }

    /** Failed: its caller's time is over, or nothing could take it. */
    public static byte[] failed(PlainQuestion query, String why, int limit) {
        if (!query.edns()) {
            return start(query, Rcode.SERVFAIL, 0, 0).out;
        }
        byte[] text = why.getBytes(StandardCharsets.UTF_8);
        PlainReply reply = start(query, Rcode.SERVFAIL, 0, 11 + 6 + text.length);
        return reply.out.length > limit ? null : reply.opt(6 + text.length).error(EnumReplies.EDE_FAILED, text);
    }

    private static PlainReply start(PlainQuestion query, int rcode, int answers, int more) {
        PlainReply reply = new PlainReply(query.questionEnd() + more);
        System.arraycopy(query.octets(), 0, reply.out, 0, query.questionEnd());
        // QR, the caller's RD, AA where this front answers for the number; what else the caller set is not kept.
        reply.out[2] = (byte) (0x80 | query.octets()[2] & 0x01 | (rcode == Rcode.REFUSED ? 0 : 0x04));
        reply.out[3] = (byte) rcode;
        reply.out[7] = (byte) answers;
        reply.out[11] = (byte) (query.edns() ? 1 : 0);
        reply.at = query.questionEnd();
        return reply;
    }

    private PlainReply opt(int length) {
        at++;
        return u16(Type.OPT).u16(DnsCodec.SAFE_UDP).u16(0).u16(0).u16(length);
    }

    private byte[] error(int code, byte[] text) {
        return u16(EDE).u16(2 + text.length).u16(code).octets(text).out;
    }

    private PlainReply u16(int value) {
        out[at++] = (byte) (value >>> 8);
        out[at++] = (byte) value;
        return this;
    }

    private PlainReply octets(byte[] what) {
        System.arraycopy(what, 0, out, at, what.length);
        at += what.length;
        return this;
    }
}
