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
 * All decisions of one front: which server gets a call and when, or that it is held, refused or failed. The
 * interface is {@link RoutingPolicy}. The mechanism is the congestion control of docs/DESIGN.md:
 * each server has, for each rank of worth, an onset level T, an abatement level A below it and a discard
 * level D above it, on the wait that this front estimates from its own set-ups. Times are in milliseconds.
 */
public final class CongestionControlPolicy implements RoutingPolicy {

    // ---- Parameters -------------------------------------------------------------------------------------

    /** phi(eps): deviations above the ordinary mean wait at the first onset; a normal tail of 1 in 700. */
    private static final double ONSET_DEVIATIONS = 3.0;
    /** Share of a class's aim that a wait may take; the rest pays the way there, late news and growth. */
    private static final double WAIT_BUDGET_SHARE_OF_AIM = 0.5;
    /** The first onset lies at least and at most at these shares of the room: levels must stay apart. */
    private static final double MIN_FIRST_ONSET_SHARE = 0.2;

    private static final double MAX_FIRST_ONSET_SHARE = 0.5;
    /** Weight of the newest delay in the estimate, and in the slow figures of what is ordinary. */
    private static final double FAST_SMOOTHING_WEIGHT = 0.5;

    private static final double MIN_SLOW_SMOOTHING_WEIGHT = 0.05;
    /** Slowest fallback, as a share of the ordinary one. */
    private static final double MIN_FALLBACK_RATE = 0.4;
    /** Further set-ups sent into a silence before it counts as a stop for all. */
    private static final int MAX_SILENCE_TEST_SET_UPS = 2;
    /** Lines that a rank leaves to the next above it, in deviations of the lines in use. */
    private static final double RESERVED_LINES_DEVIATIONS = 0.25;
    /** Share of the cold budget used: the rest covers uneven fronts and chance. */
    private static final double COLD_BUDGET_SHARE = 0.25;
    /** Answers after which a server's own figures count as known. */
    private static final int MIN_SAMPLES_OF_KNOWN_SERVER = 10;
    /** Held and moved calls reach one server at so many times its ordinary rate from this front. */
    private static final double PACED_RATE_MULTIPLE = 2.0;
    /** Time between looks at held and unanswered calls: well under any wait that matters. */
    private static final double SWEEP_INTERVAL_MS = 20.0;
    /** Bad endings in a row, with no answer between, after which a server is taken to be down. */
    private static final int DOWN_AFTER_FAILURES = 2;
    /** Span of the average rate of set-ups that stand: longer than most troubles, which must not set it. */
    private static final double RATE_WINDOW_MS = 60_000.0;
    /** Longest time taken for a caller's patience or an aim where the settings give none. */
    private static final double DEFAULT_AIM_MS = 1_000.0;
    /** Busy numbers remembered: the memory's bound, far above the numbers that are hot at one time. */
    private static final int MAX_REMEMBERED_NUMBERS = 1_000;
    /** Servers remembered before those that are gone are forgotten: one may return and is known then. */
    private static final int MAX_REMEMBERED_SERVERS = 100;
    /** Time before a failed request for the list is repeated: no flood, yet under the lateness of news. */
    private static final double SERVER_LIST_RETRY_MS = 1_000.0;
    /** Longest turn at a squeezed server in fair turns; what a quick answer leaves of it; when it ends. */
    private static final double MAX_THROTTLE = 8.0;

    private static final double THROTTLE_DECAY = 0.6;
    private static final double THROTTLE_OFF_BELOW = 0.5;
    /** Span in which a change of turns takes effect: calls sent before it must first be answered. */
    private static final double THROTTLE_EFFECT_MS = 2_000.0;
    /** Span over which a squeezed server's turns fall back to fair ones where no answers tell. */
    private static final double THROTTLE_RECOVERY_MS = 15_000.0;
    /** Reported busy share above which a server has nothing left to give: the noise of reports below all. */
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
    private final int fronts;
    private final boolean mayCancel;
    private final boolean mayProbe;
    /** The distinct worths a call can still earn, ascending: a call's rank is its place here. */
    private final double[] worths;

