package damsonseam.adapter;

import damsonseam.CongestionControlPolicy;
import damsonseam.RoutingPolicy;
import damsonseam.RoutingPolicy.AttemptOutcome;
import damsonseam.RoutingPolicy.AttemptStatus;
import damsonseam.RoutingPolicy.Call;
import damsonseam.RoutingPolicy.RejectReason;
import damsonseam.RoutingPolicy.ServerEntry;
import damsonseam.RoutingPolicy.ServerLoadReport;
import damsonseam.RoutingPolicy.ServerState;
import damsonseam.settings.LoadReportParser;
import damsonseam.settings.PlatformSettings;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * Runs routing policies for a simulator over a text protocol. It reads batches of events, passes each event to the
 * policy instance that it names, and writes one reply per batch with the actions of all instances. Confined to one
 * thread.
 */
final class WireAdapter {
    /** Bits of the flags of an offered call. */
    private static final int FLAG_REDIALLED = 2;

    private static final int FLAG_IN_TRANSIT = 8;
    /** A reason code is the reject reason plus this many times the server's retry-after time in milliseconds. */
    private static final int REASON_CODE_BASE = 16;
    /** Reason code that is an exception to this rule. */
    private static final int CODE_BEYOND_FULL = 18;

    private record Instance(RoutingPolicy policy, LoadReportParser reportParser) {}

    private final BufferedReader in;
    private final Writer out;
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final Map<Integer, List<ServerEntry>> serverLists = new HashMap<>();
    /** Ids of the instances that had an event in this batch, in the order of their first one. */
    private final Set<Integer> activeInstances = new LinkedHashSet<>();

    private final StringBuilder reply = new StringBuilder();
    private long lineNumber;
    private double now = Double.NEGATIVE_INFINITY;

    WireAdapter(BufferedReader in, Writer out) {
        this.in = in;
        this.out = out;
    }

    void run() throws IOException {
        for (WireLineReader line = nextLine(); line != null; line = nextLine()) {
            if (!line.readToken("turn").equals("turn")) {
                throw line.formatError("turn");
            }
            double time = line.readDouble("the clock");
            line.expectEnd();
            if (time < now) {
                throw line.formatError("a clock not earlier than the last one");
            }
            now = time;
            activeInstances.clear();
            readBatch();
            activeInstances.forEach(instanceId -> endBatch(instances.get(instanceId)));
            out.append(reply).append("done\n");
            out.flush();
            reply.setLength(0);
        }
    }

    private void endBatch(Instance instance) {
        if (instance != null) {
            instance.policy().onBatchEnd(now);
        }
    }

    private WireLineReader nextLine() throws IOException {
        String text = in.readLine();
        lineNumber++;
        return text == null ? null : new WireLineReader(text, lineNumber);
    }

    private WireLineReader requireLine(String expected) throws IOException {
        WireLineReader line = nextLine();
        if (line == null) {
            throw new WireFormatException("line " + lineNumber + ": expected " + expected + ", found the end of input");
        }
        return line;
    }

    private void readBatch() throws IOException {
        while (true) {
            WireLineReader line = requireLine("an event or flush");
            String eventName = line.readToken("an event or flush");
            if (eventName.equals("flush")) {
                line.expectEnd();
                return;
            }
            handleEvent(eventName, line);
        }
    }

    private void handleEvent(String eventName, WireLineReader line) throws IOException {
        switch (eventName) {
            case "boot" -> handleBoot(line);
            case "manifest" -> handleServerList(line);
            case "roster_change" -> handleServerListUpdate(line);
            case "order" -> handleCallOffered(line);
            case "streaming" -> {
                RoutingPolicy policy = instance(line).policy();
                long callId = line.readLong("the call");
                String serverId = line.readToken("the server");
                double delay = line.readDouble("the delay");
                policy.onCallEstablished(now, callId, serverId, line.readInt("the attempt"), delay);
                line.expectEnd();
            }
            case "stop" -> {
                int instanceId = line.readInt("the instance");
                line.expectEnd();
                if (instances.remove(instanceId) == null) {
                    throw line.formatError("a running instance");
                }
            }
            case "gone" -> {
                RoutingPolicy policy = instance(line).policy();
                long callId = line.readLong("the call");
                line.expectEnd();
                policy.onCallAbandoned(now, callId);
            }
            case "result" -> handleAttemptOutcome(line);
            case "pong" -> handleProbeResult(line);
            case "datagram" -> {
                RoutingPolicy policy = instance(line).policy();
                int from = line.readInt("the sender");
                policy.onMessage(now, from, readBytes(line));
            }
            case "tick_due" -> {
                RoutingPolicy policy = instance(line).policy();
                long token = line.readLong("the timer");
                line.expectEnd();
                policy.onTimer(now, token);
            }
            default -> throw line.formatError("a known event");
        }
    }

    private void handleBoot(WireLineReader line) {
        int instanceId = line.readInt("the instance");
        long seed = line.readLong("the seed");
        PlatformSettings settings = PlatformSettings.parse(line.readRest(), line::formatError);
        RoutingPolicy policy =
                new CongestionControlPolicy(settings.policySettings(seed), new ReplyWriter(reply, instanceId));
        instances.put(instanceId, new Instance(policy, new LoadReportParser(settings.reportFields(), ',')));
    }

    private Instance instance(WireLineReader line) {
        int instanceId = line.readInt("the instance");
        Instance instance = instances.get(instanceId);
        if (instance == null) {
            throw line.formatError("a running instance");
        }
        activeInstances.add(instanceId);
        return instance;
    }

