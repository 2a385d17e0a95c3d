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
 * Looks numbers up at the authoritative name servers of the ENUM zone. Calls for one number share one lookup. Each
 * query has a random message ID, a random socket and a name whose letters are in random case (RFC 5452); a response
 * that does not match all of them is ignored, and after several such responses the lookup moves to TCP. A timeout or
 * a lame response moves it to the next authority. If no response arrives within a short time, a stale result from
 * the cache is used (RFC 8767 section 5).
 *
 * <p>Not thread-safe. Times are in milliseconds; the caller supplies the clock, and {@link Output} the sockets. The
 * count of lookups in progress and of queries per lookup is bounded by {@link Limits}.
 */
public final class Resolver implements RouterPorts.NumberLookup {
    /** Mismatched responses after which a lookup moves to TCP, as an attacker may be guessing message IDs. */
    private static final int MAX_MISMATCHES = 4;

    private static final int EDNS_UDP_PAYLOAD_BYTES = DnsCodec.MAX_UDP_RESPONSE_BYTES;

    /** Sends queries and receives the results of lookups. */
    public interface Output {
        /** Sends a query over UDP from the socket with this index. */
        void sendUdp(int authority, int socket, byte[] query);

        /** Sends a query over TCP; {@link #onResponse} gets {@link #TCP_SOCKET} as the socket of its response. */
        void sendTcp(int authority, byte[] query);

        /** Reports the result of a lookup to the call that requested it. */
        void onLookupComplete(double now, long callId, LookupResult result);
    }

    /** Socket index of responses that arrive over TCP. */
    public static final int TCP_SOCKET = -1;

    /**
     * The limits of a resolver.
     *
     * @param udpSockets count of UDP sockets, of which each query uses a random one
     * @param maxQueries maximum count of queries per lookup
     * @param maxPendingLookups maximum count of lookups in progress; a further one fails at once
     * @param staleAfterMs time without a response after which a stale result is used if there is one, in milliseconds
     */
    public record Limits(int udpSockets, int maxQueries, int maxPendingLookups, double staleAfterMs) {}

    /** Counters for reports. */
    public static final class Counters {
        /** Calls answered from the cache with a fresh result. */
        public long cacheHits;
        /** Calls answered with a stale result. */
        public long staleResults;
        /** Calls that joined a lookup in progress. */
        public long coalesced;
        /** Queries sent, over UDP and TCP. */
        public long queriesSent;
        /** Responses that matched no query: late, forged or from another sender. */
        public long mismatchedResponses;
        /** Responses of authorities that do not serve the zone. */
        public long lameResponses;
        /** Queries sent over TCP. */
        public long tcpQueries;
        /** Calls whose lookup failed without a stale result. */
        public long failedLookups;
    }

    private record Query(int id, int authority, int socket, Name name, double sentAt) {}

    private record WaitingCall(long callId, double deadline) {}

    /** One lookup: its outstanding queries and the calls that wait for its result. */
    private static final class Lookup {
        final String number;
        final List<WaitingCall> waitingCalls = new ArrayList<>(1);
        final List<Query> queries = new ArrayList<>(2);
        final int[] queriesByAuthority;
        int queriesSent;
        int mismatches;
        double deadline;
        TimerWheel.Timer queryTimer;
        TimerWheel.Timer staleTimer;
        LookupResult staleResult;

        Lookup(String number, int authorities) {
            this.number = number;
            queriesByAuthority = new int[authorities];
        }
    }

    private final Name suffix;
    private final LookupCache cache;
    private final AuthoritySelector authorities;
    private final TimerWheel timers;
    private final SplittableRandom random;
    private final Limits limits;
    private final Output output;
    private final Map<String, Lookup> lookups = new HashMap<>();
    /** Lookups by the message ID of each outstanding query; a list, as random IDs may coincide. */
    private final Map<Integer, List<Lookup>> lookupsByMessageId = new HashMap<>();
    /** Results known without a query, at most one per call of the current event-loop iteration. */
    private final ArrayDeque<Runnable> knownResults = new ArrayDeque<>();

    private final Counters counters = new Counters();
    private double now;

    /** Creates a resolver for one zone. */
    public Resolver(
            Name suffix,
            LookupCache cache,
            AuthoritySelector authorities,
            TimerWheel timers,
            long seed,
            Limits limits,
            Output output) {
        this.suffix = suffix;
        this.cache = cache;
        this.authorities = authorities;
        this.timers = timers;
        this.limits = limits;
        this.output = output;
        random = new SplittableRandom(seed);
    }

    /** Advances the clock; must be called before the other events of the same time. */
    public void advanceClock(double at) {
        now = Math.max(now, at);
    }

    // ---- Queries ----------------------------------------------------------------------------------------

