package damsonseam.sim;

import damsonseam.CongestionControlPolicy;
import damsonseam.RoutingPolicy.AttemptStatus;
import damsonseam.RoutingPolicy.RejectReason;
import damsonseam.RoutingPolicy.ServerLoadReport;
import damsonseam.RoutingPolicy.ServerState;
import damsonseam.config.Endpoint;
import damsonseam.config.FrontSettings;
import damsonseam.config.TimeSpan;
import damsonseam.core.CallRecord;
import damsonseam.core.CallTable;
import damsonseam.core.CallTracer;
import damsonseam.core.CircuitAllocator;
import damsonseam.core.LookupResult;
import damsonseam.core.Router;
import damsonseam.core.RouterPorts;
import damsonseam.core.RouterSettings;
import damsonseam.core.ServerList;
import damsonseam.core.TimerWheel;
import damsonseam.dns.AuthoritySelector;
import damsonseam.dns.DnsCodec;
import damsonseam.dns.DnsFormatException;
import damsonseam.dns.E164Name;
import damsonseam.dns.EnumResponses;
import damsonseam.dns.EnumService;
import damsonseam.dns.LookupCache;
import damsonseam.dns.Resolver;
import damsonseam.dns.TransactionTable;
import damsonseam.ss7.CalledPartyNumber;
import damsonseam.ss7.IsupMessage;
import damsonseam.ss7.IsupMessages;
import damsonseam.ss7.SignallingProtocolException;
import damsonseam.ss7.TrunkGroup;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import org.xbill.DNS.DClass;
import org.xbill.DNS.ExtendedErrorCodeOption;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.NAPTRRecord;
import org.xbill.DNS.Name;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/**
 * A whole front without sockets on a clock of its own: core, module, ENUM service, resolver and trunk groups,
 * with an authority and calculators that do as they are told. A millisecond is a turn of its loop; what comes
 * in one millisecond comes in one turn, before the beat, as on the real loop.
 */
public final class SimulatedFront implements RouterPorts.ServerSignalling, RouterPorts.Directory {
    /** The domain of the numbers. */
    public static final Name SUFFIX = E164Name.parseSuffix("e164.example.org");
    /** How long a release complete is awaited, in milliseconds. */
    public static final double RELEASE_WAIT = 100;

    /** What a calculator does with a set-up. */
    public enum Mode {
        ANSWER,
        SILENT,
        TURN_AWAY
    }

    /** A message to a calculator. */
    public record Sent(double at, String server, IsupMessage message) {}

    /** An answer to a caller. */
    public record Reply(double at, Object to, Message message, byte[] octets) {}

    private record Event(double at, long order, Runnable what) {}

    /** The settings; tests may change limits before {@link #start}. */
    public int mostCalls = 100_000;
    /** Time from a question to the authority's answer; negative: none comes. */
    public double dnsDelay = 2;
    /** Time from a set-up to its answer. */
    public double answerDelay = 10;
    /** Whether calculators' release completes are lost. */
    public boolean losesCompletes;
    /** Time from a release to its completion, there and back. */
    public double completeDelay = 1;
    /** What each calculator does; by default it answers. */
    public final Map<String, Mode> modes = new HashMap<>();
    /** All that went to calculators. */
    public final List<Sent> sent = new ArrayList<>();
    /** All that went to callers. */
    public final List<Reply> replies = new ArrayList<>();
    /** Calculators whose connection is down. */
    public final List<String> unreachable = new ArrayList<>();
    /** The clock. */
    public double now = 1_000;
    /** How often the directory was asked for the whole list. */
    public int fetches;

    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Double.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
    private final TimerWheel timers = new TimerWheel(now);
    private final Map<String, TrunkGroup> groups = new HashMap<>();
    private Router router;
    private EnumService service;
    private Resolver resolver;
    private long order;
    private long version;
    private double beatAt = now;

    /** Starts with these calculators running, with circuits to spare. */
    public SimulatedFront start(String... servers) {
        FrontSettings s = settings();
        router = new Router(
                new RouterSettings(
                        s.moduleSettings(3),
                        mostCalls,
                        FrontSettings.TICK_MS,
                        RELEASE_WAIT,
                        FrontSettings.ANSWER_SLACK_MS),
                a -> new CongestionControlPolicy(s.moduleSettings(3), a),
                new CallTable(mostCalls, 1),
                timers,
                (call, number, deadline) -> {
                    resolver.advanceClock(now);
                    resolver.lookUp(call, number, deadline);
                },
                this,
                this,
                CallTracer.NONE);
        resolver = new Resolver(
                SUFFIX,
                new LookupCache(1_000, 60_000),
                new AuthoritySelector(1),
                timers,
                5,
                new Resolver.Limits(4, 6, 50_000, 300),
                new Resolver.Output() {
                    @Override
                    public void sendUdp(int authority, int socket, byte[] question) {
                        if (dnsDelay >= 0) {
                            later(dnsDelay, () -> resolver.onResponse(now, authority, socket, found(question)));
                        }
                    }

                    @Override
                    public void sendTcp(int authority, byte[] question) {
                        later(
                                dnsDelay,
                                () -> resolver.onResponse(now, authority, Resolver.TCP_SOCKET, found(question)));
                    }

                    @Override
                    public void onLookupComplete(double at, long call, LookupResult candidates) {
                        router.lookupCompleted(at, call, candidates);
                    }
                });
        service = new EnumService(SUFFIX, s.numberPlan(), router, new TransactionTable(200_000, 3_000), 50);
        List<ServerList.Server> list = new ArrayList<>();
        for (String server : servers) {
            list.add(server(server, list.size(), ServerState.RUNNING, OptionalDouble.empty()));
            groups.put(server, group(server));
        }
        router.serverListUpdated(now, ++version, true, list);
        run(20);
        return this;
    }

