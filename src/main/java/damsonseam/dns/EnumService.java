package damsonseam.dns;

import damsonseam.core.CallRecord;
import damsonseam.core.FinalAnswer;
import damsonseam.core.NumberPlan;
import damsonseam.core.Router;
import org.xbill.DNS.DClass;
import org.xbill.DNS.ExtendedErrorCodeOption;
import org.xbill.DNS.Header;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Opcode;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/**
 * The ENUM server that callers query. A NAPTR query for a number under the suffix is a call (RFC 6116), and its
 * response carries the final answer of the call. A retransmitted query belongs to the call of the first one.
 *
 * <p>Sockets pass their messages to {@link #handleQuery}, which never blocks. Not thread-safe: it runs on the thread of
 * the router. Calls in progress are bounded by the transaction table. Times are in milliseconds.
 */
public final class EnumService {

    /** Sends the response of one query to its caller. */
    @FunctionalInterface
    public interface ResponseSender {
        /** Sends a response. */
        void send(byte[] response);
    }

    /** Counters of queries that did not become a call. */
    public static final class Counters {
        /** Messages that were not a valid query. */
        public long malformed;
        /** Queries of a class, suffix, opcode or EDNS version that is not served. */
        public long notServed;
        /** Retransmitted queries. */
        public long duplicates;
        /** Queries rejected by admission control. */
        public long rejected;
        /** Queries refused because the transaction table was full. */
        public long tableFull;
    }

    /** Decides whether a query becomes a call. */
    @FunctionalInterface
    public interface AdmissionControl {
        /** Admits every call. */
        AdmissionControl ADMIT_ALL = (now, callClass, source) -> -1;

        /**
         * Decides about one call.
         *
         * @return a negative value to admit the call, else the advised wait before a redial, in milliseconds
         */
        long decide(double now, int callClass, Object source);
    }

    /** Error text for a query that admission control rejected. */
    public static final String FRONT_BUSY = "front busy";

    private final Name suffix;
    private final FastPathQuery.WireSuffix wireSuffix;
    private final NumberPlan plan;
    private final Router router;
    private final TransactionTable transactions;
    private final double returnDelayMs;
    private final Counters counters = new Counters();

    /**
     * Creates a service.
     *
     * @param suffix the suffix of all numbers
     * @param transactions the table of recent queries, used by this service alone
     * @param returnDelayMs network delay of a response, deducted from the patience of each caller
     */
    public EnumService(
            Name suffix, NumberPlan plan, Router router, TransactionTable transactions, double returnDelayMs) {
        this.returnDelayMs = returnDelayMs;
        this.suffix = suffix;
        wireSuffix = new FastPathQuery.WireSuffix(suffix);
        this.plan = plan;
        this.router = router;
        this.transactions = transactions;
    }

    /**
     * Handles a message from a caller.
     *
     * @param source address and port, or the connection; distinguishes callers that use the same message ID
     * @param tcp whether the response may be as long as TCP allows
     * @param ageMs upper bound of the time for which the message waited unread
     * @param message the whole message
     * @param admission decides about a new call; not consulted for a retransmitted query
     * @param sender receives the response
     * @return the call that this query created, or null
     */
    public CallRecord handleQuery(
            double now,
            Object source,
            boolean tcp,
            double ageMs,
            byte[] message,
            AdmissionControl admission,
            ResponseSender sender) {
        FastPathQuery fastPath = FastPathQuery.parse(message, wireSuffix);
        if (fastPath != null) {
            NumberPlan.Entry entry = plan.find(fastPath.number());
            if (entry != null) {
                return startCall(
                        now,
                        new CallQuery(
                                source,
                                fastPath,
                                null,
                                fastPath.number(),
                                tcp ? Message.MAXLENGTH : fastPath.maxResponseBytes()),
                        fastPath.callOption(),
                        entry,
                        ageMs,
                        admission,
                        sender);
            }
        }
        if (DnsCodec.isResponse(message)) {
            counters.malformed++;
            return null;
        }
        Message query;
        try {
            query = DnsCodec.decode(message);
        } catch (DnsFormatException e) {
            counters.malformed++;
            if (message.length >= DnsCodec.HEADER_BYTES) {
                sender.send(EnumResponses.formatError(DnsCodec.messageId(message)));
            }
            return null;
        }
        int maxBytes = maxResponseBytes(query, tcp);
        byte[] error = errorIfNotServed(query, maxBytes);
        if (error != null) {
            counters.notServed++;
            sender.send(error);
            return null;
        }
        Record question = query.getQuestion();
        String number = E164Name.toNumber(question.getName(), suffix);
        NumberPlan.Entry entry = number == null ? null : plan.find(number);
        if (entry == null || question.getType() != Type.NAPTR) {
            boolean exists = question.getName().equals(suffix) || entry != null;
            sender.send(EnumResponses.negative(query, exists ? Rcode.NOERROR : Rcode.NXDOMAIN, suffix, maxBytes));
            return null;
        }
        return startCall(
                now,
                new CallQuery(source, null, query, number, maxBytes),
                EdnsCallOption.from(query.getOPT()),
                entry,
                ageMs,
                admission,
                sender);
    }