    @Override
    public void lookUp(long callId, String number, double deadline) {
        LookupCache.CachedResult cached = cache.find(number, now);
        if (cached != null && cached.isFresh()) {
            counters.cacheHits++;
            reportLater(callId, cached.result());
            return;
        }
        LookupResult stale = cached == null ? null : cached.result();
        if (cached != null && cached.failedRecently()) {
            counters.staleResults += stale == null ? 0 : 1;
            counters.failedLookups += stale == null ? 1 : 0;
            reportLater(callId, stale == null ? LookupResult.UNAVAILABLE : stale);
            return;
        }
        Lookup lookup = lookups.get(number);
        if (lookup != null) {
            counters.coalesced++;
            addWaitingCall(lookup, callId, deadline);
            return;
        }
        if (lookups.size() >= limits.maxPendingLookups()) {
            counters.failedLookups++;
            reportLater(callId, stale == null ? LookupResult.UNAVAILABLE : stale);
            return;
        }
        lookup = new Lookup(number, authorities.count());
        lookup.staleResult = stale;
        lookups.put(number, lookup);
        addWaitingCall(lookup, callId, deadline);
        if (stale != null) {
            Lookup pending = lookup;
            lookup.staleTimer = timers.schedule(now + limits.staleAfterMs(), at -> {
                advanceClock(at);
                reportStale(pending);
            });
        }
        sendNextQuery(lookup);
    }

    private void addWaitingCall(Lookup lookup, long callId, double deadline) {
        lookup.waitingCalls.add(new WaitingCall(callId, deadline));
        lookup.deadline = Math.max(lookup.deadline, deadline);
    }

    /** Queues a known result: it must not be reported within the call of {@code lookUp}, but in the same iteration. */
    private void reportLater(long callId, LookupResult result) {
        knownResults.add(() -> output.onLookupComplete(now, callId, result));
    }

    /** Reports the results known without a query; called once per event-loop iteration, before the core acts. */
    public void deliverKnownResults(double at) {
        advanceClock(at);
        for (Runnable report = knownResults.poll(); report != null; report = knownResults.poll()) {
            report.run();
        }
    }

    private void sendNextQuery(Lookup lookup) {
        if (lookup.queriesSent >= limits.maxQueries() || now >= lookup.deadline) {
            fail(lookup);
            return;
        }
        int authority = authorities.select(lookup.queriesByAuthority, now);
        sendQuery(lookup, authority, lookup.mismatches >= MAX_MISMATCHES);
    }

    private void sendQuery(Lookup lookup, int authority, boolean tcp) {
        lookup.queriesSent++;
        lookup.queriesByAuthority[authority]++;
        int id = random.nextInt(1 << 16);
        int socket = tcp ? TCP_SOCKET : random.nextInt(limits.udpSockets());
        Name name = randomizeCase(E164Name.toName(lookup.number, suffix));
        Query query = new Query(id, authority, socket, name, now);
        lookup.queries.add(query);
        lookupsByMessageId.computeIfAbsent(id, i -> new ArrayList<>(1)).add(lookup);
        counters.queriesSent++;
        byte[] encoded = encodeQuery(id, name);
        timers.cancel(lookup.queryTimer);
        double timeoutAt = now + authorities.timeoutMs(authority);
        lookup.queryTimer = timers.schedule(Math.min(timeoutAt, lookup.deadline), at -> {
            advanceClock(at);
            if (now >= timeoutAt) {
                authorities.recordTimeout(authority);
            }
            sendNextQuery(lookup);
        });
        if (tcp) {
            counters.tcpQueries++;
            output.sendTcp(authority, encoded);
        } else {
            output.sendUdp(authority, socket, encoded);
        }
    }

    private static byte[] encodeQuery(int id, Name name) {
        Message message = new Message(id);
        message.addRecord(Record.newRecord(name, Type.NAPTR, DClass.IN), Section.QUESTION);
        message.addRecord(new OPTRecord(EDNS_UDP_PAYLOAD_BYTES, 0, 0), Section.ADDITIONAL);
        return message.toWire();
    }

