package damsonseam;

import damsonseam.RoutingPolicy.AttemptOutcome;
import damsonseam.RoutingPolicy.AttemptStatus;
import damsonseam.RoutingPolicy.Call;
import damsonseam.RoutingPolicy.CallClass;
import damsonseam.RoutingPolicy.PolicyActions;
import damsonseam.RoutingPolicy.PolicySettings;
import damsonseam.RoutingPolicy.RejectReason;
import damsonseam.RoutingPolicy.ServerEntry;
import damsonseam.RoutingPolicy.ServerLoadReport;
import damsonseam.RoutingPolicy.ServerState;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Function;

/**
 * Feeds one policy with events of simulated servers, each with a queue for one processor, and of callers that redial;
 * crashes, drains, cold restarts, slow periods, lost answers, bursts and pauses come from a seed. All actions of the
 * policy are hashed, every number to its last bit, so that the decisions of two versions can be compared.
 */
final class SimulatedCallStream implements PolicyActions {
    private static final double TICK_MS = 5;
    private static final double PATIENCE_MS = 3_000;

    /** An action due at a simulated time. */
    private record Event(double at, long order, Runnable action) {}

    /** A simulated server with one processor. */
    private static final class Server {
        final String id;
        final int index;
        double serviceTime;
        double busyUntil;
        boolean dead;
        boolean silent;
        int incarnation;
        int linesInUse;

        Server(String id, int index, double serviceTime) {
            this.id = id;
            this.index = index;
            this.serviceTime = serviceTime;
        }
    }

    /** A call and its present attempt. */
    private static final class CallState {
        final String number;
        final int callClass;
        final int firstChoiceIndex;
        final int redials;
        Server server;
        int attempt = -1;
        boolean pending;
        boolean established;

        CallState(String number, int callClass, int firstChoiceIndex, int redials) {
            this.number = number;
            this.callClass = callClass;
            this.firstChoiceIndex = firstChoiceIndex;
            this.redials = redials;
        }
    }

    private final SplittableRandom random;
    private final RoutingPolicy policy;
    private final List<Server> servers = new ArrayList<>();
    private final Map<Long, CallState> openCalls = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Double.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
    private final MessageDigest digest;
    private final double callsPerS;
    private final boolean withServerSets;
    private double now = 1_000;
    private long nextEventOrder;
    private long nextCallId = 1;
    private boolean hasNewEvents;
    /** Number of actions so far. */
    long actions;
    /** Number of calls offered so far. */
    long offered;
    /** Longest time that the policy took for one batch, in nanoseconds. */
    long longestBatchNs;
    /** Time that the policy took for all batches, in nanoseconds. */
    long totalNs;
    /** Whether a batch ends after each call and not only once per tick. */
    boolean batchPerCall;
    /** Greatest number of calls open at one time. */
    int maxOpenCalls;

    /**
     * Creates a stream and its policy.
     *
     * @param load offered work as a multiple of the capacity of all servers
     * @param withServerSets whether calls name the servers that they may use
     */
    SimulatedCallStream(
            long seed,
            int serverCount,
            double load,
            double callsPerS,
            boolean withServerSets,
            Function<PolicySettings, Function<PolicyActions, RoutingPolicy>> policyFactory) {
        random = new SplittableRandom(seed);
        this.callsPerS = callsPerS;
        this.withServerSets = withServerSets;
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
        OptionalDouble none = OptionalDouble.empty();
        PolicySettings settings = new PolicySettings(
                seed,
                OptionalInt.of(4),
                List.of(
                        new CallClass(of(1_500), of(9_000), of(1), of(0.25), Optional.empty()),
                        new CallClass(of(1_200), of(6_000), of(8), of(0.25), Optional.empty())),
                OptionalInt.empty(),
                OptionalInt.of(4),
                Optional.of(true),
                Optional.of(true),
                Optional.of(false),
                Optional.of(false),
                of(TICK_MS),
                of(20),
                of(250),
                of(0.35),
                of(14_000),
                of(3),
                of(1_000),
                of(300),
                none,
                of(2_000));
        policy = policyFactory.apply(settings).apply(this);
        List<ServerEntry> serverList = new ArrayList<>();
        for (int i = 0; i < serverCount; i++) {
            servers.add(new Server("s" + i, i, load * 1_000.0 * serverCount / callsPerS));
            serverList.add(new ServerEntry("s" + i, i, none, ServerState.RUNNING));
        }
        policy.onServerListUpdate(now, true, serverList);
        hasNewEvents = true;
    }

    private static OptionalDouble of(double value) {
        return OptionalDouble.of(value);
    }

