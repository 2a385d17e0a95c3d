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
 * A complete ENUM front without sockets on a simulated clock: router, routing policy, ENUM service, resolver and trunk
 * groups, with a simulated DNS authority and calculators whose behaviour tests set. One event-loop iteration takes one
 * millisecond; events of the same millisecond are handled in one iteration, before the tick, as on the real loop.
 */
public final class SimulatedFront implements RouterPorts.ServerSignalling, RouterPorts.Directory {
    /** DNS suffix of the numbers. */
    public static final Name SUFFIX = E164Name.parseSuffix("e164.example.org");
    /** Time for which the front waits for a release complete message, in milliseconds. */
    public static final double RELEASE_WAIT_MS = 100;

    /** How a calculator responds to a set-up. */
    public enum ServerBehaviour {
        ANSWER,
        SILENT,
        REJECT
    }

    /** A message sent to a calculator. */
    public record SentMessage(double at, String serverId, IsupMessage message) {}

    /** An answer sent to a caller. */
    public record Reply(double at, Object caller, Message message, byte[] bytes) {}

    private record Event(double at, long order, Runnable action) {}

    /** Capacity of the call table; tests may change it before {@link #start}. */
    public int maxCalls = 100_000;
    /** Time from a query to the authority's answer, in milliseconds; if negative, there is no answer. */
    public double dnsDelayMs = 2;
    /** Time from a set-up to its answer, in milliseconds. */
    public double answerDelayMs = 10;
    /** Whether the release complete messages of calculators are lost. */
    public boolean losesReleaseCompletes;
    /** Round-trip time from a release to its completion, in milliseconds. */
    public double releaseCompleteDelayMs = 1;
    /** Behaviour of each calculator; by default it answers. */
    public final Map<String, ServerBehaviour> behaviours = new HashMap<>();
    /** All messages sent to calculators. */
    public final List<SentMessage> sent = new ArrayList<>();
    /** All answers sent to callers. */
    public final List<Reply> replies = new ArrayList<>();
    /** Calculators whose connection is down. */
    public final List<String> unreachableServers = new ArrayList<>();
    /** Current time, in milliseconds. */
    public double now = 1_000;
    /** Number of requests and subscriptions for the server list. */
    public int serverListRequests;

    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Double.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
    private final TimerWheel timers = new TimerWheel(now);
    private final Map<String, TrunkGroup> groups = new HashMap<>();
    private Router router;
    private EnumService service;
    private Resolver resolver;
    private long nextEventOrder;
    private long serverListVersion;
    private double lastTickAt = now;

