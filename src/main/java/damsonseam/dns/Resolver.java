package damsonseam.dns;

import damsonseam.core.LookupResult;
import damsonseam.core.RouterPorts;
import damsonseam.core.TimerWheel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.NAPTRRecord;
import org.xbill.DNS.Name;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.TextParseException;
import org.xbill.DNS.Type;

/**
 * Looks numbers up at the authorities of the ENUM zone. Calls for one number share one look-up. Each question
 * goes out with a random id from a random socket and with the case of its letters drawn at random (RFC 5452);
 * answers that do not fit all of it are passed over, and where many come the question moves to TCP. Silence
 * moves it to the next authority, as do answers of a lame one. While authorities are silent, an old answer is
 * given after a short time (RFC 8767 5). Time is passed in, sockets are behind {@link Output}.
 */
public final class Resolver implements RouterPorts.NumberLookup {
    /** Answers with the wrong id or question after which a question is asked over TCP: somebody is guessing. */
    private static final int MOST_MISMATCHES = 4;

    private static final int EDNS_SIZE = DnsCodec.SAFE_UDP;

    /** Where questions go. */
    public interface Output {
        /** Sends a question from the socket with this number. */
        void udp(int authority, int socket, byte[] question);

        /** Asks over a stream; the answer comes to {@link #answer} with {@link #STREAM} as its socket. */
        void tcp(int authority, byte[] question);

        /** The look-up of a call is done. */
        void lookedUp(double now, long call, LookupResult candidates);
    }

    /** Stands for a stream where answers name the socket that they came to. */
    public static final int STREAM = -1;

    /**
     * Limits of the resolver.
     *
     * @param sockets UDP sockets to draw from
     * @param tries questions sent for one look-up at most
     * @param mostLookups look-ups out at one time at most; one more has failed at once
     * @param staleAfter after how long an old answer is given where there is one, in milliseconds
     */
    public record Limits(int sockets, int tries, int mostLookups, double staleAfter) {}

    /** Counts for reports. */
    public static final class Counts {
        /** Look-ups answered from the cache. */
        public long cached;
        /** Look-ups answered with an old answer. */
        public long stale;
        /** Look-ups that joined one that was out. */
        public long joined;
        /** Questions sent. */
        public long sent;
        /** Answers that fitted no question: late, forged or from elsewhere. */
        public long mismatched;
        /** Answers of authorities that do not serve the zone. */
        public long lame;
        /** Questions asked over TCP. */
        public long streams;
        /** Look-ups that failed. */
        public long failed;
    }

    private record Asked(int id, int authority, int socket, Name name, double at) {}

    private record Waiting(long call, double deadline) {}

    /** One look-up: the questions out for it and the calls that wait. */
    private static final class Lookup {
        final String number;
        final List<Waiting> waiting = new ArrayList<>(1);
        final List<Asked> asked = new ArrayList<>(2);
        final int[] askedOf;
        int tries;
        int mismatches;
        double deadline;
        TimerWheel.Timer timer;
        TimerWheel.Timer staleTimer;
        LookupResult stale;

        Lookup(String number, int authorities) {
            this.number = number;
            askedOf = new int[authorities];
        }
    }

    private final Name suffix;
    private final LookupCache cache;
    private final Authorities authorities;
    private final TimerWheel timers;
    private final SplittableRandom random;
    private final Limits limits;
    private final Output out;
    private final Map<String, Lookup> lookups = new HashMap<>();
    /** Look-ups by the id of each question out: ids may be shared, so each has a short list. */
    private final Map<Integer, List<Lookup>> byId = new HashMap<>();
    /** Answers known without asking; no more than the calls of one turn. */
    private final ArrayDeque<Runnable> known = new ArrayDeque<>();

    private final Counts counts = new Counts();
    private double now;

    /** A resolver for one zone. */
    public Resolver(
            Name suffix,
            LookupCache cache,
            Authorities authorities,
            TimerWheel timers,
            long seed,
            Limits limits,
            Output out) {
        this.suffix = suffix;
        this.cache = cache;
        this.authorities = authorities;
        this.timers = timers;
        this.limits = limits;
        this.out = out;
        random = new SplittableRandom(seed);
    }

    /** Moves the clock; call it before anything else of a moment. */
    public void clock(double at) {
        now = Math.max(now, at);
    }

    // ---- Asking -----------------------------------------------------------------------------------------