    // ---- State ------------------------------------------------------------------------------------------

    private final Map<String, Server> servers = new TreeMap<>();
    private final Map<Long, PendingCall> pendingCalls = new LinkedHashMap<>();
    /** The order in which held calls are tried: highest worth first, within a rank the newest first. */
    private static final Comparator<PendingCall> DISPATCH_ORDER = Comparator.comparingInt((PendingCall c) -> -c.rank)
            .thenComparingDouble(c -> -c.arrivedAt)
            .thenComparingLong(c -> c.id);
    /** Held calls that fare alike, so that a moment tries one of each and walks none it does not try. */
    private final Map<Object, CallGroup> groups = new LinkedHashMap<>();
    /** Calls to be held, not yet ranked: those that came since the last moment. */
    private final Set<PendingCall> unrankedCalls = new LinkedHashSet<>();
    /** Held calls by when their rank falls, those that have their full worth and those that are late. */
    private final TreeSet<PendingCall> callsBeforeAim = new TreeSet<>(
            Comparator.comparingDouble((PendingCall c) -> c.aimDeadline).thenComparingLong(c -> c.id));

    private final TreeSet<PendingCall> callsPastAim = new TreeSet<>(callsBeforeAim.comparator());
    private final TreeSet<PendingCall> heldByDeadline = new TreeSet<>(
            Comparator.comparingDouble((PendingCall c) -> c.deadline).thenComparingLong(c -> c.id));
    private final TreeSet<PendingCall> deferredByReleaseTime = new TreeSet<>(
            Comparator.comparingDouble((PendingCall c) -> c.notBefore).thenComparingLong(c -> c.id));
    /** The servers that calls of one class and choice may use; forgotten with each news of the list. */
    private final Map<Object, List<Server>> usableServers = new HashMap<>();
    /** Whether the last choice passed over a server that would take the call, but not in its time. */
    private boolean skippedForDeadline;
    /** Numbers whose lines are all busy, and numbers of callers left without service, who dial again. */
    private final ExpiringNumbers busyNumbers = new ExpiringNumbers();

    private final ExpiringNumbers unservedNumbers = new ExpiringNumbers();
    /** Set-ups found lost, and those sent to a process that has restarted since. */
    private final Set<Long> lostSetUps = new TreeSet<>();
    /** The longest time that a call of each class was seen to have left. */
    private final double[] maxTimeLeft;

    private double nextSweepAt = Double.POSITIVE_INFINITY;
    private double lastEventAt = Double.NEGATIVE_INFINITY;
    private double lastPause;
    private double totalPaused;
    private double recentEstablished;
    private double recentEstablishedSpan;
    private double lastEstablishedAt = Double.NaN;
    private double completedCallTime;
    private int completedCalls;
    private double bestDelay = Double.POSITIVE_INFINITY;
    /** Worked out once each moment: the least time to an answer, and what the sizes of all come to. */
    private double minTimeToAnswer;

    private double totalSize;
    private double lineOccupancy;

    /** Numbers and until when something is taken to hold for them, in a bounded table, the oldest first. */
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

    /** What makes held calls fare alike, but for those that may not be sent yet. */
    private record CallKind(int callClass, int rank, boolean rerouted, List<Integer> allowedServers) {}

    /** Held calls of one kind that avoid one server, or are bound for one: ripe ones and waiting. */
    private static final class CallGroup {
        final CallKind kind;
        final boolean unrestricted;
        final TreeSet<PendingCall> ready = new TreeSet<>(DISPATCH_ORDER);
        final TreeSet<PendingCall> deferred = new TreeSet<>(DISPATCH_ORDER);

        CallGroup(CallKind kind, boolean plain) {
            this.kind = kind;
            this.unrestricted = plain;
        }
    }