    private Name randomizeCase(Name name) {
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

    // ---- Responses --------------------------------------------------------------------------------------

    /** Handles a message from an authority that arrived at a UDP socket or over TCP. */
    public void onResponse(double at, int authority, int socket, byte[] bytes) {
        advanceClock(at);
        Message message;
        try {
            message = DnsCodec.decode(bytes);
        } catch (DnsFormatException e) {
            recordMismatch(DnsCodec.messageId(bytes));
            return;
        }
        int id = message.getHeader().getID();
        for (Lookup lookup : List.copyOf(lookupsByMessageId.getOrDefault(id, List.of()))) {
            for (Query query : lookup.queries) {
                if (query.id() == id && matches(query, authority, socket, message)) {
                    handleMatched(lookup, query, message);
                    return;
                }
            }
        }
        recordMismatch(id);
    }

    private static boolean matches(Query query, int authority, int socket, Message message) {
        Record question = message.getQuestion();
        return query.authority() == authority
                && query.socket() == socket
                && question != null
                && message.getHeader().getFlag(Flags.QR)
                && question.getType() == Type.NAPTR
                && question.getDClass() == DClass.IN
                && question.getName().toString().equals(query.name().toString());
    }

    /** Counts a mismatched response against the lookups with its message ID, as a defence against guessed responses. */
    private void recordMismatch(int id) {
        counters.mismatchedResponses++;
        for (Lookup lookup : List.copyOf(lookupsByMessageId.getOrDefault(id, List.of()))) {
            if (++lookup.mismatches == MAX_MISMATCHES) {
                sendNextQuery(lookup);
            }
        }
    }

    private void handleMatched(Lookup lookup, Query query, Message message) {
        authorities.recordResponse(query.authority(), now - query.sentAt());
        if (message.getHeader().getFlag(Flags.TC) && query.socket() != TCP_SOCKET) {
            sendQuery(lookup, query.authority(), true);
            return;
        }
        int rcode = message.getRcode();
        if (rcode == Rcode.NXDOMAIN) {
            succeed(lookup, LookupResult.NOT_FOUND, negativeTtlS(message));
        } else if (rcode != Rcode.NOERROR || !message.getHeader().getFlag(Flags.AA)) {
            counters.lameResponses++;
            authorities.recordLame(query.authority(), now);
            sendNextQuery(lookup);
        } else {
            List<NAPTRRecord> rules = new ArrayList<>();
            long ttlS = Long.MAX_VALUE;
            for (Record record : message.getSection(Section.ANSWER)) {
                if (record instanceof NAPTRRecord rule && rule.getName().equals(query.name())) {
                    rules.add(rule);
                    ttlS = Math.min(ttlS, rule.getTTL());
                }
            }
            List<String> servers = NaptrRules.serverHosts(lookup.number, rules);
            boolean noServers = servers.isEmpty();
            succeed(
                    lookup,
                    noServers ? LookupResult.NOT_FOUND : LookupResult.found(servers),
                    rules.isEmpty() ? negativeTtlS(message) : ttlS);
        }
    }

    /** Returns the lesser of the SOA record's TTL and MINIMUM (RFC 2308 section 5), or 0 without an SOA record. */
    private static long negativeTtlS(Message message) {
        for (Record record : message.getSection(Section.AUTHORITY)) {
            if (record instanceof SOARecord soa) {
                return Math.min(soa.getTTL(), soa.getMinimum());
            }
        }
        return 0;
    }

    private void succeed(Lookup lookup, LookupResult result, long ttlS) {
        cache.put(lookup.number, result, ttlS, now);
        remove(lookup);
        lookup.waitingCalls.forEach(w -> output.onLookupComplete(now, w.callId(), result));
    }

    private void fail(Lookup lookup) {
        cache.recordFailure(lookup.number, now);
        remove(lookup);
        boolean hasStaleResult = lookup.staleResult != null;
        counters.staleResults += hasStaleResult ? lookup.waitingCalls.size() : 0;
        counters.failedLookups += hasStaleResult ? 0 : lookup.waitingCalls.size();
        lookup.waitingCalls.forEach(w -> output.onLookupComplete(
                now, w.callId(), hasStaleResult ? lookup.staleResult : LookupResult.UNAVAILABLE));
    }

    /** Reports the stale result to the waiting calls; the lookup continues for the sake of later ones. */
    private void reportStale(Lookup lookup) {
        counters.staleResults += lookup.waitingCalls.size();
        List<WaitingCall> waitingCalls = List.copyOf(lookup.waitingCalls);
        lookup.waitingCalls.clear();
        waitingCalls.forEach(w -> output.onLookupComplete(now, w.callId(), lookup.staleResult));
    }

    private void remove(Lookup lookup) {
        timers.cancel(lookup.queryTimer);
        timers.cancel(lookup.staleTimer);
        lookups.remove(lookup.number);
        for (Query query : lookup.queries) {
            List<Lookup> lookupsWithId = lookupsByMessageId.get(query.id());
            if (lookupsWithId != null) {
                lookupsWithId.remove(lookup);
                if (lookupsWithId.isEmpty()) {
                    lookupsByMessageId.remove(query.id());
                }
            }
        }
    }

    /** Returns the count of lookups in progress. */
    public int pendingLookups() {
        return lookups.size();
    }

    /** Returns the counters, which run since the start. */
    public Counters counters() {
        return counters;
    }

    /** Returns the cache of results. */
    public LookupCache cache() {
        return cache;
    }
}
