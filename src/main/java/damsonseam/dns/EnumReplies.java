package damsonseam.dns;

import damsonseam.core.FinalAnswer;
import java.util.ArrayList;
import java.util.List;
import org.xbill.DNS.DClass;
import org.xbill.DNS.EDNSOption;
import org.xbill.DNS.ExtendedErrorCodeOption;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Header;
import org.xbill.DNS.Message;
import org.xbill.DNS.NAPTRRecord;
import org.xbill.DNS.Name;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Opcode;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.Section;

/**
 * The answers of the ENUM service. A call that stands is a NAPTR of TTL 0 that leads to the calculator and the
 * call; one that is refused or failed is told by rcode and by an Extended DNS Error of private use (RFC 8914
 * 5.2: 49152 and above), so that neither is taken for a fault of the name server.
 */
public final class EnumReplies {
    /** Refused: the caller may come back after the advised time. */
    public static final int EDE_REFUSED = 49200;
    /** Given up: no calculator could take the call in time. */
    public static final int EDE_FAILED = 49201;
    /** Longest NAPTR lifetime: none, as each answer is one call. */
    private static final int NO_TTL = 0;
    /** How long resolvers may keep that a number or type does not exist, in seconds. */
    private static final int NEGATIVE_TTL = 1;

    private EnumReplies() {}

    /** The final answer of a call as octets, cut to {@code limit} with TC set where it is longer. */
    public static byte[] of(Message query, long call, FinalAnswer answer, Name suffix, int limit) {
        Name asked = query.getQuestion().getName();
        return switch (answer.kind()) {
            case STANDS -> {
                Message reply = start(query, Rcode.NOERROR);
                String uri = "!^.*$!sip:" + Long.toHexString(call) + "@" + answer.server() + "!";
                reply.addRecord(
                        new NAPTRRecord(asked, DClass.IN, NO_TTL, 100, 10, "u", "E2U+sip", uri, Name.root),
                        Section.ANSWER);
                yield finish(query, reply, limit);
            }
            case REFUSED -> {
                long wait = Math.round(answer.retryAfterMs());
                yield finish(
                        query,
                        start(query, Rcode.REFUSED),
                        limit,
                        new CallHints(false, wait).option(),
                        new ExtendedErrorCodeOption(
                                EDE_REFUSED, answer.reason() + (wait > 0 ? "; return after " + wait + " ms" : "")));
            }
            case UNKNOWN_NUMBER -> negative(query, Rcode.NXDOMAIN, suffix, limit);
            default ->
                finish(
                        query,
                        start(query, Rcode.SERVFAIL),
                        limit,
                        new ExtendedErrorCodeOption(EDE_FAILED, answer.reason()));
        };
    }

    /** That a name, or a type at a name, does not exist. */
    static byte[] negative(Message query, int rcode, Name suffix, int limit) {
        Message reply = start(query, rcode);
        reply.addRecord(
                new SOARecord(suffix, DClass.IN, NEGATIVE_TTL, suffix, suffix, 1, 3600, 600, 86_400, NEGATIVE_TTL),
                Section.AUTHORITY);
        return finish(query, reply, limit);
    }

    /** A question that is not taken, told by rcode and extended error. */
    static byte[] error(Message query, int rcode, int extended, String why, int limit) {
        return finish(query, start(query, rcode), limit, new ExtendedErrorCodeOption(extended, why));
    }

    /** FORMERR for octets of which only the id could be read (RFC 1035 4.1.1). */
    static byte[] formatError(int id) {
        Message reply = new Message(id);
        reply.getHeader().setFlag(Flags.QR);
        reply.getHeader().setRcode(Rcode.FORMERR);
        return reply.toWire();
    }

    /** REFUSED for octets that there was no time to read: only the header, with their id. */
    public static byte[] refused(byte[] octets) {
        Message reply = new Message(DnsCodec.id(octets));
        reply.getHeader().setFlag(Flags.QR);
        reply.getHeader().setOpcode(octets[2] >> 3 & 0xf);
        reply.getHeader().setRcode(Rcode.REFUSED);
        return reply.toWire();
    }

    /** An answer that repeats the question as it was asked, the case of its letters included. */
    private static Message start(Message query, int rcode) {
        Header asked = query.getHeader();
        Message reply = new Message(asked.getID());
        Header header = reply.getHeader();
        header.setFlag(Flags.QR);
        header.setOpcode(asked.getOpcode());
        if (asked.getFlag(Flags.RD)) {
            header.setFlag(Flags.RD);
        }
        if (asked.getOpcode() == Opcode.QUERY && rcode != Rcode.REFUSED) {
            header.setFlag(Flags.AA);
        }
        header.setRcode(rcode & 0xf);
        Record question = query.getQuestion();
        if (question != null) {
            reply.addRecord(question, Section.QUESTION);
        }
        return reply;
    }

    private static byte[] finish(Message query, Message reply, int limit, EDNSOption... options) {
        OPTRecord asked = query.getOPT();
        if (asked != null) {
            reply.addRecord(new OPTRecord(DnsCodec.SAFE_UDP, 0, 0, 0, List.of(options)), Section.ADDITIONAL);
        }
        return reply.toWire(limit);
    }

    /** BADVERS: an EDNS version that is not spoken here (RFC 6891 6.1.3). */
    static byte[] badVersion(Message query, int limit) {
        Message reply = start(query, Rcode.NOERROR);
        reply.addRecord(
                new OPTRecord(DnsCodec.SAFE_UDP, Rcode.BADVERS >> 4, 0, 0, new ArrayList<>()), Section.ADDITIONAL);
        return reply.toWire(limit);
    }
}
