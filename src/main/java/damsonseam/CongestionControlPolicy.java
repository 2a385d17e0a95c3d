package damsonseam;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Routing policy of one front with congestion control per server. It decides which server gets a call and
 * when, or that the call is held, refused or failed.
 *
 * <p>For each server the policy estimates, from the delays of this front's own set-ups, the wait that the next
 * set-up would meet. Each rank of worth has an onset level T, an abatement level A below it and a discard level D
 * above it on that wait; docs/DESIGN.md describes the mechanism.
 *
 * <p>An instance is confined to the thread of its front, starts no threads and reads no clock. It keeps state for
 * each pending call, for each listed server, and for at most {@value #MAX_REMEMBERED_NUMBERS} numbers per table;
 * above {@value #MAX_REMEMBERED_SERVERS} servers it forgets those that are gone. All times and durations are in
 * milliseconds.
 */
public final class CongestionControlPolicy implements RoutingPolicy {

    // ---- Parameters -------------------------------------------------------------------------------------

    /**
     * The first onset in standard deviations above the mean wait of normal operation: phi(eps) of the paper. A
     * normal distribution exceeds it once in 700 samples.
     */
    private static final double ONSET_DEVIATIONS = 3.0;
    /**
     * Share of the shortest aim of all classes that a wait may take. The rest covers the network delay, late
     * reports and a wait that is still growing.
     */
    private static final double WAIT_BUDGET_SHARE_OF_AIM = 0.5;
    /** Bounds of the first onset as shares of the wait budget; they keep the levels apart. */
    private static final double MIN_FIRST_ONSET_SHARE = 0.2;

    private static final double MAX_FIRST_ONSET_SHARE = 0.5;
    /** Weight of the newest sample in the wait estimate. */
    private static final double FAST_SMOOTHING_WEIGHT = 0.5;
    /** Minimum weight of the newest sample in the mean and variance of the wait in normal operation. */
    private static final double MIN_SLOW_SMOOTHING_WEIGHT = 0.05;
    /** Minimum rate at which the wait estimate decays without new samples, in milliseconds per millisecond. */
    private static final double MIN_ESTIMATE_DECAY_RATE = 0.4;
    /** Further set-ups sent to a server that does not answer before its silence stops calls of all ranks. */
    private static final int MAX_SILENCE_TEST_SET_UPS = 2;
    /** Lines that a rank leaves free for the next higher rank, in standard deviations of the lines in use. */
    private static final double RESERVED_LINES_DEVIATIONS = 0.25;
    /** Share of a cold server's set-up budget that the fronts use. The rest covers uneven fronts and chance. */
    private static final double COLD_BUDGET_SHARE = 0.25;
    /** Samples after which the figures of a server count as known. */
    private static final int MIN_SAMPLES_OF_KNOWN_SERVER = 10;
    /** Rate at which rerouted calls go to one server, as a multiple of this front's fair rate there. */
    private static final double PACED_RATE_MULTIPLE = 2.0;
    /** Time between checks of held and unanswered calls, well below any wait that matters. */
    private static final double SWEEP_INTERVAL_MS = 20.0;
    /** Consecutive failures without an answer between them after which a server is considered down. */
    private static final int DOWN_AFTER_FAILURES = 2;
    /** Time constant of the rate of established calls. It exceeds most faults, which must not shape the rate. */
    private static final double RATE_WINDOW_MS = 60_000.0;
    /** Aim or deadline of a class whose settings give none. */
    private static final double DEFAULT_AIM_MS = 1_000.0;
    /** Bound of each table of numbers, far above the count of numbers that are busy at one time. */
    private static final int MAX_REMEMBERED_NUMBERS = 1_000;
    /** Number of servers above which those that are gone are forgotten; a known server may return. */
    private static final int MAX_REMEMBERED_SERVERS = 100;
    /** Delay before a failed server-list request is repeated: no flood, yet below the usual lag of updates. */
    private static final double SERVER_LIST_RETRY_MS = 1_000.0;
    /** Maximum throttle of a server: the factor by which this front's send interval exceeds the fair one. */
    private static final double MAX_THROTTLE = 8.0;
    /** Factor that a short wait applies to the throttle. */
    private static final double THROTTLE_DECAY = 0.6;
    /** Throttle below which a server is no longer throttled. */
    private static final double THROTTLE_OFF_BELOW = 0.5;
    /** Time that a change of the throttle needs to take effect: calls sent before it must be answered first. */
    private static final double THROTTLE_EFFECT_MS = 2_000.0;
    /** Time constant with which a throttle falls back to 1 while no answers arrive. */
    private static final double THROTTLE_RECOVERY_MS = 15_000.0;
    /** Reported utilization from which a server counts as saturated; the margin below 1 covers report noise. */
    private static final double SATURATED_UTILIZATION = 0.9;

    private static final long SWEEP_TIMER_TOKEN = 1;
    private static final long SERVER_LIST_TIMER_TOKEN = 2;

    private final PolicySettings settings;
    private final PolicyActions actions;
    private final SplittableRandom random;
    private final double releaseGuard;
    private final double deadlineMargin;
    private final double coldCapacityShare;
    private final double warmUpTime;
    private final double waitBudget;
    private final int maxAttempts;
    private final int frontCount;
    private final boolean mayCancel;
    private final boolean mayProbe;
    /** Distinct worths that a call can still earn, in ascending order. A call's rank is an index of this array. */
    private final double[] worths;

    // ---- State ------------------------------------------------------------------------------------------

    private final Map<String, Server> servers = new TreeMap<>();
    private final Map<Long, PendingCall> pendingCalls = new LinkedHashMap<>();
    /** Order in which held calls are tried: highest rank first, within a rank the newest first. */
    private static final Comparator<PendingCall> DISPATCH_ORDER = Comparator.comparingInt((PendingCall c) -> -c.rank)
            .thenComparingDouble(c -> -c.arrivedAt)
            .thenComparingLong(c -> c.id);
    /** Groups of held calls with the same prospects: a batch tries one call of each and skips the others. */
    private final Map<Object, CallGroup> groups = new LinkedHashMap<>();
    /** Calls that were offered or came back since the last batch and have no rank yet. */
    private final Set<PendingCall> unrankedCalls = new LinkedHashSet<>();
    /** Held calls that still have their full worth, ordered by the time at which it falls. */
    private final TreeSet<PendingCall> callsBeforeAim = new TreeSet<>(
            Comparator.comparingDouble((PendingCall c) -> c.aimDeadline).thenComparingLong(c -> c.id));
    /** Held calls that have only their late worth, in the same order. */
    private final TreeSet<PendingCall> callsPastAim = new TreeSet<>(callsBeforeAim.comparator());
    /** All held calls with a rank, ordered by their deadline. */
    private final TreeSet<PendingCall> heldByDeadline = new TreeSet<>(
            Comparator.comparingDouble((PendingCall c) -> c.deadline).thenComparingLong(c -> c.id));
    /** Held calls that wait for the release guard time, ordered by its end. */
    private final TreeSet<PendingCall> deferredByReleaseTime = new TreeSet<>(
            Comparator.comparingDouble((PendingCall c) -> c.notBefore).thenComparingLong(c -> c.id));
    /** Cache of usable servers by class and allowed servers; each server-list update clears it. */
    private final Map<Object, List<Server>> usableServersCache = new HashMap<>();
    /** Whether the last choice skipped a server that accepts calls but would answer after the deadline. */
    private boolean skippedForDeadline;
    /** Dialled numbers whose lines are all busy, with the time until which this is assumed. */
    private final ExpiringNumbers busyNumbers = new ExpiringNumbers();
    /** Numbers of calls that got no service; until it expires, a new call to one counts as a redial. */
    private final ExpiringNumbers unservedNumbers = new ExpiringNumbers();
    /** Calls whose set-up was lost in the network or sent to a server that has restarted since. */
    private final Set<Long> lostSetUps = new TreeSet<>();
    /** Longest remaining time with which a call of each class was offered. */
    private final double[] maxTimeLeft;

    /** Due time of the sweep timer, or infinity while none runs. */
    private double nextSweepAt = Double.POSITIVE_INFINITY;

    private double lastEventAt = Double.NEGATIVE_INFINITY;
    /** Length of the pause before the present batch; 0 if there was none. */
    private double lastPause;
    /** Time lost to all pauses so far. */
    private double totalPaused;
    /** Number of established calls, decaying with {@link #RATE_WINDOW_MS}, and the time that it spans. */
    private double recentEstablished;

    private double recentEstablishedSpan;
    private double lastEstablishedAt = Double.NaN;
    private double completedCallTime;
    private int completedCalls;
    /** Shortest set-up delay of all servers. */
    private double bestDelay = Double.POSITIVE_INFINITY;
    /** Shortest time from now to an answer at any running server, computed once per batch. */
    private double minTimeToAnswer;
    /** Sum of the normal loads of all running servers, computed once per batch. */
    private double totalNormalLoad;
    /** Share of all lines that is in use, computed once per batch. */
    private double lineOccupancy;

    /** Bounded table of numbers with expiry times; the oldest entry is evicted first. */
    private static final class ExpiringNumbers extends LinkedHashMap<String, Double> {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
            return size() > MAX_REMEMBERED_NUMBERS;
        }

        boolean isActive(String number, double now) {
            return now < getOrDefault(number, Double.NEGATIVE_INFINITY);
        }
    }

    /** Properties on which the prospects of a held call depend, once it may be sent. */
    private record CallKind(int callClass, int rank, boolean rerouted, List<Integer> allowedServers) {}

    /**
     * Held calls of one kind that avoid the same server or, in transit, go to the same one. Deferred calls wait
     * for the release guard time. A group is unrestricted if its calls avoid no server and are not in transit.
     */
    private static final class CallGroup {
        final CallKind kind;
        final boolean unrestricted;
        final TreeSet<PendingCall> ready = new TreeSet<>(DISPATCH_ORDER);
        final TreeSet<PendingCall> deferred = new TreeSet<>(DISPATCH_ORDER);

        CallGroup(CallKind kind, boolean unrestricted) {
            this.kind = kind;
            this.unrestricted = unrestricted;
        }
    }

    /** Position in one ordered set of held calls; {@code group} is null for the calls near their deadline. */
    private static final class CallCursor {
        final CallGroup group;
        final TreeSet<PendingCall> calls;
        PendingCall current;

        CallCursor(CallGroup group, TreeSet<PendingCall> calls) {
            this.group = group;
            this.calls = calls;
            current = calls.isEmpty() ? null : calls.first();
        }
    }

    /** One call for which this front still has to give a final answer. */
    private static final class PendingCall {
        final long id;
        final int callClass;
        final int firstChoiceIndex;
        final String number;
        final double arrivedAt;
        final double deadline;
        final double aimDeadline;
        final boolean inTransit;
        final List<Integer> allowedServers;
        int rank;
        int attempts;
        boolean rerouted;
        Server currentServer;
        double sentAt;
        boolean cancelRequested;
        double notBefore;
        Server avoidedServer;
        CallGroup group;

        PendingCall(Call call, double now, double deadline, double aimDeadline) {
            id = call.id();
            callClass = call.callClass();
            number = call.number();
            firstChoiceIndex = call.firstChoiceIndex();
            inTransit = call.inTransit();
            allowedServers = call.allowedServers().stream().sorted().toList();
            arrivedAt = now;
            this.deadline = deadline;
            this.aimDeadline = aimDeadline;
        }
    }

    /** State that this front keeps of one server. */
    private static final class Server {
        final String id;
        int index;
        ServerState state = ServerState.RUNNING;
        boolean down;
        /** Whether set-ups go one at a time until an answer shows a wait below the first onset. */
        boolean reopening;

        int consecutiveFailures;
        double startedAt = Double.NEGATIVE_INFINITY;
        double minDelay = Double.POSITIVE_INFINITY;
        double waitEstimate;
        double waitEstimateAt;
        double meanWait;
        double waitVariance;
        int sampleCount;
        /** End of the time for which the server asked not to be tried again. */
        double retryAfterUntil = Double.NEGATIVE_INFINITY;

        double freeLines = Double.POSITIVE_INFINITY;
        double lines = Double.POSITIVE_INFINITY;
        double linesReportedAt = Double.NEGATIVE_INFINITY;
        int consecutiveRejections;
        double lastAnswerAt = Double.NEGATIVE_INFINITY;
        double lastSentAt = Double.NEGATIVE_INFINITY;
        double lastTestAt = Double.NEGATIVE_INFINITY;
        double nextPacedSendAt = Double.NEGATIVE_INFINITY;
        /** Token bucket for set-ups while the server is cold or throttled; it may be negative. */
        double tokens;

        double tokensUpdatedAt;
        /** Multiple of the fair interval between set-ups of this front; 0 if not throttled. */
        double throttle;
        /** Peak of lines in use, decaying with {@link #RATE_WINDOW_MS}. */
        double peakLinesInUse;
        /** Key of the weighted random draw; the lowest wins. */
        double selectionKey;

        double linesReportInterval;
        /** Random draw of this front: the number of available lines above which it sends; see {@link #hasFreeLine}. */
        double lineThreshold;
        /** Whether an attempt was reset or found the server unreachable since its last answer. */
        boolean connectionFailed;
        /** Ranks stopped since their onset and not yet released at their abatement. */
        final boolean[] stoppedRanks;
        /** Unanswered set-ups by call, oldest first, with the send time less the pauses until then. */
        final Map<Long, Double> unanswered = new LinkedHashMap<>();

        Server(String id, int ranks) {
            this.id = id;
            stoppedRanks = new boolean[ranks];
        }
    }

    /** Creates the policy of one front; an absent setting gets the most cautious value. */
    public CongestionControlPolicy(PolicySettings settings, PolicyActions actions) {
        this.settings = settings;
        this.actions = actions;
        random = new SplittableRandom(settings.seed());
        releaseGuard = settings.releaseGuard().orElse(0) + settings.tick().orElse(0);
        deadlineMargin = SWEEP_INTERVAL_MS + 2 * settings.tick().orElse(0);
        coldCapacityShare =
                Math.max(0.05, Math.min(1, settings.coldCapacityShare().orElse(0.25)));
        warmUpTime = Math.max(0, settings.warmUpTime().orElse(20_000));
        maxAttempts = Math.max(1, settings.maxAttempts().orElse(1));
        frontCount = Math.max(1, settings.fronts().orElse(1));
        mayCancel = settings.mayCancel().orElse(false);
        mayProbe = settings.mayProbe().orElse(false);
        double minAim = Double.POSITIVE_INFINITY;
        TreeSet<Double> distinct = new TreeSet<>();
        for (CallClass callClass : settings.classes()) {
            minAim = Math.min(minAim, aim(callClass));
            distinct.add(callClass.worth().orElse(1));
            distinct.add(callClass.worth().orElse(1) * callClass.lateShare().orElse(0));
        }
        worths = distinct.stream().mapToDouble(Double::doubleValue).toArray();
        double aimBudget = WAIT_BUDGET_SHARE_OF_AIM * (minAim == Double.POSITIVE_INFINITY ? DEFAULT_AIM_MS : minAim);
        // A set-up that is retransmitted because it waits is wasted work: the budget ends before that.
        double retransmitAfter = settings.retransmitAfter().orElse(0);
        waitBudget = retransmitAfter > 0 ? Math.min(aimBudget, retransmitAfter) : aimBudget;
        maxTimeLeft = new double[settings.classes().size()];
        if (settings.serverListOnRequest().orElse(false)) {
            this.actions.followServerList();
        }
    }

    private static double aim(CallClass callClass) {
        return callClass.aim().orElse(callClass.deadline().orElse(DEFAULT_AIM_MS));
    }

    // ---- Events -----------------------------------------------------------------------------------------

    @Override
    public void onServerListUpdate(double now, boolean full, List<ServerEntry> entries) {
        detectPause(now);
        usableServersCache.clear();
        if (full) {
            TreeSet<String> listedIds = new TreeSet<>();
            entries.forEach(entry -> listedIds.add(entry.id()));
            servers.values().stream()
                    .filter(server -> !listedIds.contains(server.id))
                    .forEach(server -> server.state = ServerState.GONE);
        }
        for (ServerEntry entry : entries) {
            Server server = servers.computeIfAbsent(entry.id(), id -> new Server(id, worths.length));
            server.index = entry.index();
            server.state = entry.state();
            double startedAt = entry.startedAt().orElse(Double.NEGATIVE_INFINITY);
            if (startedAt > server.startedAt) {
                beginWarmUp(server, startedAt, now);
            }
        }
        if (servers.size() > MAX_REMEMBERED_SERVERS) {
            servers.values().removeIf(server -> server.state == ServerState.GONE);
        }
    }

    @Override
    public void onServerListFailure(double now) {
        actions.startTimer(SERVER_LIST_RETRY_MS, SERVER_LIST_TIMER_TOKEN);
    }

    @Override
    public void onCallOffered(double now, Call call) {
        detectPause(now);
        CallClass callClass = settings.classes().get(call.callClass());
        // Guards against many calls to one number: while all its lines are busy, a set-up for it is wasted.
        if (busyNumbers.isActive(call.number(), now)) {
            actions.refuseCall(call.id(), randomRetryAfter());
            return;
        }
        // A paused front is offered its calls late: their remaining time is shorter than usual by the delay.
        maxTimeLeft[call.callClass()] = Math.max(maxTimeLeft[call.callClass()], call.timeLeft());
        double lateness = Math.min(lastPause, maxTimeLeft[call.callClass()] - call.timeLeft());
        PendingCall pendingCall = new PendingCall(
                call,
                now,
                now + call.timeLeft() - deadlineMargin,
                call.redialled() || unservedNumbers.isActive(call.number(), now)
                        ? now
                        : now + aim(callClass) - lateness);
        pendingCalls.put(pendingCall.id, pendingCall);
        unrankedCalls.add(pendingCall);
    }

    @Override
    public void onCallEstablished(double now, long callId, String serverId, int attempt, double delay) {
        detectPause(now);
        Server server = servers.get(serverId);
        if (server != null) {
            recordAnswer(server, callId, delay, now, true);
        }
        pendingCalls.remove(callId);
    }

    @Override
    public void onAttemptOutcome(double now, AttemptOutcome outcome) {
        detectPause(now);
        Server server = servers.get(outcome.serverId());
        PendingCall call = pendingCalls.get(outcome.callId());
        boolean wasAwaited =
                call != null && call.currentServer != null && call.currentServer.id.equals(outcome.serverId());
        if (server != null) {
            recordOutcome(server, outcome, wasAwaited, now);
        }
        if (outcome.terminal()) {
            pendingCalls.remove(outcome.callId());
            return;
        }
        if (call == null) {
            // A cancel took effect after the call was established: its final answer is pending again.
            actions.failCall(outcome.callId());
            return;
        }
        if (outcome.reason() == RejectReason.NUMBER_BUSY) {
            busyNumbers.merge(call.number, now + negativeObservationLifetime(), Math::max);
        }
        call.currentServer = null;
        call.cancelRequested = false;
        lostSetUps.remove(call.id);
        call.avoidedServer = server;
        call.rerouted = true;
        if (outcome.status() == AttemptStatus.TIMED_OUT
                || outcome.status() == AttemptStatus.RESET
                || outcome.status() == AttemptStatus.CANCELLED) {
            // What the attempt occupies is freed only by its release, so wait for the guard time.
            call.notBefore = now + releaseGuard;
        }
        boolean giveUp = outcome.reason() == RejectReason.NUMBER_BUSY
                || call.attempts >= maxAttempts
                || Math.max(now, call.notBefore) >= call.deadline
                || call.inTransit;
        if (giveUp) {
            pendingCalls.remove(call.id);
            rememberUnserved(call);
            actions.failCall(call.id);
        } else {
            unrankedCalls.add(call);
        }
    }

    @Override
    public void onCallAbandoned(double now, long callId) {
        detectPause(now);
        PendingCall call = pendingCalls.remove(callId);
        if (call != null) {
            stopHolding(call);
            rememberUnserved(call);
        }
    }

    @Override
    public void onProbeResult(
            double now, String serverId, boolean requested, boolean answered, double delay, ServerLoadReport report) {
        detectPause(now);
        Server server = servers.get(serverId);
        if (server == null) {
            return;
        }
        applyReport(server, report, now);
        if (requested && answered) {
            markAlive(server, now);
        } else if (requested) {
            server.consecutiveFailures++;
        }
    }

    @Override
    public void onMessage(double now, int from, byte[] body) {} // Messages of other fronts are not trusted.

    @Override
    public void onTimer(double now, long token) {
        detectPause(now);
        if (token == SERVER_LIST_TIMER_TOKEN) {
            actions.followServerList();
            return;
        }
        nextSweepAt = Double.POSITIVE_INFINITY;
    }

    @Override
    public void onBatchEnd(double now) {
        detectPause(now);
        updateAggregates(now);
        lostSetUps.removeIf(id -> !pendingCalls.containsKey(id) || pendingCalls.get(id).currentServer == null);
        lostSetUps.forEach(id -> cancelIfTimeLeft(pendingCalls.get(id), now));
        for (Server server : servers.values()) {
            cancelSilentAttempts(server, now);
            if (server.down
                    && mayProbe
                    && now >= server.lastTestAt + testInterval(server)
                    && server.state == ServerState.RUNNING) {
                server.lastTestAt = now;
                actions.sendProbe(server.id);
            }
        }
        updateRanks(now);
        dispatch(now);
        boolean attemptsPending = servers.values().stream().anyMatch(server -> !server.unanswered.isEmpty());
        if ((attemptsPending || !heldByDeadline.isEmpty()) && nextSweepAt == Double.POSITIVE_INFINITY) {
            nextSweepAt = now + SWEEP_INTERVAL_MS;
            actions.startTimer(SWEEP_INTERVAL_MS, SWEEP_TIMER_TOKEN);
        }
    }

    /** Detects by a late sweep timer that this front was paused, and bounds the length of the pause. */
    private void detectPause(double now) {
        if (now > lastEventAt) {
            lastPause = Math.max(0, now - Math.max(lastEventAt, nextSweepAt) - deadlineMargin);
            totalPaused += lastPause;
            lastEventAt = now;
        }
    }

    // ---- Wait estimate ----------------------------------------------------------------------------------

    /** Returns the wait that a set-up sent now would meet: the decayed estimate, or more if silence proves it. */
    private double expectedWait(Server server, double now) {
        return Math.max(decayedEstimate(server, now), waitProvedBySilence(server, now));
    }

    /**
     * Returns the wait estimate, decayed since the last sample. It falls by 1 ms per ms, as the queue of a processor
     * without new work does; above the wait budget it falls more slowly, as any set-up there is already too much.
     */
    private double decayedEstimate(Server server, double now) {
        double rate = server.waitEstimate > waitBudget
                ? Math.max(MIN_ESTIMATE_DECAY_RATE, waitBudget / server.waitEstimate)
                : 1;
        return Math.max(
                Math.min(server.meanWait, server.waitEstimate),
                server.waitEstimate - rate * (now - server.waitEstimateAt));
    }

    /** Returns a lower bound of the wait: the age of the oldest unanswered set-up less the unloaded delay. */
    private double waitProvedBySilence(Server server, double now) {
        double oldest = server.unanswered.isEmpty()
                ? now
                : server.unanswered.values().iterator().next();
        return Math.max(0, now - totalPaused - oldest - unloadedDelay(server));
    }

    /** Records an answer of the server; {@code delay} is a sample of the wait only if the call is established. */
    private void recordAnswer(Server server, long callId, double delay, double now, boolean established) {
        discardOvertaken(server, server.unanswered.remove(callId));
        server.lastAnswerAt = now;
        markAlive(server, now);
        if (!established) {
            return;
        }
        double decay = Math.exp((lastEstablishedAt - now) / RATE_WINDOW_MS);
        recentEstablished = Double.isNaN(decay) ? 1 : recentEstablished * decay + 1;
        recentEstablishedSpan = Double.isNaN(decay) ? 0 : recentEstablishedSpan * decay + (now - lastEstablishedAt);
        lastEstablishedAt = now;
        server.consecutiveRejections = 0;
        server.minDelay = Math.min(server.minDelay, delay);
        bestDelay = Math.min(bestDelay, delay);
        double excess = delay - unloadedDelay(server);
        if (lastPause > 0 && excess >= onset(server, 0) && (excess -= lastPause) < onset(server, 0)) {
            return; // Part of this delay was a pause of this front; the rest is no evidence of congestion.
        }
        setEstimate(
                server,
                server.sampleCount == 0
                        ? excess
                        : expectedWait(server, now) + FAST_SMOOTHING_WEIGHT * (excess - expectedWait(server, now)),
                now);
        server.sampleCount++;
        adjustThrottle(server, excess, THROTTLE_DECAY, now);
        server.reopening &= expectedWait(server, now) >= onset(server, 0);
        // The server copes with its load: allow the next set-up as far as one of each front fits the budget.
        server.tokens += expectedWait(server, now) < onset(server, 0)
                ? Math.min(1, warmUpShare(server, now) * waitBudget / fairInterval(server))
                : 0;
        if (warmUpShare(server, now) >= 1) {
            // Longer waits count as the first onset, so that congestion is not learnt as normal operation.
            double wait = Math.min(excess, onset(server, 0));
            double weight = Math.max(MIN_SLOW_SMOOTHING_WEIGHT, 1.0 / server.sampleCount);
            server.waitVariance += weight * ((wait - server.meanWait) * (wait - server.meanWait) - server.waitVariance);
            server.meanWait += weight * (wait - server.meanWait);
        }
    }

    /** Adjusts the throttle to a wait: increases it from the first onset, lowers it up to the first abatement. */
    private void adjustThrottle(Server server, double wait, double decay, double now) {
        if (wait >= onset(server, 0)) {
            increaseThrottle(server, wait, now);
        } else if (wait <= abatement(server, 0)) {
            server.throttle *= Math.pow(decay, throttleGain(server));
            server.throttle = server.throttle < THROTTLE_OFF_BELOW ? 0 : server.throttle;
        }
    }

    /** Increases the throttle of a server, the more so the longer the wait. */
    private void increaseThrottle(Server server, double wait, double now) {
        if (server.throttle == 0 && warmUpShare(server, now) >= 1) {
            server.tokens = random.nextDouble();
            server.tokensUpdatedAt = now;
        }
        server.throttle = Math.min(
                MAX_THROTTLE,
                Math.max(1, server.throttle) * Math.pow(1 + Math.min(1, wait / waitBudget), throttleGain(server)));
    }

    /** Returns the exponent that limits a change of the throttle to the speed at which it can take effect. */
    private double throttleGain(Server server) {
        return Math.min(1, fairInterval(server) / THROTTLE_EFFECT_MS);
    }

    /**
     * Guards against set-ups lost in the network. A processor serves one queue in order, so a set-up that is still
     * unanswered when a later one has been answered does not wait there: it is no sample of the wait, and its call
     * is tried again.
     */
    private void discardOvertaken(Server server, Double sentAt) {
        if (sentAt == null) {
            return;
        }
        double overtakenBefore = sentAt - unloadedDelay(server);
        for (Iterator<Map.Entry<Long, Double>> entries =
                        server.unanswered.entrySet().iterator();
                entries.hasNext(); ) {
            Map.Entry<Long, Double> earlier = entries.next();
            if (earlier.getValue() >= overtakenBefore) {
                return;
            }
            lostSetUps.add(earlier.getKey());
            entries.remove();
        }
    }

    /**
     * Returns the delay of a set-up that meets no wait. For a server seen only under load, it is bounded by the best
     * delay of all servers.
     */
    private double unloadedDelay(Server server) {
        double delay = Math.min(server.minDelay, bestDelay + MAX_FIRST_ONSET_SHARE * waitBudget);
        return delay == Double.POSITIVE_INFINITY ? 0 : delay;
    }

    private void setEstimate(Server server, double value, double now) {
        server.waitEstimate = value;
        server.waitEstimateAt = now;
    }

    /**
     * Applies a server's report of its load. A reported wait is late and may miss a queue that is filling, so it only
     * ever raises the estimate.
     */
    private void applyReport(Server server, ServerLoadReport report, double now) {
        if (report.freeLines().isPresent()) {
            server.freeLines = report.freeLines().getAsDouble();
            server.lines = report.lines().orElse(server.lines);
            double decayedPeak =
                    server.peakLinesInUse * Math.exp(Math.min(0, server.linesReportedAt - now) / RATE_WINDOW_MS);
            server.peakLinesInUse = Math.max(server.lines - server.freeLines, decayedPeak);
            server.linesReportInterval = Math.min(negativeObservationLifetime(), now - server.linesReportedAt);
            server.lineThreshold = random.nextDouble() * frontCount;
            server.linesReportedAt = now;
        }
        // Each queued set-up takes one fair interval of all fronts together, longer if the server is throttled.
        double perSetUp = Math.min(1, report.utilization().orElse(1))
                * fairInterval(server)
                * Math.max(1, server.throttle)
                / frontCount;
        double wait = report.processorWait().orElse(report.queueLength().orElse(0) * perSetUp);
        boolean waitReported =
                report.processorWait().isPresent() || report.queueLength().isPresent();
        if (waitReported && (report.utilization().orElse(0) < SATURATED_UTILIZATION || wait >= onset(server, 0))) {
            adjustThrottle(
                    server,
                    wait,
                    Math.min(THROTTLE_DECAY, report.utilization().orElse(THROTTLE_DECAY) / SATURATED_UTILIZATION),
                    now);
        }
        if (wait > decayedEstimate(server, now)) {
            setEstimate(
                    server,
                    decayedEstimate(server, now) + FAST_SMOOTHING_WEIGHT * (wait - decayedEstimate(server, now)),
                    now);
        }
    }

    /**
     * Returns whether the server may have a free line for a call of this rank. This guards the worth of calls where
     * lines run short before the processor does, which the wait does not show. Each rank leaves some lines to the
     * next higher one. If fewer lines become available before the next report than there are fronts, each front
     * decides by a random draw whether it sends. An old report that no line is free is ignored.
     */
    private boolean hasFreeLine(Server server, int rank, double now) {
        if (server.freeLines <= 0
                ? now >= server.linesReportedAt + negativeObservationLifetime()
                : server.freeLines == Double.POSITIVE_INFINITY) {
            return true;
        }
        double reservedLines = (worths.length - 1 - rank) * RESERVED_LINES_DEVIATIONS * Math.sqrt(server.lines);
        double expectedReleases = completedCalls > 0
                ? server.peakLinesInUse * server.linesReportInterval / (completedCallTime / completedCalls)
                : 0;
        return server.freeLines > reservedLines
                && server.freeLines - reservedLines + expectedReleases > server.lineThreshold;
    }

    /** Records what the outcome of an attempt shows about its server. */
    private void recordOutcome(Server server, AttemptOutcome outcome, boolean wasAwaited, double now) {
        if (outcome.status() != AttemptStatus.COMPLETED && outcome.status() != AttemptStatus.ERROR) {
            server.unanswered.remove(outcome.callId());
        }
        switch (outcome.status()) {
            case COMPLETED, ERROR -> {
                if (outcome.status() == AttemptStatus.COMPLETED) {
                    completedCallTime += outcome.delay();
                    completedCalls++;
                }
                recordAnswer(server, outcome.callId(), outcome.delay(), now, false);
                applyReport(server, outcome.report(), now);
            }
            case FULL -> {
                applyReport(server, outcome.report(), now);
                server.lastAnswerAt = now;
                if (outcome.reason() == RejectReason.NO_LINE) {
                    server.freeLines = 0;
                    server.linesReportedAt = now;
                }
                if (outcome.reason() == RejectReason.PROCESSOR_FULL || outcome.reason() == RejectReason.BEYOND_FULL) {
                    // Stops all ranks but the top one until abatement; a Retry-After stops all ranks. This
                    // guards against a server that rejects everything at once: consecutive rejections, with no
                    // call established between them, close it for longer, so that its quick answers attract no calls.
                    server.consecutiveRejections++;
                    double closedFor =
                            waitBudget * (1 + Math.min(server.consecutiveRejections, 2 * DOWN_AFTER_FAILURES));
                    setEstimate(server, Math.max(expectedWait(server, now), closedFor), now);
                    server.retryAfterUntil = Math.max(
                            server.retryAfterUntil, now + outcome.retryAfter().orElse(0));
                    increaseThrottle(server, waitBudget, now);
                }
            }
            case TIMED_OUT, CANCELLED -> {
                if (wasAwaited && !lostSetUps.contains(outcome.callId())) {
                    // The wait that the silence proved remains after the set-up is given up.
                    setEstimate(
                            server, Math.max(expectedWait(server, now), outcome.delay() - unloadedDelay(server)), now);
                    increaseThrottle(server, waitBudget, now);
                }
                if (wasAwaited && server.lastAnswerAt < now - Math.max(outcome.delay(), waitBudget)) {
                    recordFailure(server, now);
                }
            }
            case RESET, UNREACHABLE -> {
                // A reset of a set-up after later answers happened in the network: the server process is alive.
                if (outcome.status() == AttemptStatus.UNREACHABLE || server.lastAnswerAt < now - outcome.delay()) {
                    server.connectionFailed = true;
                    recordFailure(server, now);
                }
            }
            default -> {}
        }
    }

    /** Records a failure. This guards against a server that died before a server-list update says so. */
    private void recordFailure(Server server, double now) {
        if (++server.consecutiveFailures >= DOWN_AFTER_FAILURES && !server.down) {
            server.down = true;
            server.lastTestAt = now;
            server.unanswered.keySet().removeIf(id -> !pendingCalls.containsKey(id));
        }
    }

    /**
     * Marks a server as alive. One that was down after connection failures has probably restarted and is cold; one
     * that was merely silent is only throttled.
     */
    private void markAlive(Server server, double now) {
        server.consecutiveFailures = 0;
        if (server.down && server.connectionFailed) {
            beginWarmUp(server, now, now);
        } else if (server.down) {
            server.down = false;
            increaseThrottle(server, waitBudget, now);
        }
        server.connectionFailed = false;
    }

    // ---- Levels -----------------------------------------------------------------------------------------

    /** Returns the onset level of a rank; that of rank + 1 is the discard level of the rank. */
    private double onset(Server server, int rank) {
        double firstOnset = server.meanWait + ONSET_DEVIATIONS * Math.sqrt(server.waitVariance);
        firstOnset =
                Math.max(MIN_FIRST_ONSET_SHARE * waitBudget, Math.min(MAX_FIRST_ONSET_SHARE * waitBudget, firstOnset));
        return firstOnset + (waitBudget - firstOnset) * rank / worths.length;
    }

    /** Returns the abatement level of a rank, half way between the wait of normal operation and the onset. */
    private double abatement(Server server, int rank) {
        double normalWait = Math.min(server.meanWait, onset(server, 0));
        return (normalWait + onset(server, rank)) / 2;
    }

    /** Returns whether a server is open to calls of this rank by its levels and its free lines. */
    private boolean isOpen(Server server, int rank, double now) {
        double wait = expectedWait(server, now);
        for (int i = 0; i < server.stoppedRanks.length; i++) {
            server.stoppedRanks[i] = wait >= onset(server, i) || server.stoppedRanks[i] && wait > abatement(server, i);
        }
        if (now < server.retryAfterUntil || !hasFreeLine(server, rank, now)) {
            return false;
        }
        // Guards against sending many set-ups to an unproven server: each one waits for the answer to the last.
        server.reopening |= server.stoppedRanks[0];
        boolean cautious =
                server.reopening || warmUpShare(server, now) < 1 || server.sampleCount < MIN_SAMPLES_OF_KNOWN_SERVER;
        if (!server.stoppedRanks[rank] && !(cautious && !server.unanswered.isEmpty())) {
            return true;
        }
        // If only silence stops the server, one or two more set-ups test whether the silent one was merely lost.
        return server.throttle <= 1
                && !server.unanswered.isEmpty()
                && server.unanswered.size() <= MAX_SILENCE_TEST_SET_UPS
                && decayedEstimate(server, now) < onset(server, 0)
                && now - server.lastSentAt > unloadedDelay(server) + onset(server, 0);
    }

    /** Returns a call's rank: the index of the worth that it can still earn, which is its late worth past the aim. */
    private int rankOf(PendingCall call, boolean isPastAim) {
        CallClass callClass = settings.classes().get(call.callClass);
        double worth =
                callClass.worth().orElse(1) * (isPastAim ? callClass.lateShare().orElse(0) : 1);
        return Math.max(0, Arrays.binarySearch(worths, worth));
    }

    /** Ranks the calls new in this batch, and again those that have crossed their aim in either direction. */
    private void updateRanks(double now) {
        for (PendingCall call : unrankedCalls) {
            heldByDeadline.add(call);
            boolean isPastAim = now + minTimeToAnswer >= call.aimDeadline;
            call.rank = rankOf(call, isPastAim);
            (isPastAim ? callsPastAim : callsBeforeAim).add(call);
            addToGroup(call, now);
        }
        unrankedCalls.clear();
        while (!callsBeforeAim.isEmpty() && now + minTimeToAnswer >= callsBeforeAim.first().aimDeadline) {
            moveAcrossAim(callsBeforeAim.first(), callsBeforeAim, callsPastAim, now);
        }
        while (!callsPastAim.isEmpty() && now + minTimeToAnswer < callsPastAim.last().aimDeadline) {
            moveAcrossAim(callsPastAim.last(), callsPastAim, callsBeforeAim, now);
        }
        while (!deferredByReleaseTime.isEmpty() && now >= deferredByReleaseTime.first().notBefore) {
            PendingCall call = deferredByReleaseTime.pollFirst();
            call.group.deferred.remove(call);
            call.group.ready.add(call);
        }
    }

    private void moveAcrossAim(PendingCall call, TreeSet<PendingCall> from, TreeSet<PendingCall> to, double now) {
        from.remove(call);
        to.add(call);
        removeFromGroup(call);
        call.rank = rankOf(call, to == callsPastAim);
        addToGroup(call, now);
    }

    private void addToGroup(PendingCall call, double now) {
        CallKind kind = new CallKind(call.callClass, call.rank, call.rerouted, call.allowedServers);
        String avoidedId = call.avoidedServer == null ? "" : call.avoidedServer.id;
        call.group = groups.computeIfAbsent(
                List.of(kind, avoidedId, call.inTransit ? call.firstChoiceIndex : -1),
                key -> new CallGroup(kind, call.avoidedServer == null && !call.inTransit));
        if (now >= call.notBefore) {
            call.group.ready.add(call);
        } else {
            call.group.deferred.add(call);
            deferredByReleaseTime.add(call);
        }
    }

    private void removeFromGroup(PendingCall call) {
        call.group.ready.remove(call);
        call.group.deferred.remove(call);
        deferredByReleaseTime.remove(call);
        call.group = null;
    }

    /** Removes a call from all structures of held calls. */
    private void stopHolding(PendingCall call) {
        unrankedCalls.remove(call);
        if (call.group != null) {
            removeFromGroup(call);
            callsBeforeAim.remove(call);
            callsPastAim.remove(call);
            heldByDeadline.remove(call);
        }
    }

    // ---- Choice -----------------------------------------------------------------------------------------

    private List<Server> usableServers(PendingCall call) {
        return call.inTransit
                ? findUsableServers(call)
                : usableServersCache.computeIfAbsent(
                        List.of(call.callClass, call.allowedServers), key -> findUsableServers(call));
    }

    private List<Server> findUsableServers(PendingCall call) {
        List<Integer> allowed =
                settings.classes().get(call.callClass).allowedServers().orElse(List.of());
        int ownIndex = settings.ownIndex().orElse(-1);
        List<Server> usable = new ArrayList<>();
        for (Server server : servers.values()) {
            boolean eligible = call.inTransit
                    ? server.index == call.firstChoiceIndex
                    : (ownIndex < 0 || server.index != ownIndex)
                            && (allowed.isEmpty() || allowed.contains(server.index))
                            && (call.allowedServers.isEmpty() || call.allowedServers.contains(server.index));
            if (eligible && server.state == ServerState.RUNNING) {
                usable.add(server);
            }
        }
        return usable;
    }

    /**
     * Returns the first choice if it is open. Otherwise returns, of two servers drawn from the open ones, the one
     * with fewer unanswered set-ups of this front; null if no server takes the call now.
     */
    private Server chooseServer(PendingCall call, List<Server> usable, double now) {
        List<Server> open = new ArrayList<>();
        Server firstChoice = null;
        skippedForDeadline = false;
        for (Server server : usable) {
            boolean inTime = now + unloadedDelay(server) + expectedWait(server, now) < call.deadline;
            boolean paceAllows = !call.rerouted || now >= server.nextPacedSendAt;
            boolean accepts = !server.down && isOpen(server, call.rank, now);
            skippedForDeadline |= accepts && !inTime;
            if (accepts && inTime && paceAllows && hasSendToken(server, call.rank, now)) {
                if (server.index == call.firstChoiceIndex && server != call.avoidedServer) {
                    firstChoice = server;
                }
                open.add(server);
            }
        }
        if (firstChoice != null) {
            return firstChoice;
        }
        if (open.isEmpty()) {
            return chooseServerToTest(call, usable, now);
        }
        if (open.size() > 1) {
            open.remove(call.avoidedServer);
        }
        // Draws are weighted by normal load: the calls that a large server rejects would overload a small one.
        open.forEach(server -> server.selectionKey = -Math.log(1 - random.nextDouble()) / normalLoad(server));
        open.sort(Comparator.comparingDouble(server -> server.selectionKey));
        Server candidate = open.get(0);
        Server alternative = open.get(Math.min(1, open.size() - 1));
        return alternative.unanswered.size() < candidate.unanswered.size() ? alternative : candidate;
    }

    /**
     * Returns a server to test with this set-up while none is open: one that is down or rejects everything, once
     * per test interval. A server that is only congested needs no test: its estimate decays until it is open for
     * one set-up.
     */
    private Server chooseServerToTest(PendingCall call, List<Server> usable, double now) {
        for (Server server : usable) {
            boolean testDue = now >= Math.max(server.lastSentAt, server.lastTestAt) + testInterval(server)
                    && now >= server.retryAfterUntil;
            boolean testedBySetUp = server.down ? !mayProbe : server.consecutiveRejections >= DOWN_AFTER_FAILURES;
            if (testDue
                    && testedBySetUp
                    && server.unanswered.isEmpty()
                    && server != call.avoidedServer
                    && hasSendToken(server, call.rank, now)) {
                server.lastTestAt = now;
                return server;
            }
        }
        return null;
    }

    private double testInterval(Server server) {
        return Math.max(negativeObservationLifetime(), fairInterval(server));
    }

    /** Returns the time for which one negative observation, such as a busy number or a failed test, is trusted. */
    private double negativeObservationLifetime() {
        return Math.max(releaseGuard, 2 * waitBudget);
    }

    /**
     * Returns the fair interval: the time between set-ups of this front to a server if all fronts together kept it
     * at its normal share of established calls. Lines in use show these shares at once and to all fronts.
     * Allowances are counted in fair intervals, so that those of all fronts, be they 5 or 500, add up to the
     * capacity of a server.
     */
    private double fairInterval(Server server) {
        double byOwnRate = Math.max(1, totalNormalLoad / normalLoad(server))
                * Math.max(recentEstablishedSpan, waitBudget)
                / Math.max(1, recentEstablished);
        return lineOccupancy > 0 && completedCalls > 0
                ? Math.min(byOwnRate, frontCount * completedCallTime / completedCalls / normalLoad(server))
                : byOwnRate;
    }

    /**
     * Returns the normal load of a server: the recent peak of its lines in use. A server with a known start time may be
     * new and counts at least with the average occupancy of its lines. Where lines are unknown, all servers count the
     * same.
     */
    private double normalLoad(Server server) {
        double peak = server.startedAt > Double.NEGATIVE_INFINITY
                ? Math.max(server.peakLinesInUse, lineOccupancy * server.lines)
                : server.peakLinesInUse;
        return lineOccupancy <= 0 || server.lines == Double.POSITIVE_INFINITY ? 1 : Math.max(1, peak);
    }

    private void updateAggregates(double now) {
        minTimeToAnswer = Double.POSITIVE_INFINITY;
        double linesInUse = 0;
        double lines = 0;
        for (Server server : servers.values()) {
            if (server.state == ServerState.RUNNING && !server.down) {
                minTimeToAnswer = Math.min(
                        minTimeToAnswer,
                        unloadedDelay(server)
                                + Math.min(waitBudget, Math.max(expectedWait(server, now), onset(server, 0))));
                linesInUse += server.peakLinesInUse;
                lines += server.lines;
            }
        }
        minTimeToAnswer = minTimeToAnswer == Double.POSITIVE_INFINITY ? 0 : minTimeToAnswer;
        lineOccupancy = lines > 0 ? linesInUse / lines : 0;
        totalNormalLoad = 0;
        for (Server server : servers.values()) {
            totalNormalLoad += server.state == ServerState.RUNNING && !server.down ? normalLoad(server) : 0;
        }
    }

    // ---- Holding and paced dispatch -----------------------------------------------------------------------

    /**
     * Returns whether to hold a call. It is refused at once if it may use no server, if its deadline is near, or if
     * all servers are past its discard level.
     */
    private boolean shouldHold(PendingCall call, List<Server> usable, double now) {
        if (usable.isEmpty() || now >= call.deadline - waitBudget) {
            return false;
        }
        for (Server server : usable) {
            if (server.down || expectedWait(server, now) < onset(server, call.rank + 1)) {
                return true;
            }
        }
        return false;
    }

    private void refuse(PendingCall call, double now) {
        stopHolding(call);
        pendingCalls.remove(call.id);
        rememberUnserved(call);
        actions.refuseCall(call.id, randomRetryAfter());
    }

    /**
     * Remembers the number of a call that got no service. Its caller will redial, whether marked as a redial or not,
     * and the new call has missed its aim from the start.
     */
    private void rememberUnserved(PendingCall call) {
        unservedNumbers.putIfAbsent(
                call.number,
                call.arrivedAt
                        + settings.classes().get(call.callClass).deadline().orElse(DEFAULT_AIM_MS));
    }

    /** Returns a random Retry-After time, so that redials do not arrive in step. */
    private double randomRetryAfter() {
        return settings.maxRetryAfter().orElse(0) * (0.5 + 0.5 * random.nextDouble());
    }

    /**
     * Sends the calls that may go, highest rank first, and holds the others or refuses them if holding is of no use.
     * Within one batch servers only close. So if one call must be held, later ones of its kind must be held, too;
     * if the call avoids a server, that goes for the later ones of its group. A batch therefore visits only one held
     * call per group, the calls that it sends or refuses, and those near their deadline.
     */
    private void dispatch(double now) {
        Set<CallKind> closedKinds = new HashSet<>();
        PriorityQueue<CallCursor> cursors = new PriorityQueue<>((a, b) -> DISPATCH_ORDER.compare(a.current, b.current));
        TreeSet<PendingCall> nearDeadline = new TreeSet<>(DISPATCH_ORDER);
        for (PendingCall call : heldByDeadline) {
            if (now < call.deadline - waitBudget) {
                break;
            }
            nearDeadline.add(call);
            call.group.ready.remove(call);
            call.group.deferred.remove(call);
        }
        groups.values().removeIf(callGroup -> callGroup.ready.isEmpty() && callGroup.deferred.isEmpty());
        List<CallGroup> firstTimeGroups = groups.values().stream()
                .filter(callGroup -> !callGroup.kind.rerouted)
                .toList();
        for (CallGroup callGroup : groups.values()) {
            enqueue(cursors, new CallCursor(callGroup, callGroup.ready));
            if (!callGroup.deferred.isEmpty()
                    && !shouldHold(callGroup.deferred.first(), usableServers(callGroup.deferred.first()), now)) {
                enqueue(cursors, new CallCursor(callGroup, callGroup.deferred));
            }
        }
        enqueue(cursors, new CallCursor(null, nearDeadline));
        while (!cursors.isEmpty()) {
            CallCursor cursor = cursors.poll();
            if (cursor.group != null && closedKinds.contains(cursor.group.kind)) {
                continue;
            }
            PendingCall call = cursor.current;
            cursor.current = cursor.calls.higher(call);
            if (tryDispatch(call, cursor.group, closedKinds, now) && cursor.current != null) {
                cursors.add(cursor);
            }
        }
        // The calls that remain count as rerouted: they are sent at the paced rate from now on.
        for (CallGroup callGroup : firstTimeGroups) {
            for (PendingCall call : List.copyOf(callGroup.ready)) {
                removeFromGroup(call);
                call.rerouted = true;
                addToGroup(call, now);
            }
        }
    }

    private static void enqueue(PriorityQueue<CallCursor> cursors, CallCursor cursor) {
        if (cursor.current != null) {
            cursors.add(cursor);
        }
    }

    /** Sends, refuses or keeps one held call; returns whether the next call of its group may have another result. */
    private boolean tryDispatch(PendingCall call, CallGroup group, Set<CallKind> closedKinds, double now) {
        List<Server> usable = usableServers(call);
        Server server = now >= call.notBefore ? chooseServer(call, usable, now) : null;
        if (server != null) {
            stopHolding(call);
            server.nextPacedSendAt =
                    call.rerouted ? now + fairInterval(server) / PACED_RATE_MULTIPLE : server.nextPacedSendAt;
            sendSetUp(call, server, now);
            return true;
        }
        if (!shouldHold(call, usable, now)) {
            refuse(call, now);
            return true;
        }
        if (group.unrestricted) {
            closedKinds.add(group.kind);
        }
        return skippedForDeadline && !group.unrestricted;
    }

    private void sendSetUp(PendingCall call, Server server, double now) {
        call.currentServer = server;
        call.sentAt = now;
        call.attempts++;
        server.lastSentAt = now;
        server.unanswered.put(call.id, now - totalPaused);
        server.tokens--;
        server.freeLines = Math.max(0, server.freeLines - 1);
        actions.sendSetUp(call.id, server.id, call.deadline);
    }

    // ---- Guards -----------------------------------------------------------------------------------------

    /**
     * Guards calls against a server that has become silent: cancels an attempt if the server has answered nothing
     * since it was sent and another server is open.
     */
    private void cancelSilentAttempts(Server server, double now) {
        double maxSilence = unloadedDelay(server) + waitBudget + 2 * server.waitEstimate;
        for (Map.Entry<Long, Double> attempt : server.unanswered.entrySet()) {
            PendingCall call = pendingCalls.get(attempt.getKey());
            if (now - totalPaused - attempt.getValue() <= maxSilence) {
                break;
            }
            if (call != null && server.lastAnswerAt < call.sentAt && isOpenElsewhere(call, now)) {
                cancelIfTimeLeft(call, now);
            }
        }
    }

    /** Cancels the attempt of a call if enough time remains to try another server. */
    private void cancelIfTimeLeft(PendingCall call, double now) {
        boolean timeToReroute = now + releaseGuard + waitBudget < call.deadline && call.attempts < maxAttempts;
        if (mayCancel && timeToReroute && !call.cancelRequested) {
            call.cancelRequested = true;
            actions.cancelAttempt(call.id, call.attempts - 1);
        }
    }

    private boolean isOpenElsewhere(PendingCall call, double now) {
        for (Server server : usableServers(call)) {
            if (server != call.currentServer && !server.down && isOpen(server, call.rank, now)) {
                return true;
            }
        }
        return false;
    }

    /** Begins the warm-up of a server: until it is warm, it gets no more than this front's share of its capacity. */
    private void beginWarmUp(Server server, double startedAt, double now) {
        server.startedAt = startedAt;
        server.down = false;
        server.consecutiveFailures = 0;
        // All fronts learn of a start at once: a random part of the first token keeps them out of step.
        server.tokens = random.nextDouble();
        server.tokensUpdatedAt = now;
        server.throttle = 0;
        lostSetUps.addAll(server.unanswered.keySet());
        server.unanswered.clear();
        setEstimate(server, server.meanWait, now);
    }

    /** Returns the share of its capacity that a server has certainly reached since its start. */
    private double warmUpShare(Server server, double now) {
        double age = now - server.startedAt;
        return age >= warmUpTime ? 1 : coldCapacityShare + (1 - coldCapacityShare) * Math.max(0, age) / warmUpTime;
    }

    /**
     * Refills the token bucket of a server that is cold or throttled, and returns whether a call of this rank may be
     * sent there. A cold server gets the fair rate times its warm-up share, a throttled one the rate that its answers
     * showed it to sustain. As with the levels, a lower rank stops before a higher one.
     */
    private boolean hasSendToken(Server server, int rank, double now) {
        double warmth = warmUpShare(server, now);
        if (warmth >= 1 && server.throttle == 0) {
            return true;
        }
        server.throttle -= Math.max(0, server.throttle - 1)
                * (1 - Math.exp((server.tokensUpdatedAt - now) / THROTTLE_RECOVERY_MS));
        double share = warmth < 1
                ? warmth * COLD_BUDGET_SHARE * settings.overloadMultiple().orElse(1)
                : 1;
        double rate = Math.min(share, server.throttle > 0 ? 1 / server.throttle : share) / fairInterval(server);
        server.tokens = Math.min(1, Math.max(-1, server.tokens) + rate * (now - server.tokensUpdatedAt));
        server.tokensUpdatedAt = now;
        return server.tokens >= (warmth < 1 || worths.length < 2 ? 1 : 1 - rank / (worths.length - 1.0));
    }
}