    /** A place in one ordered set of held calls, of a group or of those whose time is all but over. */
    private static final class GroupCursor {
        final CallGroup group;
        final TreeSet<PendingCall> calls;
        PendingCall current;

        GroupCursor(CallGroup group, TreeSet<PendingCall> of) {
            this.group = group;
            this.calls = of;
            current = of.isEmpty() ? null : of.first();
        }
    }

    /** One call that this front owes an answer. */
    private static final class PendingCall {
        final long id;
        final int callClass;
        final int firstChoice;
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

        PendingCall(Call call, double now, double deadline, double aimBy) {
            id = call.id();
            callClass = call.callClass();
            number = call.number();
            firstChoice = call.firstChoiceIndex();
            inTransit = call.inTransit();
            allowedServers = call.allowedServers().stream().sorted().toList();
            arrivedAt = now;
            this.deadline = deadline;
            this.aimDeadline = aimBy;
        }
    }

    /** What this front knows of one server. */
    private static final class Server {
        final String id;
        int index;
        ServerState state = ServerState.RUNNING;
        boolean down;
        boolean reopening;
        int consecutiveFailures;
        double startedAt = Double.NEGATIVE_INFINITY;
        double minDelay = Double.POSITIVE_INFINITY;
        double waitEstimate;
        double waitEstimateAt;
        double meanWait;
        double waitVariance;
        int sampleCount;
        double retryAfterUntil = Double.NEGATIVE_INFINITY;
        double freeLines = Double.POSITIVE_INFINITY;
        double lines = Double.POSITIVE_INFINITY;
        double linesReportedAt = Double.NEGATIVE_INFINITY;
        int consecutiveRejections;
        double lastAnswerAt = Double.NEGATIVE_INFINITY;
        double lastSentAt = Double.NEGATIVE_INFINITY;
        double lastTestAt = Double.NEGATIVE_INFINITY;
        double nextPacedSendAt = Double.NEGATIVE_INFINITY;
        double tokens;
        double tokensUpdatedAt;
        double throttle;
        double peakLinesInUse;
        double selectionKey;
        double linesReportInterval;
        double linesDraw;
        boolean connectionFailed;
        final boolean[] stoppedRanks;
        final Map<Long, Double> unanswered = new LinkedHashMap<>();

        Server(String id, int ranks) {
            this.id = id;
            stoppedRanks = new boolean[ranks];
        }
    }

