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
 * Builds the responses of the ENUM service with dnsjava. An established call is a NAPTR record of TTL 0 that names the
 * calculator and the call. A refused or failed call is an rcode with an Extended DNS Error for private use (RFC 8914
 * section 5.2: 49152 and above), so that neither is taken for a fault of the name server.
 */
public final class EnumResponses {
    /** EDE code of a refused call: the caller may redial after the advised wait. */
    public static final int EDE_REFUSED = 49200;
    /** EDE code of a failed call: no calculator could take it in time. */
    public static final int EDE_FAILED = 49201;
    /** TTL of the NAPTR record: it must not be cached, as each response belongs to one call. */
    private static final int NAPTR_TTL_S = 0;
    /** How long resolvers may cache that a name or type does not exist. */
    private static final int NEGATIVE_TTL_S = 1;

    private EnumResponses() {}

    /** Encodes the final answer of a call; a response longer than {@code maxBytes} is truncated with TC set. */
    public static byte[] finalAnswer(Message query, long call, FinalAnswer answer, Name suffix, int maxBytes) {
        Name queryName = query.getQuestion().getName();
        return switch (answer.kind()) {
            case STANDS -> {
                Message response = startResponse(query, Rcode.NOERROR);
                String regexp = "!^.*$!sip:" + Long.toHexString(call) + "@" + answer.serverId() + "!";
                response.addRecord(
                        new NAPTRRecord(queryName, DClass.IN, NAPTR_TTL_S, 100, 10, "u", "E2U+sip", regexp, Name.root),
                        Section.ANSWER);
                yield encode(query, response, maxBytes);
            }
            case REFUSED -> {
                long waitMs = Math.round(answer.retryAfterMs());
                yield encode(
                        query,
                        startResponse(query, Rcode.REFUSED),
                        maxBytes,
                        new EdnsCallOption(false, waitMs).toOption(),
                        new ExtendedErrorCodeOption(
                                EDE_REFUSED, answer.reason() + (waitMs > 0 ? "; return after " + waitMs + " ms" : "")));
            }
            case UNKNOWN_NUMBER -> negative(query, Rcode.NXDOMAIN, suffix, maxBytes);
            default ->
                encode(
                        query,
                        startResponse(query, Rcode.SERVFAIL),
                        maxBytes,
                        new ExtendedErrorCodeOption(EDE_FAILED, answer.reason()));
        };
    }

    /** Encodes a negative response: the name, or the type at that name, does not exist. */
    static byte[] negative(Message query, int rcode, Name suffix, int maxBytes) {
        Message response = startResponse(query, rcode);
        response.addRecord(
                new SOARecord(suffix, DClass.IN, NEGATIVE_TTL_S, suffix, suffix, 1, 3600, 600, 86_400, NEGATIVE_TTL_S),
                Section.AUTHORITY);
        return encode(query, response, maxBytes);
    }

    /** Encodes an error response with an extended error code and text. */
    static byte[] error(Message query, int rcode, int extendedCode, String reason, int maxBytes) {
        return encode(query, startResponse(query, rcode), maxBytes, new ExtendedErrorCodeOption(extendedCode, reason));
    }

    /** Encodes FORMERR for a message of which only the ID could be read (RFC 1035 section 4.1.1). */
    static byte[] formatError(int id) {
        Message response = new Message(id);
        response.getHeader().setFlag(Flags.QR);
        response.getHeader().setRcode(Rcode.FORMERR);
        return response.toWire();
    }

    /** Encodes REFUSED for a query that is not decoded for lack of time: a header only, with the query's ID. */
    public static byte[] headerOnlyRefusal(byte[] query) {
        Message response = new Message(DnsCodec.messageId(query));
        response.getHeader().setFlag(Flags.QR);
        response.getHeader().setOpcode(query[2] >> 3 & 0xf);
        response.getHeader().setRcode(Rcode.REFUSED);
        return response.toWire();
    }

    /** Starts a response that repeats the question of the query, including the case of its letters. */
    private static Message startResponse(Message query, int rcode) {
        Header queryHeader = query.getHeader();
        Message response = new Message(queryHeader.getID());
        Header header = response.getHeader();
        header.setFlag(Flags.QR);
        header.setOpcode(queryHeader.getOpcode());
        if (queryHeader.getFlag(Flags.RD)) {
            header.setFlag(Flags.RD);
        }
        if (queryHeader.getOpcode() == Opcode.QUERY && rcode != Rcode.REFUSED) {
            header.setFlag(Flags.AA);
        }
        header.setRcode(rcode & 0xf);
        Record question = query.getQuestion();
        if (question != null) {
            response.addRecord(question, Section.QUESTION);
        }
        return response;
    }

    private static byte[] encode(Message query, Message response, int maxBytes, EDNSOption... options) {
        OPTRecord queryOpt = query.getOPT();
        if (queryOpt != null) {
            response.addRecord(
                    new OPTRecord(DnsCodec.MAX_UDP_RESPONSE_BYTES, 0, 0, 0, List.of(options)), Section.ADDITIONAL);
        }
        return response.toWire(maxBytes);
    }

    /** Encodes BADVERS for an unsupported EDNS version (RFC 6891 section 6.1.3). */
    static byte[] badVersion(Message query, int maxBytes) {
        Message response = startResponse(query, Rcode.NOERROR);
        response.addRecord(
                new OPTRecord(DnsCodec.MAX_UDP_RESPONSE_BYTES, Rcode.BADVERS >> 4, 0, 0, new ArrayList<>()),
                Section.ADDITIONAL);
        return response.toWire(maxBytes);
    }
}