    @Override
    public void lookUp(long call, String number, double deadline) {
        LookupCache.Known kept = cache.find(number, now);
        if (kept != null && kept.fresh()) {
            counts.cached++;
            tell(call, kept.candidates());
            return;
        }
        LookupResult stale = kept == null ? null : kept.candidates();
        if (kept != null && kept.justFailed()) {
            counts.stale += stale == null ? 0 : 1;
            counts.failed += stale == null ? 1 : 0;
            tell(call, stale == null ? LookupResult.UNAVAILABLE : stale);
            return;
        }
        Lookup lookup = lookups.get(number);
        if (lookup != null) {
            counts.joined++;
            join(lookup, call, deadline);
            return;
        }
        if (lookups.size() >= limits.mostLookups()) {
            counts.failed++;
            tell(call, stale == null ? LookupResult.UNAVAILABLE : stale);
            return;
        }
        lookup = new Lookup(number, authorities.count());
        lookup.stale = stale;
        lookups.put(number, lookup);
        join(lookup, call, deadline);
        if (stale != null) {
            Lookup late = lookup;
            lookup.staleTimer = timers.schedule(now + limits.staleAfter(), at -> {
                clock(at);
                giveStale(late);
            });
        }
        ask(lookup);
    }

    private void join(Lookup lookup, long call, double deadline) {
        lookup.waiting.add(new Waiting(call, deadline));
        lookup.deadline = Math.max(lookup.deadline, deadline);
    }

    /** The answer must not come from within the caller's own event, but in the same turn. */
    private void tell(long call, LookupResult candidates) {
        known.add(() -> out.lookedUp(now, call, candidates));
    }

    /** Tells what was known without asking; call it once a turn, before the core acts. */
    public void deliver(double at) {
        clock(at);
        for (Runnable answer = known.poll(); answer != null; answer = known.poll()) {
            answer.run();
        }
    }

    private void ask(Lookup lookup) {
        if (lookup.tries >= limits.tries() || now >= lookup.deadline) {
            fail(lookup);
            return;
        }
        int authority = authorities.choose(lookup.askedOf, now);
        send(lookup, authority, lookup.mismatches >= MOST_MISMATCHES);
    }

    private void send(Lookup lookup, int authority, boolean stream) {
        lookup.tries++;
        lookup.askedOf[authority]++;
        int id = random.nextInt(1 << 16);
        int socket = stream ? STREAM : random.nextInt(limits.sockets());
        Name name = mixedCase(E164Name.of(lookup.number, suffix));
        Asked asked = new Asked(id, authority, socket, name, now);
        lookup.asked.add(asked);
        byId.computeIfAbsent(id, i -> new ArrayList<>(1)).add(lookup);
        counts.sent++;
        byte[] question = question(id, name);
        timers.cancel(lookup.timer);
        double until = now + authorities.patience(authority);
        lookup.timer = timers.schedule(Math.min(until, lookup.deadline), at -> {
            clock(at);
            if (now >= until) {
                authorities.silent(authority);
            }
            ask(lookup);
        });
        if (stream) {
            counts.streams++;
            out.tcp(authority, question);
        } else {
            out.udp(authority, socket, question);
        }
    }

    private static byte[] question(int id, Name name) {
        Message message = new Message(id);
        message.addRecord(Record.newRecord(name, Type.NAPTR, DClass.IN), Section.QUESTION);
        message.addRecord(new OPTRecord(EDNS_SIZE, 0, 0), Section.ADDITIONAL);
        return message.toWire();
    }

    private Name mixedCase(Name name) {
        StringBuilder mixed = new StringBuilder(name.toString());
        for (int i = 0; i < mixed.length(); i++) {
            char c = mixed.charAt(i);
            if (c >= 'a' && c <= 'z' && random.nextBoolean()) {
                mixed.setCharAt(i, (char) (c - 'a' + 'A'));
            }
        }
        try {
            return Name.fromString(mixed.toString());
        } catch (TextParseException e) {
            return name;
        }
    }

    // ---- Answers ----------------------------------------------------------------------------------------

    /** Octets came from an authority to a socket, or over a stream. */
    public void answer(double at, int authority, int socket, byte[] octets) {
        clock(at);
        Message message;
        try {
            message = DnsCodec.decode(octets);
        } catch (DnsFormatException e) {
            mismatch(DnsCodec.id(octets));
            return;
        }
        int id = message.getHeader().getID();
        for (Lookup lookup : List.copyOf(byId.getOrDefault(id, List.of()))) {
            for (Asked asked : lookup.asked) {
                if (asked.id() == id && fits(asked, authority, socket, message)) {
                    answered(lookup, asked, message);
                    return;
                }
            }
        }
        mismatch(id);
    }