    /**
     * Handles a fast-path query that admission control has already admitted.
     *
     * @param source as in the other overload; part of the key of a retransmitted query
     * @param ageMs upper bound of the time for which the query waited
     * @return the call that this query created, or null
     */
    public CallRecord handleQuery(
            double now,
            Object source,
            double ageMs,
            FastPathQuery query,
            NumberPlan.Entry entry,
            ResponseSender sender) {
        return startCall(
                now,
                new CallQuery(source, query, null, query.number(), query.maxResponseBytes()),
                query.callOption(),
                entry,
                ageMs,
                AdmissionControl.ADMIT_ALL,
                sender);
    }

    /** A query for a number, parsed either by the fast path or by dnsjava; the other of the two is null. */
    private record CallQuery(Object source, FastPathQuery fastPath, Message decoded, String number, int maxBytes) {
        TransactionTable.Key key() {
            return new TransactionTable.Key(
                    source,
                    fastPath != null ? fastPath.id() : decoded.getHeader().getID(),
                    number);
        }

        Message message() {
            try {
                return decoded != null ? decoded : DnsCodec.decode(fastPath.bytes());
            } catch (DnsFormatException e) {
                throw new IllegalStateException("fast path accepted a malformed message", e);
            }
        }

        byte[] encodeResponse(long call, FinalAnswer answer, Name suffix) {
            byte[] response = fastPath == null ? null : FastPathResponse.encode(fastPath, call, answer, maxBytes);
            return response != null ? response : EnumResponses.finalAnswer(message(), call, answer, suffix, maxBytes);
        }
    }

    private CallRecord startCall(
            double now,
            CallQuery query,
            EdnsCallOption option,
            NumberPlan.Entry entry,
            double ageMs,
            AdmissionControl admission,
            ResponseSender sender) {
        TransactionTable.Key key = query.key();
        TransactionTable.Entry known = transactions.find(key, now);
        if (known != null) {
            counters.duplicates++;
            if (known.response() != null) {
                sender.send(known.response());
            }
            return null;
        }
        if (!transactions.open(key, now)) {
            counters.tableFull++;
            sender.send(EnumResponses.error(
                    query.message(), Rcode.REFUSED, EnumResponses.EDE_REFUSED, "no room", query.maxBytes()));
            return null;
        }
        long waitMs = admission.decide(now, entry.callClass(), query.source());
        if (waitMs >= 0) {
            counters.rejected++;
            byte[] response =
                    query.encodeResponse(0, new FinalAnswer(FinalAnswer.Kind.REFUSED, "", waitMs, FRONT_BUSY), suffix);
            transactions.complete(key, response, now);
            sender.send(response);
            return null;
        }
        double timeLeftMs = option.timeMs() > 0 ? Math.min(option.timeMs(), entry.patience()) : entry.patience();
        return router.callReceived(
                now,
                query.number(),
                entry.callClass(),
                timeLeftMs - returnDelayMs,
                ageMs,
                option.redialled(),
                (at, call, answer) -> {
                    byte[] response = query.encodeResponse(call.id(), answer, suffix);
                    transactions.complete(key, response, at);
                    sender.send(response);
                });
    }

    private static int maxResponseBytes(Message query, boolean tcp) {
        if (tcp) {
            return Message.MAXLENGTH;
        }
        OPTRecord opt = query.getOPT();
        return opt == null
                ? DnsCodec.MAX_UDP_BYTES_WITHOUT_EDNS
                : Math.max(
                        DnsCodec.MAX_UDP_BYTES_WITHOUT_EDNS,
                        Math.min(DnsCodec.MAX_UDP_RESPONSE_BYTES, opt.getPayloadSize()));
    }

    /** Returns the error response to a query that this service does not serve, or null if it may be a call. */
    private byte[] errorIfNotServed(Message query, int maxBytes) {
        Header header = query.getHeader();
        if (header.getOpcode() != Opcode.QUERY) {
            return EnumResponses.error(
                    query,
                    Rcode.NOTIMP,
                    ExtendedErrorCodeOption.NOT_SUPPORTED,
                    "opcode " + Opcode.string(header.getOpcode()),
                    maxBytes);
        }
        if (header.getCount(Section.QUESTION) != 1 || query.getQuestion() == null) {
            return EnumResponses.error(
                    query,
                    Rcode.FORMERR,
                    ExtendedErrorCodeOption.OTHER,
                    header.getCount(Section.QUESTION) + " questions, expected 1",
                    maxBytes);
        }
        if (query.getSection(Section.ADDITIONAL).stream()
                        .filter(r -> r.getType() == Type.OPT)
                        .count()
                > 1) {
            // RFC 6891 section 6.1.1: more than one OPT record is a format error.
            return EnumResponses.error(
                    query, Rcode.FORMERR, ExtendedErrorCodeOption.OTHER, "more than one OPT", maxBytes);
        }
        if (query.getOPT() != null && query.getOPT().getVersion() > 0) {
            return EnumResponses.badVersion(query, maxBytes);
        }
        Record question = query.getQuestion();
        if (question.getDClass() != DClass.IN) {
            return EnumResponses.error(
                    query,
                    Rcode.REFUSED,
                    ExtendedErrorCodeOption.NOT_SUPPORTED,
                    "class " + DClass.string(question.getDClass()),
                    maxBytes);
        }
        if (!question.getName().subdomain(suffix)) {
            return EnumResponses.error(
                    query, Rcode.REFUSED, ExtendedErrorCodeOption.NOT_AUTHORITATIVE, "not under " + suffix, maxBytes);
        }
        return null;
    }

    /** Returns the counters, which run since the start. */
    public Counters counters() {
        return counters;
    }
}