    /** The settings of the front. */
    public static FrontSettings settings() {
        return new FrontSettings(
                new FrontSettings.Identity("sim", 1, 3L),
                new FrontSettings.EnumSettings(new Endpoint("127.0.0.1", 0), "e164.example.org", null, null),
                List.of(
                        new FrontSettings.CallClassSettings(
                                "simulacion", TimeSpan.ms(1_500), TimeSpan.ms(9_000), 1.0, 0.25),
                        new FrontSettings.CallClassSettings(
                                "tasacion-firma", TimeSpan.ms(1_200), TimeSpan.ms(6_000), 8.0, 0.25)),
                List.of(
                        new FrontSettings.NumberRange("59821", "simulacion", TimeSpan.ms(3_000)),
                        new FrontSettings.NumberRange("59828", "tasacion-firma", TimeSpan.ms(2_200))),
                new FrontSettings.Upstream(List.of(new Endpoint("127.0.0.1", 1)), null, null, null, null, null),
                new FrontSettings.Directory(new Endpoint("127.0.0.1", 1)),
                null,
                null,
                null,
                null);
    }

    private static ServerList.Server server(String id, int number, ServerState state, OptionalDouble started) {
        return new ServerList.Server(id, number, "127.0.0.1:1", 100 + number, state, started);
    }

    private TrunkGroup group(String server) {
        TrunkGroup group = new TrunkGroup(
                new CircuitAllocator(4_000, true), timers, TrunkGroup.TimerValues.Q764, 1, new TrunkGroup.Output() {
                    @Override
                    public void send(IsupMessage message) {
                        sent.add(new Sent(now, server, message));
                        react(server, message);
                    }

                    @Override
                    public void onAnswered(double at, long call, int attempt, ServerLoadReport report) {
                        router.callEstablished(at, call, attempt, report);
                    }

                    @Override
                    public void onOutcome(
                            double at,
                            long call,
                            int attempt,
                            AttemptStatus result,
                            RejectReason reason,
                            OptionalDouble toldWait,
                            ServerLoadReport report) {
                        router.attemptEnded(at, call, attempt, result, reason, toldWait, report);
                    }

                    @Override
                    public void onReleaseComplete(double at, long call, int attempt) {
                        router.releaseConfirmed(at, call, attempt);
                    }
                });
        group.onConnectionUp(now);
        return group;
    }

    private void react(String server, IsupMessage message) {
        Mode mode = modes.getOrDefault(server, Mode.ANSWER);
        int circuit = message.circuit();
        if (message.type() == IsupMessage.Type.IAM && mode == Mode.ANSWER) {
            later(answerDelay, () -> from(server, IsupMessage.of(circuit, IsupMessage.Type.ANM)));
        } else if (message.type() == IsupMessage.Type.IAM && mode == Mode.TURN_AWAY) {
            later(
                    answerDelay,
                    () -> from(server, IsupMessages.release(circuit, IsupMessage.SWITCHING_EQUIPMENT_CONGESTION)));
        } else if ((message.type() == IsupMessage.Type.REL || message.type() == IsupMessage.Type.RSC)
                && !losesCompletes) {
            later(completeDelay, () -> from(server, IsupMessage.of(circuit, IsupMessage.Type.RLC)));
        }
    }

    // ---- What tests do ----------------------------------------------------------------------------------

    /** Something that happens after so many milliseconds. */
    public void later(double after, Runnable what) {
        events.add(new Event(now + after, order++, what));
    }

    /** A message comes from a calculator. */
    public void from(String server, IsupMessage message) {
        groups.get(server).onMessage(now, message);
    }

    /** A caller asks for a number now. */
    public void ask(Object source, int id, String number) {
        Message query = new Message(id);
        query.addRecord(Record.newRecord(E164Name.toName(number, SUFFIX), Type.NAPTR, DClass.IN), Section.QUESTION);
        query.addRecord(new OPTRecord(DnsCodec.MAX_UDP_RESPONSE_BYTES, 0, 0), Section.ADDITIONAL);
        octets(source, query.toWire());
    }

    /** A caller sends octets. */
    public void octets(Object source, byte[] octets) {
        service.handleQuery(
                now, source, false, router.maxReadAge(now), octets, EnumService.AdmissionControl.ADMIT_ALL, answer -> {
                    try {
                        replies.add(new Reply(now, source, DnsCodec.decode(answer), answer));
                    } catch (DnsFormatException e) {
                        throw new AssertionError("the front sent what is no message", e);
                    }
                });
    }