    /** An absent setting is read the careful way. */
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
        fronts = Math.max(1, settings.fronts().orElse(1));
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
        // A set-up repeated because it waited is work for nothing: the room ends before the repeat.
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
        usableServers.clear();
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
                startCold(server, startedAt, now);
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
    public void onCallOffered(double now, Call offer) {
        detectPause(now);
        CallClass callClass = settings.classes().get(offer.callClass());
        // Guards against many calls for one number: while its lines are busy, a set-up for it is wasted.
        if (busyNumbers.isActive(offer.number(), now)) {
            actions.refuseCall(offer.id(), retryAfterAdvice());
            return;
        }
        // A front that stood still is handed its calls late: their time left is short of the usual by that.
        maxTimeLeft[offer.callClass()] = Math.max(maxTimeLeft[offer.callClass()], offer.timeLeft());
        double lateness = Math.min(lastPause, maxTimeLeft[offer.callClass()] - offer.timeLeft());
        PendingCall call = new PendingCall(
                offer,
                now,
                now + offer.timeLeft() - deadlineMargin,
                offer.redialled() || unservedNumbers.isActive(offer.number(), now)
                        ? now
                        : now + aim(callClass) - lateness);
        pendingCalls.put(call.id, call);
        unrankedCalls.add(call);
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
            // It stood, and a cancel that was on its way to it then took effect: its answer is owed again.
            actions.failCall(outcome.callId());
            return;
        }
        if (outcome.reason() == RejectReason.NUMBER_BUSY) {
            busyNumbers.merge(call.number, now + badNewsLifetime(), Math::max);
        }
        call.currentServer = null;
        call.cancelRequested = false;
        lostSetUps.remove(call.id);
        call.avoidedServer = server;
        call.rerouted = true;
        if (outcome.status() == AttemptStatus.TIMED_OUT
                || outcome.status() == AttemptStatus.RESET
                || outcome.status() == AttemptStatus.CANCELLED) {
            // Release awaited: what the attempt held may stay taken until the guard time has passed.
            call.notBefore = now + releaseGuard;
        }
        boolean giveUp = outcome.reason() == RejectReason.NUMBER_BUSY
                || call.attempts >= maxAttempts
                || Math.max(now, call.notBefore) >= call.deadline
                || call.inTransit;
        if (giveUp) {
            pendingCalls.remove(call.id);
            markUnserved(call);
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
            markUnserved(call);
        }
    }

    @Override
    public void onProbeResult(
            double now, String serverId, boolean asked, boolean answered, double delay, ServerLoadReport report) {
        detectPause(now);
        Server server = servers.get(serverId);
        if (server == null) {
            return;
        }
        applyReport(server, report, now);
        if (asked && answered) {
            markAlive(server, now);
        } else if (asked) {
            server.consecutiveFailures++;
        }
    }

    @Override
    public void onMessage(double now, int from, byte[] body) {} // Nothing is believed from other fronts.

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

    /** A beat that comes late tells that this front stood still, and for how long at the most. */
    private void detectPause(double now) {
        if (now > lastEventAt) {
            lastPause = Math.max(0, now - Math.max(lastEventAt, nextSweepAt) - deadlineMargin);
            totalPaused += lastPause;
            lastEventAt = now;
        }
    }

    // ---- Wait estimate ----------------------------------------------------------------------------------

    /** The wait that a set-up sent now would meet: the last figure falling back, or what silence proves. */
    private double expectedWait(Server server, double now) {
        return Math.max(decayedEstimate(server, now), waitProvedBySilence(server, now));
    }

    /** Fallback: 1 ms a ms, as at a processor left alone; above the room slower, as any set-up is much. */
    private double decayedEstimate(Server server, double now) {
        double rate =
                server.waitEstimate > waitBudget ? Math.max(MIN_FALLBACK_RATE, waitBudget / server.waitEstimate) : 1;
        return Math.max(
                Math.min(server.meanWait, server.waitEstimate),
                server.waitEstimate - rate * (now - server.waitEstimateAt));
    }

    /** Age of the oldest unanswered set-up above the way there: a lower bound of the wait. */
    private double waitProvedBySilence(Server server, double now) {
        double oldest = server.unanswered.isEmpty()
                ? now
                : server.unanswered.values().iterator().next();
        return Math.max(0, now - totalPaused - oldest - unloadedDelay(server));
    }

    private void recordAnswer(Server server, long callId, double delay, double now, boolean sample) {
        discardOvertaken(server, server.unanswered.remove(callId));
        server.lastAnswerAt = now;
        markAlive(server, now);
        if (!sample) {
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
            return; // Some of this wait was our own pause, and what is left for sure tells nothing.
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
        // It bears what it gets: the next may go as far as one set-up of each front fits in the room.
        server.tokens += expectedWait(server, now) < onset(server, 0)
                ? Math.min(1, warmUpShare(server, now) * waitBudget / fairInterval(server))
                : 0;
        if (warmUpShare(server, now) >= 1) {
            // What is ordinary is learnt from waits up to the first onset: pressure must not become ordinary.
            double wait = Math.min(excess, onset(server, 0));
            double weight = Math.max(MIN_SLOW_SMOOTHING_WEIGHT, 1.0 / server.sampleCount);
            server.waitVariance += weight * ((wait - server.meanWait) * (wait - server.meanWait) - server.waitVariance);
            server.meanWait += weight * (wait - server.meanWait);
        }
    }

    /** Whether a server bears what it gets: its turns grow longer past onset, and shorter below abatement. */
    private void adjustThrottle(Server server, double wait, double decay, double now) {
        if (wait >= onset(server, 0)) {
            increaseThrottle(server, wait, now);
        } else if (wait <= abatement(server, 0)) {
            server.throttle *= Math.pow(decay, throttleGain(server));
            server.throttle = server.throttle < THROTTLE_OFF_BELOW ? 0 : server.throttle;
        }
    }

    /** A wait past onset makes the turns of this server longer, the more so the longer the wait. */
    private void increaseThrottle(Server server, double wait, double now) {
        if (server.throttle == 0 && warmUpShare(server, now) >= 1) {
            server.tokens = random.nextDouble();
            server.tokensUpdatedAt = now;
        }
        server.throttle = Math.min(
                MAX_THROTTLE,
                Math.max(1, server.throttle) * Math.pow(1 + Math.min(1, wait / waitBudget), throttleGain(server)));
    }

    /** Many answers in a short time are one piece of news: turns change as fast as they can take effect. */
    private double throttleGain(Server server) {
        return Math.min(1, fairInterval(server) / THROTTLE_EFFECT_MS);
    }

    /**
     * Guards against set-ups that get lost on the way: a processor has one line, so one still unanswered when
     * a later one has been answered is not waiting there. It tells nothing of the wait and is tried again.
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

    /** The time a set-up takes without a wait; a server never seen unpressed is held to the best one's. */
    private double unloadedDelay(Server server) {
        double delay = Math.min(server.minDelay, bestDelay + MAX_FIRST_ONSET_SHARE * waitBudget);
        return delay == Double.POSITIVE_INFINITY ? 0 : delay;
    }

    private void setEstimate(Server server, double value, double now) {
        server.waitEstimate = value;
        server.waitEstimateAt = now;
    }

    /** A reported wait comes late, and may miss a line that is filling: it only ever raises the estimate. */
    private void applyReport(Server server, ServerLoadReport report, double now) {
        if (report.freeLines().isPresent()) {
            server.freeLines = report.freeLines().getAsDouble();
            server.lines = report.lines().orElse(server.lines);
            double decayedPeak =
                    server.peakLinesInUse * Math.exp(Math.min(0, server.linesReportedAt - now) / RATE_WINDOW_MS);
            server.peakLinesInUse = Math.max(server.lines - server.freeLines, decayedPeak);
            server.linesReportInterval = Math.min(badNewsLifetime(), now - server.linesReportedAt);
            server.linesDraw = random.nextDouble() * fronts;
            server.linesReportedAt = now;
        }
        // Set-ups waiting there are so many turns of all fronts, longer ones where the server is slow.
        double perSetUp = Math.min(1, report.utilization().orElse(1))
                * fairInterval(server)
                * Math.max(1, server.throttle)
                / fronts;
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
     * Guards the worth of calls where lines run short before the processor does: the wait does not show it.
     * Each rank leaves some lines to the next. Where fewer are to be had until the next news than there are
     * fronts, each goes by a chance of its own. Old news that none is free is believed no more.
     */
    private boolean hasFreeLine(Server server, int rank, double now) {
        if (server.freeLines <= 0
                ? now >= server.linesReportedAt + badNewsLifetime()
                : server.freeLines == Double.POSITIVE_INFINITY) {
            return true;
        }
        double reserved = (worths.length - 1 - rank) * RESERVED_LINES_DEVIATIONS * Math.sqrt(server.lines);
        double expectedReleases = completedCalls > 0
                ? server.peakLinesInUse * server.linesReportInterval / (completedCallTime / completedCalls)
                : 0;
        return server.freeLines > reserved && server.freeLines - reserved + expectedReleases > server.linesDraw;
    }

    /** What an ending tells of the server. */
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
                    // A notice: every rank but the top stops until abatement; a told wait stops all.
                    // Guards against a server that turns all away at once: notices in a row, with nothing
                    // standing between them, close it the longer, so that its quick answers draw no calls.
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
                    // What the silence had proved stays true when its set-up is given up.
                    setEstimate(
                            server, Math.max(expectedWait(server, now), outcome.delay() - unloadedDelay(server)), now);
                    increaseThrottle(server, waitBudget, now);
                }
                if (wasAwaited && server.lastAnswerAt < now - Math.max(outcome.delay(), waitBudget)) {
                    recordFailure(server, now);
                }
            }
            case RESET, UNREACHABLE -> {
                // A set-up that breaks after later ones were answered broke on its way: the process is alive.
                if (outcome.status() == AttemptStatus.UNREACHABLE || server.lastAnswerAt < now - outcome.delay()) {
                    server.connectionFailed = true;
                    recordFailure(server, now);
                }
            }
            default -> {}
        }
    }

    /** Guards against a server that died, whatever killed it, before the list tells. */
    private void recordFailure(Server server, double now) {
        if (++server.consecutiveFailures >= DOWN_AFTER_FAILURES && !server.down) {
            server.down = true;
            server.lastTestAt = now;
            server.unanswered.keySet().removeIf(id -> !pendingCalls.containsKey(id));
        }
    }

    /** A server thought dead that answers has restarted for all we know: cold from now on; if silent, not. */
    private void markAlive(Server server, double now) {
        server.consecutiveFailures = 0;
        if (server.down && server.connectionFailed) {
            startCold(server, now, now);
        } else if (server.down) {
            server.down = false;
            increaseThrottle(server, waitBudget, now);
        }
        server.connectionFailed = false;
    }

    // ---- Levels -----------------------------------------------------------------------------------------

    private double onset(Server server, int rank) {
        double first = server.meanWait + ONSET_DEVIATIONS * Math.sqrt(server.waitVariance);
        first = Math.max(MIN_FIRST_ONSET_SHARE * waitBudget, Math.min(MAX_FIRST_ONSET_SHARE * waitBudget, first));
        return first + (waitBudget - first) * rank / worths.length;
    }

    /** Abatement lies half way from the ordinary wait up to onset. */
    private double abatement(Server server, int rank) {
        double ordinary = Math.min(server.meanWait, onset(server, 0));
        return (ordinary + onset(server, rank)) / 2;
    }

    /** Whether a server takes calls of this rank, by its levels alone. */
    private boolean isOpen(Server server, int rank, double now) {
        double wait = expectedWait(server, now);
        for (int otherRank = 0; otherRank < server.stoppedRanks.length; otherRank++) {
            server.stoppedRanks[otherRank] = wait >= onset(server, otherRank)
                    || server.stoppedRanks[otherRank] && wait > abatement(server, otherRank);
        }
        if (now < server.retryAfterUntil || !hasFreeLine(server, rank, now)) {
            return false;
        }
        // Guards against set-ups sent into an unproved server: one goes, and its answer lets the next.
        server.reopening |= server.stoppedRanks[0];
        boolean cautious =
                server.reopening || warmUpShare(server, now) < 1 || server.sampleCount < MIN_SAMPLES_OF_KNOWN_SERVER;
        if (!server.stoppedRanks[rank] && !(cautious && !server.unanswered.isEmpty())) {
            return true;
        }
        // Only silence stops it: one or two more test whether the silent set-up was merely lost.
        return server.throttle <= 1
                && !server.unanswered.isEmpty()
                && server.unanswered.size() <= MAX_SILENCE_TEST_SET_UPS
                && decayedEstimate(server, now) < onset(server, 0)
                && now - server.lastSentAt > unloadedDelay(server) + onset(server, 0);
    }

    /** A call's rank: the place of the worth that it can still earn; after its aim that is its late worth. */
    private int rank(PendingCall call, boolean isLate) {
        CallClass callClass = settings.classes().get(call.callClass);
        double worth =
                callClass.worth().orElse(1) * (isLate ? callClass.lateShare().orElse(0) : 1);
        return Math.max(0, Arrays.binarySearch(worths, worth));
    }

    /** Ranks what came since the last moment, and again those that have crossed their aim, either way. */
    private void updateRanks(double now) {
        for (PendingCall call : unrankedCalls) {
            heldByDeadline.add(call);
            boolean isLate = now + minTimeToAnswer >= call.aimDeadline;
            call.rank = rank(call, isLate);
            (isLate ? callsPastAim : callsBeforeAim).add(call);
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
        call.rank = rank(call, to == callsPastAim);
        addToGroup(call, now);
    }

    private void addToGroup(PendingCall call, double now) {
        CallKind kind = new CallKind(call.callClass, call.rank, call.rerouted, call.allowedServers);
        String avoidedId = call.avoidedServer == null ? "" : call.avoidedServer.id;
        call.group = groups.computeIfAbsent(
                List.of(kind, avoidedId, call.inTransit ? call.firstChoice : -1),
                k -> new CallGroup(kind, call.avoidedServer == null && !call.inTransit));
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

    /** The call is held no more. */
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
                : usableServers.computeIfAbsent(
                        List.of(call.callClass, call.allowedServers), k -> findUsableServers(call));
    }

    private List<Server> findUsableServers(PendingCall call) {
        List<Integer> allowed =
                settings.classes().get(call.callClass).allowedServers().orElse(List.of());
        int ownIndex = settings.ownIndex().orElse(-1);
        List<Server> usable = new ArrayList<>();
        for (Server server : servers.values()) {
            boolean eligible = call.inTransit
                    ? server.index == call.firstChoice
                    : (ownIndex < 0 || server.index != ownIndex)
                            && (allowed.isEmpty() || allowed.contains(server.index))
                            && (call.allowedServers.isEmpty() || call.allowedServers.contains(server.index));
            if (eligible && server.state == ServerState.RUNNING) {
                usable.add(server);
            }
        }
        return usable;
    }

    /** First choice while open; else of two drawn from the open ones, the one with fewer own unanswered. */
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
                if (server.index == call.firstChoice && server != call.avoidedServer) {
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
        // Drawn by ordinary shares: what a large server can't take would push over a small one.
        open.forEach(server -> server.selectionKey = -Math.log(1 - random.nextDouble()) / ordinaryLoad(server));
        open.sort(Comparator.comparingDouble(server -> server.selectionKey));
        Server candidate = open.get(0);
        Server alternative = open.get(Math.min(1, open.size() - 1));
        return alternative.unanswered.size() < candidate.unanswered.size() ? alternative : candidate;
    }

    /**
     * While none is open, one set-up now and then tests a server that is down or turns all away. One that is
     * only pressed needs no test of its own: its estimate falls back until it is open for one set-up.
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
        return Math.max(badNewsLifetime(), fairInterval(server));
    }

    /** The time for which a single piece of bad news is believed. */
    private double badNewsLifetime() {
        return Math.max(releaseGuard, 2 * waitBudget);
    }

    /**
     * The fair turn: the time between set-ups of this front at one server if all fronts alike kept it at its
     * ordinary share of what stands. Lines in use show these shares at once and to all fronts. Allowances
     * are counted in turns, so that those of all fronts add up to what a server can do, be they 5 or 500.
     */
    private double fairInterval(Server server) {
        double byOwnRate = Math.max(1, totalSize / ordinaryLoad(server))
                * Math.max(recentEstablishedSpan, waitBudget)
                / Math.max(1, recentEstablished);
        return lineOccupancy > 0 && completedCalls > 0
                ? Math.min(byOwnRate, fronts * completedCallTime / completedCalls / ordinaryLoad(server))
                : byOwnRate;
    }

    /** Most lines lately in use; at a new server what it should have by its lines; unknown: all alike. */
    private double ordinaryLoad(Server server) {
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
        totalSize = 0;
        for (Server server : servers.values()) {
            totalSize += server.state == ServerState.RUNNING && !server.down ? ordinaryLoad(server) : 0;
        }
    }

    // ---- Hold and paced hand-over -------------------------------------------------------------------------

    /** Between onset and discard a call is held; past discard everywhere it is refused at once. */
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
        markUnserved(call);
        actions.refuseCall(call.id, retryAfterAdvice());
    }

    /** A caller who got no service dials again, marked or not, and is late by then. */
    private void markUnserved(PendingCall call) {
        unservedNumbers.putIfAbsent(
                call.number,
                call.arrivedAt
                        + settings.classes().get(call.callClass).deadline().orElse(DEFAULT_AIM_MS));
    }

    /** Redials are spread, or they come back in step. */
    private double retryAfterAdvice() {
        return settings.maxRetryAfter().orElse(0) * (0.5 + 0.5 * random.nextDouble());
    }

    /**
     * Sends what may go, highest worth first, holds the rest, or refuses it where holding is of no use. Where
     * one call must be held, those of its kind behind it must be too, and of those that avoid one server the
     * others: within a moment servers only close. So a moment tries one call of each group, those that it
     * sends or refuses, and those whose time is all but over, and walks no others.
     */
    private void dispatch(double now) {
        Set<CallKind> closedKinds = new HashSet<>();
        PriorityQueue<GroupCursor> cursors =
                new PriorityQueue<>((a, b) -> DISPATCH_ORDER.compare(a.current, b.current));
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
            enqueue(cursors, new GroupCursor(callGroup, callGroup.ready));
            if (!callGroup.deferred.isEmpty()
                    && !shouldHold(callGroup.deferred.first(), usableServers(callGroup.deferred.first()), now)) {
                enqueue(cursors, new GroupCursor(callGroup, callGroup.deferred));
            }
        }
        enqueue(cursors, new GroupCursor(null, nearDeadline));
        while (!cursors.isEmpty()) {
            GroupCursor cursor = cursors.poll();
            if (cursor.group != null && closedKinds.contains(cursor.group.kind)) {
                continue;
            }
            PendingCall call = cursor.current;
            cursor.current = cursor.calls.higher(call);
            if (tryDispatch(call, cursor.group, closedKinds, now) && cursor.current != null) {
                cursors.add(cursor);
            }
        }
        // What is left has been moved from its first place: it is handed over at the pace from now on.
        for (CallGroup callGroup : firstTimeGroups) {
            for (PendingCall call : List.copyOf(callGroup.ready)) {
                removeFromGroup(call);
                call.rerouted = true;
                addToGroup(call, now);
            }
        }
    }

    private static void enqueue(PriorityQueue<GroupCursor> cursors, GroupCursor cursor) {
        if (cursor.current != null) {
            cursors.add(cursor);
        }
    }

    /** Tries one held call; returns whether the next of its group may fare otherwise. */
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

    /** Guards a call against a server gone silent: with no answer of any kind since it was sent, it moves. */
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

    /** A server starts cold: it gets this front's share of what it can do, and no more, until it is warm. */
    private void startCold(Server server, double startedAt, double now) {
        server.startedAt = startedAt;
        server.down = false;
        server.consecutiveFailures = 0;
        // Fronts hear of a start together: a random part of the first token keeps them out of step.
        server.tokens = random.nextDouble();
        server.tokensUpdatedAt = now;
        server.throttle = 0;
        lostSetUps.addAll(server.unanswered.keySet());
        server.unanswered.clear();
        setEstimate(server, server.meanWait, now);
    }

    /** The share of its capacity that a server has surely reached since its start. */
    private double warmUpShare(Server server, double now) {
        double age = now - server.startedAt;
        return age >= warmUpTime ? 1 : coldCapacityShare + (1 - coldCapacityShare) * Math.max(0, age) / warmUpTime;
    }

    /**
     * The turns of a server that is cold or squeezed: a cold one gets a fair share as its warmth allows, a
     * squeezed one what its answers showed it to bear. As at the levels, each rank stops before the next.
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