    /** Starts the front with these calculators running and with enough circuits. */
    public SimulatedFront start(String... servers) {
        FrontSettings settings = settings();
        router = new Router(
                new RouterSettings(
                        settings.policySettings(3),
                        maxCalls,
                        FrontSettings.TICK_MS,
                        RELEASE_WAIT_MS,
                        FrontSettings.ANSWER_SLACK_MS),
                actions -> new CongestionControlPolicy(settings.policySettings(3), actions),
                new CallTable(maxCalls, 1),
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
                    public void sendUdp(int authority, int socket, byte[] queryBytes) {
                        if (dnsDelayMs >= 0) {
                            schedule(
                                    dnsDelayMs,
                                    () -> resolver.onResponse(now, authority, socket, authorityAnswer(queryBytes)));
                        }
                    }

                    @Override
                    public void sendTcp(int authority, byte[] queryBytes) {
                        schedule(
                                dnsDelayMs,
                                () -> resolver.onResponse(
                                        now, authority, Resolver.TCP_SOCKET, authorityAnswer(queryBytes)));
                    }

                    @Override
                    public void onLookupComplete(double at, long callId, LookupResult result) {
                        router.lookupCompleted(at, callId, result);
                    }
                });
        service = new EnumService(SUFFIX, settings.numberPlan(), router, new TransactionTable(200_000, 3_000), 50);
        List<ServerList.Server> serverList = new ArrayList<>();
        for (String serverId : servers) {
            serverList.add(server(serverId, serverList.size(), ServerState.RUNNING, OptionalDouble.empty()));
            groups.put(serverId, createTrunkGroup(serverId));
        }
        router.serverListUpdated(now, ++serverListVersion, true, serverList);
        run(20);
        return this;
    }

    /** Returns the settings of the front. */
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

    private static ServerList.Server server(String id, int index, ServerState state, OptionalDouble startedAt) {
        return new ServerList.Server(id, index, "127.0.0.1:1", 100 + index, state, startedAt);
    }

    private TrunkGroup createTrunkGroup(String serverId) {
        TrunkGroup group = new TrunkGroup(
                new CircuitAllocator(4_000, true), timers, TrunkGroup.TimerValues.Q764, 1, new TrunkGroup.Output() {
                    @Override
                    public void send(IsupMessage message) {
                        sent.add(new SentMessage(now, serverId, message));
                        respond(serverId, message);
                    }

                    @Override
                    public void onAnswered(double at, long callId, int attempt, ServerLoadReport report) {
                        router.callEstablished(at, callId, attempt, report);
                    }

                    @Override
                    public void onAttemptEnded(
                            double at,
                            long callId,
                            int attempt,
                            AttemptStatus status,
                            RejectReason reason,
                            OptionalDouble retryAfterMs,
                            ServerLoadReport report) {
                        router.attemptEnded(at, callId, attempt, status, reason, retryAfterMs, report);
                    }

                    @Override
                    public void onReleaseComplete(double at, long callId, int attempt) {
                        router.releaseConfirmed(at, callId, attempt);
                    }
                });
        group.onConnectionUp(now);
        return group;
    }

    private void respond(String serverId, IsupMessage message) {
        ServerBehaviour behaviour = behaviours.getOrDefault(serverId, ServerBehaviour.ANSWER);
        int circuit = message.circuit();
        if (message.type() == IsupMessage.Type.IAM && behaviour == ServerBehaviour.ANSWER) {
            schedule(answerDelayMs, () -> receive(serverId, IsupMessage.of(circuit, IsupMessage.Type.ANM)));
        } else if (message.type() == IsupMessage.Type.IAM && behaviour == ServerBehaviour.REJECT) {
            schedule(
                    answerDelayMs,
                    () -> receive(serverId, IsupMessages.release(circuit, IsupMessage.SWITCHING_EQUIPMENT_CONGESTION)));
        } else if ((message.type() == IsupMessage.Type.REL || message.type() == IsupMessage.Type.RSC)
                && !losesReleaseCompletes) {
            schedule(releaseCompleteDelayMs, () -> receive(serverId, IsupMessage.of(circuit, IsupMessage.Type.RLC)));
        }
    }

    // ---- Stimuli ----------------------------------------------------------------------------------------

    /** Schedules an action after a delay in milliseconds. */
    public void schedule(double delay, Runnable action) {
        events.add(new Event(now + delay, nextEventOrder++, action));
    }

    /** Receives a message from a calculator. */
    public void receive(String serverId, IsupMessage message) {
        groups.get(serverId).onMessage(now, message);
    }

    /** Sends a caller's query for a number. */
    public void sendQuery(Object source, int id, String number) {
        Message query = new Message(id);
        query.addRecord(Record.newRecord(E164Name.toName(number, SUFFIX), Type.NAPTR, DClass.IN), Section.QUESTION);
        query.addRecord(new OPTRecord(DnsCodec.MAX_UDP_RESPONSE_BYTES, 0, 0), Section.ADDITIONAL);
        sendBytes(source, query.toWire());
    }

    /** Sends a caller's datagram. */
    public void sendBytes(Object source, byte[] bytes) {
        service.handleQuery(
                now, source, false, router.maxReadAge(now), bytes, EnumService.AdmissionControl.ADMIT_ALL, answer -> {
                    try {
                        replies.add(new Reply(now, source, DnsCodec.decode(answer), answer));
                    } catch (DnsFormatException e) {
                        throw new AssertionError("the front sent a malformed DNS message", e);
                    }
                });
    }

    /** Sends a server-list update of one server. */
    public void updateServer(String id, int index, ServerState state, OptionalDouble startedAt) {
        router.serverListUpdated(now, ++serverListVersion, false, List.of(server(id, index, state, startedAt)));
    }

    /** Drops the connection to a calculator, which is not restored. */
    public void disconnect(String serverId) {
        unreachableServers.add(serverId);
        groups.get(serverId).onConnectionLost(now);
    }

    /** Advances the clock with one event-loop iteration per millisecond. */
    public void run(double ms) {
        for (double end = now + ms; now < end; now += 1) {
            runIteration();
        }
    }

    /** Pauses the event loop; the events of the pause are handled first in the next iteration. */
    public void pause(double ms) {
        now += ms;
        runIteration();
    }

    private void runIteration() {
        router.fireOverdueTimers(now);
        while (!events.isEmpty() && events.peek().at() <= now) {
            events.poll().action().run();
        }
        if (now - lastTickAt >= FrontSettings.TICK_MS) {
            lastTickAt = now;
            router.onTick(now);
        }
        resolver.deliverKnownResults(now);
        router.endBatch(now);
    }

    // ---- Observations -----------------------------------------------------------------------------------

    /** Describes a reply: "established SERVER", "refused", "failed", or its rcode. */
    public static String describe(Reply reply) {
        Message message = reply.message();
        for (Record record : message.getSection(Section.ANSWER)) {
            if (record instanceof NAPTRRecord rule) {
                return "established " + rule.getRegexp().replaceAll(".*@(.*)!", "$1");
            }
        }
        OPTRecord opt = message.getOPT();
        if (opt != null) {
            for (var option : opt.getOptions(15)) {
                int code = ((ExtendedErrorCodeOption) option).getErrorCode();
                if (code == EnumResponses.EDE_REFUSED || code == EnumResponses.EDE_FAILED) {
                    return code == EnumResponses.EDE_REFUSED ? "refused" : "failed";
                }
            }
        }
        return Rcode.string(message.getRcode());
    }

    /** Returns the set-ups sent to one server, or to all if it is null. */
    public List<SentMessage> setUps(String serverId) {
        return sent.stream()
                .filter(settings -> settings.message().type() == IsupMessage.Type.IAM
                        && (serverId == null || settings.serverId().equals(serverId)))
                .toList();
    }

    /** Returns the called number of a set-up. */
    public static String calledNumber(SentMessage setUp) {
        try {
            return CalledPartyNumber.decode(setUp.message().parameterValue(IsupMessage.CALLED_PARTY_NUMBER));
        } catch (SignallingProtocolException e) {
            throw new AssertionError(e);
        }
    }

    /** Returns the router. */
    public Router router() {
        return router;
    }

    /** Returns the trunk group to a server. */
    public TrunkGroup trunkGroup(String serverId) {
        return groups.get(serverId);
    }

    /** Returns the authority's answer: all servers, the first choice given by the digit after the class prefix. */
    private byte[] authorityAnswer(byte[] queryBytes) {
        try {
            Message query = DnsCodec.decode(queryBytes);
            Name name = query.getQuestion().getName();
            Message reply = new Message(query.getHeader().getID());
            reply.getHeader().setFlag(Flags.QR);
            reply.getHeader().setFlag(Flags.AA);
            reply.addRecord(query.getQuestion(), Section.QUESTION);
            int firstChoice = E164Name.toNumber(name, SUFFIX).charAt(5) - '0';
            for (int i = 0; i < groups.size(); i++) {
                String host = "s" + (firstChoice + i) % groups.size();
                reply.addRecord(
                        new NAPTRRecord(
                                name, DClass.IN, 60, 100, i, "u", "E2U+sip", "!^.*$!sip:x@" + host + "!", Name.root),
                        Section.ANSWER);
            }
            return reply.toWire();
        } catch (DnsFormatException e) {
            throw new AssertionError(e);
        }
    }

    @Override
    public RouterPorts.SendFailure sendSetUp(
            double at, String serverId, long callId, int attempt, double giveUpAt, CallRecord record) {
        if (unreachableServers.contains(serverId)) {
            return new RouterPorts.SendFailure(AttemptStatus.UNREACHABLE, RejectReason.NONE);
        }
        return groups.get(serverId).setUp(callId, attempt, record.number(), 10)
                ? null
                : new RouterPorts.SendFailure(AttemptStatus.FULL, RejectReason.NO_LINE);
    }

    @Override
    public double sendRelease(double at, String serverId, long callId, int attempt, boolean timedOut) {
        groups.get(serverId)
                .release(
                        at,
                        callId,
                        attempt,
                        timedOut ? IsupMessage.RECOVERY_ON_TIMER_EXPIRY : IsupMessage.NORMAL_CLEARING);
        return now;
    }

    @Override
    public void sendProbe(double at, String serverId) {
        boolean answers = !unreachableServers.contains(serverId);
        schedule(1, () -> router.probeCompleted(now, serverId, true, answers, 1, ServerLoadReport.NONE));
    }

    @Override
    public void requestServerList() {
        serverListRequests++;
    }

    @Override
    public void subscribeToUpdates() {
        serverListRequests++;
    }
}