    /** News of the directory. */
    public void news(String id, int number, ServerState state, OptionalDouble started) {
        router.serverListUpdated(now, ++version, false, List.of(server(id, number, state, started)));
    }

    /** A connection to a calculator is lost; it is not made again. */
    public void cut(String server) {
        unreachable.add(server);
        groups.get(server).onConnectionLost(now);
    }

    /** Time passes, a turn each millisecond. */
    public void run(double ms) {
        for (double until = now + ms; now < until; now += 1) {
            turn();
        }
    }

    /** The loop stands still; what came in the meantime is read first when it turns again. */
    public void stall(double ms) {
        now += ms;
        turn();
    }

    private void turn() {
        router.fireOverdueTimers(now);
        while (!events.isEmpty() && events.peek().at() <= now) {
            events.poll().what().run();
        }
        if (now - beatAt >= FrontSettings.TICK_MS) {
            beatAt = now;
            router.onTick(now);
        }
        resolver.deliverKnownResults(now);
        router.endBatch(now);
    }

    // ---- What tests see ---------------------------------------------------------------------------------

    /** How a reply reads: stands SERVER, refused, failed, or its rcode. */
    public static String kind(Reply reply) {
        Message m = reply.message();
        for (Record r : m.getSection(Section.ANSWER)) {
            if (r instanceof NAPTRRecord rule) {
                return "stands " + rule.getRegexp().replaceAll(".*@(.*)!", "$1");
            }
        }
        OPTRecord opt = m.getOPT();
        if (opt != null) {
            for (var option : opt.getOptions(15)) {
                int code = ((ExtendedErrorCodeOption) option).getErrorCode();
                if (code == EnumResponses.EDE_REFUSED || code == EnumResponses.EDE_FAILED) {
                    return code == EnumResponses.EDE_REFUSED ? "refused" : "failed";
                }
            }
        }
        return Rcode.string(m.getRcode());
    }

    /** Set-ups sent, to one server or with null to all. */
    public List<Sent> setUps(String server) {
        return sent.stream()
                .filter(s -> s.message().type() == IsupMessage.Type.IAM
                        && (server == null || s.server().equals(server)))
                .toList();
    }

    /** The number that a set-up called. */
    public static String number(Sent setUp) {
        try {
            return CalledPartyNumber.decode(setUp.message().parameterValue(IsupMessage.CALLED_PARTY_NUMBER));
        } catch (SignallingProtocolException e) {
            throw new AssertionError(e);
        }
    }

    /** The core. */
    public Router router() {
        return router;
    }

    /** A trunk group. */
    public TrunkGroup trunks(String server) {
        return groups.get(server);
    }

    /** What the authority answers: all servers, the first choice by the digit behind the class's prefix. */
    private byte[] found(byte[] question) {
        try {
            Message query = DnsCodec.decode(question);
            Name asked = query.getQuestion().getName();
            Message reply = new Message(query.getHeader().getID());
            reply.getHeader().setFlag(Flags.QR);
            reply.getHeader().setFlag(Flags.AA);
            reply.addRecord(query.getQuestion(), Section.QUESTION);
            int first = E164Name.toNumber(asked, SUFFIX).charAt(5) - '0';
            for (int i = 0; i < groups.size(); i++) {
                String host = "s" + (first + i) % groups.size();
                reply.addRecord(
                        new NAPTRRecord(
                                asked, DClass.IN, 60, 100, i, "u", "E2U+sip", "!^.*$!sip:x@" + host + "!", Name.root),
                        Section.ANSWER);
            }
            return reply.toWire();
        } catch (DnsFormatException e) {
            throw new AssertionError(e);
        }
    }

    @Override
    public RouterPorts.SendFailure sendSetUp(
            double at, String server, long call, int attempt, double until, CallRecord record) {
        if (unreachable.contains(server)) {
            return new RouterPorts.SendFailure(AttemptStatus.UNREACHABLE, RejectReason.NONE);
        }
        return groups.get(server).setUp(call, attempt, record.number(), 10)
                ? null
                : new RouterPorts.SendFailure(AttemptStatus.FULL, RejectReason.NO_LINE);
    }

    @Override
    public double sendRelease(double at, String server, long call, int attempt, boolean timedOut) {
        groups.get(server)
                .release(
                        at,
                        call,
                        attempt,
                        timedOut ? IsupMessage.RECOVERY_ON_TIMER_EXPIRY : IsupMessage.NORMAL_CLEARING);
        return now;
    }

    @Override
    public void sendProbe(double at, String server) {
        boolean answers = !unreachable.contains(server);
        later(1, () -> router.probeCompleted(now, server, true, answers, 1, ServerLoadReport.NONE));
    }

    @Override
    public void requestServerList() {
        fetches++;
    }

    @Override
    public void subscribeToUpdates() {
        fetches++;
    }
}