    /** Runs for the given time, with or without faults, and returns the hash and the number of all actions. */
    String run(double seconds, boolean withFaults) {
        double end = now + seconds * 1_000;
        double nextArrival = now;
        double nextFault = now + 1_000;
        while (now < end) {
            now += withFaults && random.nextInt(4_000) == 0 ? 700 : TICK_MS;
            while (!events.isEmpty() && events.peek().at() <= now) {
                events.poll().action().run();
            }
            while (nextArrival <= now) {
                nextArrival += -Math.log(1 - random.nextDouble()) * 1_000 / callsPerS;
                offer(new CallState(
                        "n" + nextCallId, random.nextInt(16) == 0 ? 1 : 0, random.nextInt(servers.size()), 0));
                if (batchPerCall) {
                    endBatch();
                }
            }
            if (withFaults && now >= nextFault) {
                nextFault = now + 300 + random.nextInt(1_500);
                injectFault(servers.get(random.nextInt(servers.size())));
            }
            endBatch();
        }
        return HexFormat.of().formatHex(digest.digest()).substring(0, 16) + " " + actions;
    }

    private void endBatch() {
        if (hasNewEvents) {
            hasNewEvents = false;
            long start = System.nanoTime();
            policy.onBatchEnd(now);
            long elapsed = System.nanoTime() - start;
            totalNs += elapsed;
            longestBatchNs = Math.max(longestBatchNs, elapsed);
            maxOpenCalls = Math.max(maxOpenCalls, openCalls.size());
        }
    }

    private void schedule(double delay, Runnable action) {
        events.add(new Event(now + delay, nextEventOrder++, action));
    }

    private void offer(CallState call) {
        long callId = nextCallId++;
        openCalls.put(callId, call);
        offered++;
        List<Integer> allowedServers = new ArrayList<>();
        for (int i = 0; withServerSets && i < 3; i++) {
            allowedServers.add((call.firstChoiceIndex + i) % servers.size());
        }
        policy.onCallOffered(
                now,
                new Call(
                        callId,
                        call.number,
                        call.callClass,
                        call.firstChoiceIndex,
                        PATIENCE_MS,
                        call.redials > 0 && call.redials % 2 == 0,
                        false,
                        allowedServers));
        hasNewEvents = true;
    }

    private void injectFault(Server server) {
        double slowdown = 1 + 3 * random.nextDouble();
        switch (random.nextInt(5)) {
            case 0 -> {
                server.dead = true;
                server.incarnation++;
                for (Map.Entry<Long, CallState> e : new java.util.TreeMap<>(openCalls).entrySet()) {
                    if (e.getValue().server == server && (e.getValue().pending || e.getValue().established)) {
                        endAttempt(e.getKey(), AttemptStatus.RESET, RejectReason.NONE);
                    }
                }
                schedule(1_500, () -> updateServer(server, ServerState.GONE, OptionalDouble.empty()));
                schedule(4_000, () -> {
                    server.dead = false;
                    server.busyUntil = now;
                    double startedAt = now;
                    schedule(800, () -> updateServer(server, ServerState.RUNNING, of(startedAt)));
                });
            }
            case 1 -> {
                updateServer(server, ServerState.DRAINING, OptionalDouble.empty());
                schedule(3_000, () -> updateServer(server, ServerState.RUNNING, OptionalDouble.empty()));
            }
            case 2 -> {
                server.serviceTime *= slowdown;
                schedule(2_500, () -> server.serviceTime /= slowdown);
            }
            case 3 -> {
                server.silent = true;
                schedule(1_200, () -> server.silent = false);
            }
            default -> {
                for (int i = 0; i < callsPerS / 4; i++) {
                    offer(new CallState("n" + nextCallId, random.nextInt(16) == 0 ? 1 : 0, server.index, 0));
                }
            }
        }
    }

    private void updateServer(Server server, ServerState state, OptionalDouble startedAt) {
        policy.onServerListUpdate(now, false, List.of(new ServerEntry(server.id, server.index, startedAt, state)));
        hasNewEvents = true;
    }

    private ServerLoadReport report(Server server) {
        double wait = Math.max(0, server.busyUntil - now);
        return new ServerLoadReport(
                of(2_000 - server.linesInUse),
                of(2_000),
                OptionalDouble.empty(),
                of(Math.min(1, wait / 50)),
                of(Math.floor(wait / server.serviceTime)));
    }

