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
 * The side of the front that callers ask: a NAPTR question for a number under the suffix is a call (RFC 6116),
 * and its answer is the call's final answer. A question sent again is the same call. Sockets hand their octets
 * to {@link #question}; nothing here waits.
 */
public final class EnumService {

    /** Where an answer goes. */
    @FunctionalInterface
    public interface ReplyTo {
        /** Sends one answer. */
        void send(byte[] answer);
    }

    /** Counts of what was asked, for reports. */
    public static final class Counts {
        /** Octets that were no question. */
        public long malformed;
        /** Questions of a class, type, suffix or opcode that is not served. */
        public long notServed;
        /** Questions that had been asked before. */
        public long repeated;
        /** Questions turned away by the gate of streams. */
        public long turnedAway;
        /** Questions for which there was no room. */
        public long noRoom;
    }

    /** What a question may be turned away for before it becomes a call. */
    @FunctionalInterface
    public interface Gate {
        /** Takes every call. */
        Gate OPEN = (now, callClass, source) -> -1;

        /** Negative to take a call of this class from there, else how long its caller is asked to stay away. */
        long decide(double now, int callClass, Object source);
    }

    /** Why a question was turned away before it became a call. */
    public static final String BUSY = "front busy";

    private final Name suffix;
    private final PlainQuestion.Suffix plainSuffix;
    private final NumberPlan plan;
    private final Router router;
    private final Transactions transactions;
    private final double wayBack;
    private final Counts counts = new Counts();

    /** A service under a suffix; the transactions are its own; {@code wayBack} is taken off each caller's time. */
    public EnumService(Name suffix, NumberPlan plan, Router router, Transactions transactions, double wayBack) {
        this.wayBack = wayBack;
        this.suffix = suffix;
        plainSuffix = new PlainQuestion.Suffix(suffix);
        this.plan = plan;
        this.router = router;
        this.transactions = transactions;
    }

    /**
     * Octets came from a caller.
     *
     * @param source address and port, or the connection: what tells two callers with one id apart
     * @param stream whether answers may be long (TCP)
     * @param age how long the octets may have waited unread, in milliseconds
     * @param gate what may turn a call away; not asked for questions sent again
     * @return the call that this question opened, or null
     */
    public CallRecord question(
            double now, Object source, boolean stream, double age, byte[] octets, Gate gate, ReplyTo reply) {
        PlainQuestion plain = PlainQuestion.read(octets, plainSuffix);
        if (plain != null) {
            NumberPlan.Entry entry = plan.find(plain.number());
            if (entry != null) {
                return call(
                        now,
                        new Asked(source, plain, null, plain.number(), stream ? Message.MAXLENGTH : plain.limit()),
                        plain.hints(),
                        entry,
                        age,
                        gate,
                        reply);
            }
        }
        if (DnsCodec.isAnswer(octets)) {
            counts.malformed++;
            return null;
        }
        Message query;
        try {
            query = DnsCodec.decode(octets);
        } catch (DnsFormatException e) {
            counts.malformed++;
            if (octets.length >= DnsCodec.HEADER) {
                reply.send(EnumReplies.formatError(DnsCodec.id(octets)));
            }
            return null;
        }
        int limit = limit(query, stream);
        byte[] refusal = notServed(query, limit);
        if (refusal != null) {
            counts.notServed++;
            reply.send(refusal);
            return null;
        }
        Record asked = query.getQuestion();
        String number = E164Name.number(asked.getName(), suffix);
        NumberPlan.Entry entry = number == null ? null : plan.find(number);
        if (entry == null || asked.getType() != Type.NAPTR) {
            boolean exists = asked.getName().equals(suffix) || entry != null;
            reply.send(EnumReplies.negative(query, exists ? Rcode.NOERROR : Rcode.NXDOMAIN, suffix, limit));
            return null;
        }
        return call(
                now,
                new Asked(source, null, query, number, limit),
                CallHints.of(query.getOPT()),
                entry,
                age,
                gate,
                reply);
    }

    /**
     * A plain question that a gate has passed already.
     *
     * @param source as the key of questions sent again
     * @param age how long it may have waited, in milliseconds
     */
    public CallRecord question(
            double now, Object source, double age, PlainQuestion plain, NumberPlan.Entry entry, ReplyTo reply) {
        return call(
                now,
                new Asked(source, plain, null, plain.number(), plain.limit()),
                plain.hints(),
                entry,
                age,
                Gate.OPEN,
                reply);
    }

    /** A question for a number, read the short way or the long one. */
    private record Asked(Object source, PlainQuestion plain, Message query, String number, int limit) {
        Transactions.Key key() {
            return new Transactions.Key(
                    source, plain != null ? plain.id() : query.getHeader().getID(), number);
        }

        Message message() {
            try {
                return query != null ? query : DnsCodec.decode(plain.octets());
            } catch (DnsFormatException e) {
                throw new IllegalStateException("a plain question that is no message", e);
            }
        }

        byte[] answer(long call, FinalAnswer answer, Name suffix) {
            byte[] octets = plain == null ? null : PlainReply.of(plain, call, answer, limit);
            return octets != null ? octets : EnumReplies.of(message(), call, answer, suffix, limit);
        }
    }

    private CallRecord call(
            double now, Asked asked, CallHints hints, NumberPlan.Entry entry, double age, Gate gate, ReplyTo reply) {
        Transactions.Key key = asked.key();
        Transactions.Entry known = transactions.find(key, now);
        if (known != null) {
            counts.repeated++;
            if (known.answer() != null) {
                reply.send(known.answer());
            }
            return null;
        }
        if (!transactions.open(key, now)) {
            counts.noRoom++;
            reply.send(EnumReplies.error(
                    asked.message(), Rcode.REFUSED, EnumReplies.EDE_REFUSED, "no room", asked.limit()));
            return null;
        }
        long advice = gate.decide(now, entry.callClass(), asked.source());
        if (advice >= 0) {
            counts.turnedAway++;
            byte[] octets = asked.answer(0, new FinalAnswer(FinalAnswer.Kind.REFUSED, "", advice, BUSY), suffix);
            transactions.answer(key, octets, now);
            reply.send(octets);
            return null;
        }
        double timeLeft = hints.time() > 0 ? Math.min(hints.time(), entry.patience()) : entry.patience();
        return router.callReceived(
                now,
                asked.number(),
                entry.callClass(),
                timeLeft - wayBack,
                age,
                hints.redialled(),
                (at, call, answer) -> {
                    byte[] octets = asked.answer(call.id(), answer, suffix);
                    transactions.answer(key, octets, at);
                    reply.send(octets);
                });
    }

    private static int limit(Message query, boolean stream) {
        if (stream) {
            return Message.MAXLENGTH;
        }
        OPTRecord opt = query.getOPT();
        return opt == null
                ? DnsCodec.PLAIN_UDP
                : Math.max(DnsCodec.PLAIN_UDP, Math.min(DnsCodec.SAFE_UDP, opt.getPayloadSize()));
    }

    /** The answer to a question that is no call for this front, or null if it may be one. */
    private byte[] notServed(Message query, int limit) {
        Header header = query.getHeader();
        if (header.getOpcode() != Opcode.QUERY) {
            return EnumReplies.error(
                    query,
                    Rcode.NOTIMP,
                    ExtendedErrorCodeOption.NOT_SUPPORTED,
                    "opcode " + Opcode.string(header.getOpcode()),
                    limit);
        }
        if (header.getCount(Section.QUESTION) != 1 || query.getQuestion() == null) {
            return EnumReplies.error(
                    query,
                    Rcode.FORMERR,
                    ExtendedErrorCodeOption.OTHER,
                    header.getCount(Section.QUESTION) + " questions, expected 1",
                    limit);
        }
        if (query.getSection(Section.ADDITIONAL).stream()
                        .filter(r -> r.getType() == Type.OPT)
                        .count()
                > 1) {
            // RFC 6891 6.1.1: more than one OPT is a format error.
            return EnumReplies.error(query, Rcode.FORMERR, ExtendedErrorCodeOption.OTHER, "more than one OPT", limit);
        }
        if (query.getOPT() != null && query.getOPT().getVersion() > 0) {
            return EnumReplies.badVersion(query, limit);
        }
        Record asked = query.getQuestion();
        if (asked.getDClass() != DClass.IN) {
            return EnumReplies.error(
                    query,
                    Rcode.REFUSED,
                    ExtendedErrorCodeOption.NOT_SUPPORTED,
                    "class " + DClass.string(asked.getDClass()),
                    limit);
        }
        if (!asked.getName().subdomain(suffix)) {
            return EnumReplies.error(
                    query, Rcode.REFUSED, ExtendedErrorCodeOption.NOT_AUTHORITATIVE, "not under " + suffix, limit);
        }
        return null;
    }

    /** Counts since the start. */
    public Counts counts() {
        return counts;
    }
}