    private void handleServerList(WireLineReader line) throws IOException {
        int listNumber = line.readInt("the list number");
        int count = line.readInt("the number of entries");
        line.expectEnd();
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(readEntry(requireLine("an item")));
        }
        serverLists.put(listNumber, entries);
    }

    private static ServerEntry readEntry(WireLineReader line) {
        if (!line.readToken("item").equals("item")) {
            throw line.formatError("item");
        }
        String serverId = line.readToken("the server");
        OptionalDouble startedAt = line.readOptionalDouble("the start time");
        line.readOptionalDouble("the machine kind");
        int index = (int) line.readOptionalDouble("the pool index").orElse(-1);
        line.readOptionalDouble("the zone");
        line.readOptionalDouble("the scale");
        ServerState state =
                switch (line.readToken("the health")) {
                    case "on" -> ServerState.RUNNING;
                    case "fading" -> ServerState.DRAINING;
                    case "off" -> ServerState.GONE;
                    default -> throw line.formatError("on, fading or off");
                };
        line.expectEnd();
        boolean startUnknown = startedAt.isEmpty() || startedAt.getAsDouble() == 0;
        return new ServerEntry(serverId, index, startUnknown ? OptionalDouble.empty() : startedAt, state);
    }

    private void handleServerListUpdate(WireLineReader line) {
        RoutingPolicy policy = instance(line).policy();
        String kind = line.readToken("the kind of update");
        line.readOptionalDouble("the version");
        if (kind.equals("error")) {
            line.readRest();
            policy.onServerListFailure(now);
            return;
        }
        List<ServerEntry> entries = serverLists.get(line.readInt("the list number"));
        line.expectEnd();
        if (entries == null) {
            throw line.formatError("the number of a known list");
        }
        switch (kind) {
            case "diff" -> policy.onServerListUpdate(now, false, entries);
            case "snapshot", "disk" -> policy.onServerListUpdate(now, true, entries);
            default -> throw line.formatError("diff, snapshot, disk or error");
        }
    }

    private void handleCallOffered(WireLineReader line) {
        RoutingPolicy policy = instance(line).policy();
        long callId = line.readLong("the call");
        line.readOptionalDouble("the tenant");
        String number = line.readToken("the key");
        line.readOptionalDouble("the circuits");
        line.readOptionalDouble("the work");
        int callClass = line.readInt("the class");
        line.readOptionalDouble("the tandem");
        double timeLeft = line.readDouble("the time left");
        int flags = line.readInt("the flags");
        OptionalDouble firstChoiceIndex = line.readOptionalDouble("the destination");
        line.expectEnd();
        policy.onCallOffered(
                now,
                new Call(
                        callId,
                        number,
                        callClass,
                        (int) firstChoiceIndex.orElse(-1),
                        timeLeft,
                        (flags & FLAG_REDIALLED) != 0,
                        (flags & FLAG_IN_TRANSIT) != 0));
    }

    private void handleAttemptOutcome(WireLineReader line) {
        Instance instance = instance(line);
        long callId = line.readLong("the call");
        int attempt = line.readInt("the attempt");
        double delay = line.readOptionalDouble("the delay").orElse(0);
        int code = (int) line.readOptionalDouble("the reason code").orElse(0);
        String serverId = line.readToken("the server");
        boolean terminal = line.readFlag("last");
        AttemptStatus status = readStatus(line);
        ServerLoadReport report = readLoadReport(instance, line);
        boolean beyondFull = code == CODE_BEYOND_FULL;
        RejectReason reason =
                switch (beyondFull ? 2 : code % REASON_CODE_BASE) {
                    case 1 -> RejectReason.NO_LINE;
                    case 2 -> RejectReason.BEYOND_FULL;
                    case 3 -> RejectReason.PROCESSOR_FULL;
                    case 4 -> RejectReason.NUMBER_BUSY;
                    default -> RejectReason.NONE;
                };
        int retryAfterMs = beyondFull ? 0 : code / REASON_CODE_BASE;
        OptionalDouble retryAfter = retryAfterMs > 0 ? OptionalDouble.of(retryAfterMs) : OptionalDouble.empty();
        instance.policy()
                .onAttemptOutcome(
                        now,
                        new AttemptOutcome(
                                callId, serverId, attempt, delay, status, reason, retryAfter, terminal, report));
    }

    private void handleProbeResult(WireLineReader line) {
        Instance instance = instance(line);
        String serverId = line.readToken("the server");
        boolean completed = readStatus(line) == AttemptStatus.COMPLETED;
        double delay = line.readOptionalDouble("the delay").orElse(0);
        ServerLoadReport report = readLoadReport(instance, line);
        instance.policy().onProbeResult(now, serverId, !completed || delay > 0, completed, delay, report);
    }

    private static AttemptStatus readStatus(WireLineReader line) {
        return switch (line.readToken("an outcome")) {
            case "ok" -> AttemptStatus.COMPLETED;
            case "error" -> AttemptStatus.ERROR;
            case "full" -> AttemptStatus.FULL;
            case "timeout" -> AttemptStatus.TIMED_OUT;
            case "connect_failed" -> AttemptStatus.UNREACHABLE;
            case "reset" -> AttemptStatus.RESET;
            case "cancelled" -> AttemptStatus.CANCELLED;
            case "moot" -> AttemptStatus.NOT_SENT;
            default -> throw line.formatError("a known outcome");
        };
    }

    private static ServerLoadReport readLoadReport(Instance instance, WireLineReader line) {
        return instance.reportParser().parse(line.readRest(), line::formatError);
    }

    private static byte[] readBytes(WireLineReader line) {
        String hex = line.readToken("the bytes");
        line.expectEnd();
        try {
            return hex.equals("-") ? new byte[0] : HexFormat.of().parseHex(hex);
        } catch (IllegalArgumentException e) {
            throw line.formatError("bytes as hex digits");
        }
    }
}