    private void endAttempt(long callId, AttemptStatus status, RejectReason reason) {
        CallState call = openCalls.get(callId);
        if (call == null || !call.pending && !call.established) {
            return;
        }
        boolean terminal = call.established;
        if (terminal) {
            call.server.linesInUse--;
            openCalls.remove(callId);
        }
        call.pending = false;
        call.established = false;
        policy.onAttemptOutcome(
                now,
                new AttemptOutcome(
                        callId,
                        call.server.id,
                        call.attempt,
                        100,
                        status,
                        reason,
                        OptionalDouble.empty(),
                        terminal,
                        report(call.server)));
        hasNewEvents = true;
    }

    private void recordAction(String action) {
        actions++;
        digest.update(action.getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void sendSetUp(long callId, String serverId, double abandonAt) {
        recordAction("send " + callId + serverId + Double.doubleToLongBits(abandonAt));
        CallState call = openCalls.get(callId);
        Server server = servers.get(Integer.parseInt(serverId.substring(1)));
        call.server = server;
        call.pending = true;
        int attempt = ++call.attempt;
        int incarnation = server.incarnation;
        double sentAt = now;
        schedule(abandonAt - now, () -> {
            if (call.pending && call.attempt == attempt) {
                endAttempt(callId, AttemptStatus.TIMED_OUT, RejectReason.NONE);
            }
        });
        if (server.dead) {
            schedule(
                    TICK_MS,
                    () -> ifPending(
                            call, attempt, () -> endAttempt(callId, AttemptStatus.UNREACHABLE, RejectReason.NONE)));
            return;
        }
        double wait = Math.max(0, server.busyUntil - now);
        if (wait > 2_500) {
            schedule(
                    12,
                    () -> ifPending(
                            call, attempt, () -> endAttempt(callId, AttemptStatus.FULL, RejectReason.PROCESSOR_FULL)));
            return;
        }
        server.busyUntil = now + wait + server.serviceTime;
        if (server.silent) {
            return;
        }
        boolean busyNumber = random.nextInt(100) == 0;
        double holdingTime = -Math.log(1 - random.nextDouble()) * 2_000;
        schedule(wait + server.serviceTime + 10, () -> {
            if (server.incarnation != incarnation) {
                return;
            }
            ifPending(call, attempt, () -> {
                if (busyNumber) {
                    endAttempt(callId, AttemptStatus.ERROR, RejectReason.NUMBER_BUSY);
                    return;
                }
                call.pending = false;
                call.established = true;
                server.linesInUse++;
                policy.onProbeResult(now, server.id, false, true, 0, report(server));
                policy.onCallEstablished(now, callId, server.id, attempt, now - sentAt);
                hasNewEvents = true;
                schedule(holdingTime, () -> {
                    if (call.established && server.incarnation == incarnation) {
                        endAttempt(callId, AttemptStatus.COMPLETED, RejectReason.NONE);
                    }
                });
            });
        });
    }

    private static void ifPending(CallState call, int attempt, Runnable action) {
        if (call.pending && call.attempt == attempt) {
            action.run();
        }
    }

    private void redialLater(long callId) {
        CallState call = openCalls.remove(callId);
        if (call != null && call.redials < 2) {
            schedule(
                    800 + 400 * call.redials,
                    () -> offer(new CallState(call.number, call.callClass, call.firstChoiceIndex, call.redials + 1)));
        }
    }

    @Override
    public void refuseCall(long callId, double retryAfter) {
        recordAction("refuse " + callId + Double.doubleToLongBits(retryAfter));
        redialLater(callId);
    }

    @Override
    public void failCall(long callId) {
        recordAction("fail " + callId);
        redialLater(callId);
    }

    @Override
    public void cancelAttempt(long callId, int attempt) {
        recordAction("cancel " + callId + attempt);
        CallState call = openCalls.get(callId);
        schedule(
                TICK_MS,
                () -> ifPending(call, attempt, () -> endAttempt(callId, AttemptStatus.CANCELLED, RejectReason.NONE)));
    }

    @Override
    public void startTimer(double delay, long token) {
        recordAction("timer " + Double.doubleToLongBits(delay) + token);
        schedule(delay, () -> {
            policy.onTimer(now, token);
            hasNewEvents = true;
        });
    }

    @Override
    public void sendProbe(String serverId) {
        recordAction("probe " + serverId);
        Server server = servers.get(Integer.parseInt(serverId.substring(1)));
        schedule(TICK_MS, () -> {
            policy.onProbeResult(now, serverId, true, !server.dead && !server.silent, 3, report(server));
            hasNewEvents = true;
        });
    }

    @Override
    public void fetchServerList() {
        recordAction("fetch");
    }

    @Override
    public void followServerList() {
        recordAction("follow");
    }
}