    private static boolean fits(Asked asked, int authority, int socket, Message message) {
        Record question = message.getQuestion();
        return asked.authority() == authority
                && asked.socket() == socket
                && question != null
                && message.getHeader().getFlag(Flags.QR)
                && question.getType() == Type.NAPTR
                && question.getDClass() == DClass.IN
                && question.getName().toString().equals(asked.name().toString());
    }

    /** Guards against guessed answers: those that hit an id but miss the rest count against its question. */
    private void mismatch(int id) {
        counts.mismatched++;
        for (Lookup lookup : List.copyOf(byId.getOrDefault(id, List.of()))) {
            if (++lookup.mismatches == MOST_MISMATCHES) {
                ask(lookup);
            }
        }
    }

    private void answered(Lookup lookup, Asked asked, Message message) {
        authorities.answered(asked.authority(), now - asked.at());
        if (message.getHeader().getFlag(Flags.TC) && asked.socket() != STREAM) {
            send(lookup, asked.authority(), true);
            return;
        }
        int rcode = message.getRcode();
        if (rcode == Rcode.NXDOMAIN) {
            found(lookup, LookupResult.NOT_FOUND, negativeTtl(message));
        } else if (rcode != Rcode.NOERROR || !message.getHeader().getFlag(Flags.AA)) {
            counts.lame++;
            authorities.lame(asked.authority(), now);
            ask(lookup);
        } else {
            List<NAPTRRecord> rules = new ArrayList<>();
            long ttl = Long.MAX_VALUE;
            for (Record record : message.getSection(Section.ANSWER)) {
                if (record instanceof NAPTRRecord rule && rule.getName().equals(asked.name())) {
                    rules.add(rule);
                    ttl = Math.min(ttl, rule.getTTL());
                }
            }
            List<String> servers = NaptrRules.servers(lookup.number, rules);
            boolean none = servers.isEmpty();
            found(
                    lookup,
                    none ? LookupResult.NOT_FOUND : LookupResult.found(servers),
                    rules.isEmpty() ? negativeTtl(message) : ttl);
        }
    }

    /** The lesser of the SOA's own lifetime and its minimum (RFC 2308 5); without an SOA nothing is kept. */
    private static long negativeTtl(Message message) {
        for (Record record : message.getSection(Section.AUTHORITY)) {
            if (record instanceof SOARecord soa) {
                return Math.min(soa.getTTL(), soa.getMinimum());
            }
        }
        return 0;
    }

    private void found(Lookup lookup, LookupResult candidates, long ttl) {
        cache.put(lookup.number, candidates, ttl, now);
        close(lookup);
        lookup.waiting.forEach(w -> out.lookedUp(now, w.call(), candidates));
    }

    private void fail(Lookup lookup) {
        cache.failed(lookup.number, now);
        close(lookup);
        boolean old = lookup.stale != null;
        counts.stale += old ? lookup.waiting.size() : 0;
        counts.failed += old ? 0 : lookup.waiting.size();
        lookup.waiting.forEach(w -> out.lookedUp(now, w.call(), old ? lookup.stale : LookupResult.UNAVAILABLE));
    }

    /** The calls that wait get the old answer; the look-up goes on for those to come. */
    private void giveStale(Lookup lookup) {
        counts.stale += lookup.waiting.size();
        List<Waiting> waiting = List.copyOf(lookup.waiting);
        lookup.waiting.clear();
        waiting.forEach(w -> out.lookedUp(now, w.call(), lookup.stale));
    }

    private void close(Lookup lookup) {
        timers.cancel(lookup.timer);
        timers.cancel(lookup.staleTimer);
        lookups.remove(lookup.number);
        for (Asked asked : lookup.asked) {
            List<Lookup> sharing = byId.get(asked.id());
            if (sharing != null) {
                sharing.remove(lookup);
                if (sharing.isEmpty()) {
                    byId.remove(asked.id());
                }
            }
        }
    }

    /** Look-ups out now. */
    public int out() {
        return lookups.size();
    }

    /** Counts since the start. */
    public Counts counts() {
        return counts;
    }

    /** What the look-ups left behind. */
    public LookupCache cache() {
        return cache;
    }
}
