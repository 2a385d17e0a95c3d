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
    private static final double PHI = 3.0;
    /** Share of a class's aim that a wait may take; the rest pays the way there, late news and growth. */
    private static final double ROOM_OF_AIM = 0.5;
    /** The first onset lies at least and at most at these shares of the room: levels must stay apart. */
    private static final double ONSET_LEAST = 0.2;

    private static final double ONSET_MOST = 0.5;
    /** Weight of the newest delay in the estimate, and in the slow figures of what is ordinary. */
    private static final double FAST = 0.5;

    private static final double SLOW = 0.05;
    /** Slowest fallback, as a share of the ordinary one. */
    private static final double FALLBACK_LEAST = 0.4;
    /** Further set-ups sent into a silence before it counts as a stop for all. */
    private static final int SILENCE_TESTS = 2;
    /** Lines that a rank leaves to the next above it, in deviations of the lines in use. */
    private static final double KEPT_LINES = 0.25;
    /** Share of the cold budget used: the rest covers uneven fronts and chance. */
    private static final double BUDGET_SHARE = 0.25;
    /** Answers after which a server's own figures count as known. */
    private static final int KNOWN = 10;
    /** Held and moved calls reach one server at so many times its ordinary rate from this front. */
    private static final double PACE = 2.0;
    /** Time between looks at held and unanswered calls: well under any wait that matters. */
    private static final double SWEEP = 20.0;
    /** Bad endings in a row, with no answer between, after which a server is taken to be down. */
    private static final int DOWN_AFTER = 2;
    /** Span of the average rate of set-ups that stand: longer than most troubles, which must not set it. */
    private static final double RATE_SPAN = 60_000.0;
    /** Longest time taken for a caller's patience or an aim where the settings give none. */
    private static final double UNSET_AIM = 1_000.0;
    /** Busy numbers remembered: the memory's bound, far above the numbers that are hot at one time. */
    private static final int MOST_NUMBERS = 1_000;
    /** Servers remembered before those that are gone are forgotten: one may return and is known then. */
    private static final int MOST_SERVERS = 100;
    /** Time before a failed request for the list is repeated: no flood, yet under the lateness of news. */
    private static final double LIST_AGAIN = 1_000.0;
    /** Longest turn at a squeezed server in fair turns; what a quick answer leaves of it; when it ends. */
    private static final double MOST_SQUEEZE = 8.0;

    private static final double RELAX = 0.6;
    private static final double FREE = 0.5;
    /** Span in which a change of turns takes effect: calls sent before it must first be answered. */
    private static final double EFFECT_SPAN = 2_000.0;
    /** Span over which a squeezed server's turns fall back to fair ones where no answers tell. */
    private static final double SQUEEZE_SPAN = 15_000.0;
    /** Reported busy share above which a server has nothing left to give: the noise of reports below all. */
    private static final double BUSY = 0.9;

    private static final long SWEEP_TOKEN = 1;
    private static final long LIST_TOKEN = 2;

    private final PolicySettings settings;
    private final PolicyActions act;
    private final SplittableRandom random;
    private final double guard;
    private final double margin;
    private final double coldFrom;
    private final double warmWithin;
    private final double room;
    private final int maxAttempts;
    private final int fronts;
    private final boolean mayCancel;
    private final boolean mayProbe;
    /** The distinct worths a call can still earn, ascending: a call's rank is its place here. */
    private final double[] worths;

    // ---- State ------------------------------------------------------------------------------------------

    private final Map<String, Core> servers = new TreeMap<>();
    private final Map<Long, Held> calls = new LinkedHashMap<>();
    /** The order in which held calls are tried: highest worth first, within a rank the newest first. */
    private static final Comparator<Held> ORDER = Comparator.comparingInt((Held c) -> -c.rank)
            .thenComparingDouble(c -> -c.arrived)
            .thenComparingLong(c -> c.id);
    /** Held calls that fare alike, so that a moment tries one of each and walks none it does not try. */
    private final Map<Object, Group> groups = new LinkedHashMap<>();
    /** Calls to be held, not yet ranked: those that came since the last moment. */
    private final Set<Held> fresh = new LinkedHashSet<>();
    /** Held calls by when their rank falls, those that have their full worth and those that are late. */
    private final TreeSet<Held> early =
            new TreeSet<>(Comparator.comparingDouble((Held c) -> c.aimBy).thenComparingLong(c -> c.id));

    private final TreeSet<Held> late = new TreeSet<>(early.comparator());
    private final TreeSet<Held> byDeadline =
            new TreeSet<>(Comparator.comparingDouble((Held c) -> c.deadline).thenComparingLong(c -> c.id));
    private final TreeSet<Held> byRelease =
            new TreeSet<>(Comparator.comparingDouble((Held c) -> c.notBefore).thenComparingLong(c -> c.id));
    /** The servers that calls of one class and choice may use; forgotten with each news of the list. */
    private final Map<Object, List<Core>> usable = new HashMap<>();
    /** Whether the last choice passed over a server that would take the call, but not in its time. */
    private boolean missedByTime;
    /** Numbers whose lines are all busy, and numbers of callers left without service, who dial again. */
    private final Recent busyNumbers = new Recent();

    private final Recent unserved = new Recent();
    /** Set-ups found lost, and those sent to a process that has restarted since. */
    private final Set<Long> lost = new TreeSet<>();
    /** The longest time that a call of each class was seen to have left. */
    private final double[] usualTime;

    private double beatAt = Double.POSITIVE_INFINITY;
    private double seenAt = Double.NEGATIVE_INFINITY;
    private double pause;
    private double asleep;
    private double stood;
    private double span;
    private double stoodAt = Double.NaN;
    private double callTime;
    private int callsEnded;
    private double bestWay = Double.POSITIVE_INFINITY;
    /** Worked out once each moment: the least time to an answer, and what the sizes of all come to. */
    private double lead;

    private double allSizes;
    private double fill;

    /** Numbers and until when something is taken to hold for them, in a bounded table, the oldest first. */
    private static final class Recent extends LinkedHashMap<String, Double> {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
            return size() > MOST_NUMBERS;
        }

        boolean has(String number, double now) {
            return now < getOrDefault(number, Double.NEGATIVE_INFINITY);
        }
    }

    /** What makes held calls fare alike, but for those that may not be sent yet. */
    private record Kind(int callClass, int rank, boolean moved, List<Integer> mayUse) {}

    /** Held calls of one kind that avoid one server, or are bound for one: ripe ones and waiting. */
    private static final class Group {
        final Kind kind;
        final boolean plain;
        final TreeSet<Held> ripe = new TreeSet<>(ORDER);
        final TreeSet<Held> waiting = new TreeSet<>(ORDER);

        Group(Kind kind, boolean plain) {
            this.kind = kind;
            this.plain = plain;
        }
    }

    /** A place in one ordered set of held calls, of a group or of those whose time is all but over. */
    private static final class Cursor {
        final Group group;
        final TreeSet<Held> of;
        Held at;

        Cursor(Group group, TreeSet<Held> of) {
            this.group = group;
            this.of = of;
            at = of.isEmpty() ? null : of.first();
        }
    }

    /** One call that this front owes an answer. */
    private static final class Held {
        final long id;
        final int callClass;
        final int firstChoice;
        final String number;
        final double arrived;
        final double deadline;
        final double aimBy;
        final boolean inTransit;
        final List<Integer> mayUse;
        int rank;
        int attempts;
        boolean moved;
        Core out;
        double sentAt;
        boolean cancelling;
        double notBefore;
        Core avoid;
        Group group;

        Held(Call call, double now, double deadline, double aimBy) {
            id = call.id();
            callClass = call.callClass();
            number = call.number();
            firstChoice = call.firstChoiceIndex();
            inTransit = call.inTransit();
            mayUse = call.allowedServers().stream().sorted().toList();
            arrived = now;
            this.deadline = deadline;
            this.aimBy = aimBy;
        }
    }

    /** What this front knows of one server. */
    private static final class Core {
        final String id;
        int number;
        ServerState state = ServerState.RUNNING;
        boolean down;
        boolean releasing;
        int badEndings;
        double startedAt = Double.NEGATIVE_INFINITY;
        double lowest = Double.POSITIVE_INFINITY;
        double estimate;
        double estimateAt;
        double mean;
        double variance;
        int samples;
        double toldUntil = Double.NEGATIVE_INFINITY;
        double freeLines = Double.POSITIVE_INFINITY;
        double lines = Double.POSITIVE_INFINITY;
        double linesAt = Double.NEGATIVE_INFINITY;
        int notices;
        double answeredAt = Double.NEGATIVE_INFINITY;
        double sentAt = Double.NEGATIVE_INFINITY;
        double testedAt = Double.NEGATIVE_INFINITY;
        double pacedAt = Double.NEGATIVE_INFINITY;
        double tokens;
        double tokensAt;
        double squeeze;
        double used;
        double draw;
        double linesGap;
        double linesDraw;
        boolean died;
        final boolean[] stopped;
        final Map<Long, Double> unanswered = new LinkedHashMap<>();

        Core(String id, int ranks) {
            this.id = id;
            stopped = new boolean[ranks];
        }
    }

    /** An absent setting is read the careful way. */
    public CongestionControlPolicy(PolicySettings settings, PolicyActions actions) {
        this.settings = settings;
        act = actions;
        random = new SplittableRandom(settings.seed());
        guard = settings.releaseGuard().orElse(0) + settings.tick().orElse(0);
        margin = SWEEP + 2 * settings.tick().orElse(0);
        coldFrom = Math.max(0.05, Math.min(1, settings.coldCapacityShare().orElse(0.25)));
        warmWithin = Math.max(0, settings.warmUpTime().orElse(20_000));
        maxAttempts = Math.max(1, settings.maxAttempts().orElse(1));
        fronts = Math.max(1, settings.fronts().orElse(1));
        mayCancel = settings.mayCancel().orElse(false);
        mayProbe = settings.mayProbe().orElse(false);
        double least = Double.POSITIVE_INFINITY;
        TreeSet<Double> distinct = new TreeSet<>();
        for (CallClass c : settings.classes()) {
            least = Math.min(least, aim(c));
            distinct.add(c.worth().orElse(1));
            distinct.add(c.worth().orElse(1) * c.lateShare().orElse(0));
        }
        worths = distinct.stream().mapToDouble(Double::doubleValue).toArray();
        double byAim = ROOM_OF_AIM * (least == Double.POSITIVE_INFINITY ? UNSET_AIM : least);
        // A set-up repeated because it waited is work for nothing: the room ends before the repeat.
        double resend = settings.retransmitAfter().orElse(0);
        room = resend > 0 ? Math.min(byAim, resend) : byAim;
        usualTime = new double[settings.classes().size()];
        if (settings.serverListOnRequest().orElse(false)) {
            act.followServerList();
        }
    }

    private static double aim(CallClass c) {
        return c.aim().orElse(c.deadline().orElse(UNSET_AIM));
    }

    // ---- Events -----------------------------------------------------------------------------------------

    @Override
    public void onServerListUpdate(double now, boolean full, List<ServerEntry> entries) {
        paused(now);
        usable.clear();
        if (full) {
            TreeSet<String> named = new TreeSet<>();
            entries.forEach(e -> named.add(e.id()));
            servers.values().stream().filter(s -> !named.contains(s.id)).forEach(s -> s.state = ServerState.GONE);
        }
        for (ServerEntry e : entries) {
            Core s = servers.computeIfAbsent(e.id(), id -> new Core(id, worths.length));
            s.number = e.index();
            s.state = e.state();
            double started = e.startedAt().orElse(Double.NEGATIVE_INFINITY);
            if (started > s.startedAt) {
                startCold(s, started, now);
            }
        }
        if (servers.size() > MOST_SERVERS) {
            servers.values().removeIf(s -> s.state == ServerState.GONE);
        }
    }

    @Override
    public void onServerListFailure(double now) {
        act.startTimer(LIST_AGAIN, LIST_TOKEN);
    }

    @Override
    public void onCallOffered(double now, Call call) {
        paused(now);
        CallClass c = settings.classes().get(call.callClass());
        // Guards against many calls for one number: while its lines are busy, a set-up for it is wasted.
        if (busyNumbers.has(call.number(), now)) {
            act.refuseCall(call.id(), returnAdvice());
            return;
        }
        // A front that stood still is handed its calls late: their time left is short of the usual by that.
        usualTime[call.callClass()] = Math.max(usualTime[call.callClass()], call.timeLeft());
        double age = Math.min(pause, usualTime[call.callClass()] - call.timeLeft());
        Held held = new Held(
                call,
                now,
                now + call.timeLeft() - margin,
                call.redialled() || unserved.has(call.number(), now) ? now : now + aim(c) - age);
        calls.put(held.id, held);
        fresh.add(held);
    }

    @Override
    public void onCallEstablished(double now, long id, String server, int attempt, double delay) {
        paused(now);
        Core s = servers.get(server);
        if (s != null) {
            answered(s, id, delay, now, true);
        }
        calls.remove(id);
    }

    @Override
    public void onAttemptOutcome(double now, AttemptOutcome e) {
        paused(now);
        Core s = servers.get(e.serverId());
        Held held = calls.get(e.callId());
        boolean wasOut = held != null && held.out != null && held.out.id.equals(e.serverId());
        if (s != null) {
            judge(s, e, wasOut, now);
        }
        if (e.terminal()) {
            calls.remove(e.callId());
            return;
        }
        if (held == null) {
            // It stood, and a cancel that was on its way to it then took effect: its answer is owed again.
            act.failCall(e.callId());
            return;
        }
        if (e.reason() == RejectReason.NUMBER_BUSY) {
            busyNumbers.merge(held.number, now + spell(), Math::max);
        }
        held.out = null;
        held.cancelling = false;
        lost.remove(held.id);
        held.avoid = s;
        held.moved = true;
        if (e.status() == AttemptStatus.TIMED_OUT
                || e.status() == AttemptStatus.RESET
                || e.status() == AttemptStatus.CANCELLED) {
            // Release awaited: what the attempt held may stay taken until the guard time has passed.
            held.notBefore = now + guard;
        }
        boolean hopeless = e.reason() == RejectReason.NUMBER_BUSY
                || held.attempts >= maxAttempts
                || Math.max(now, held.notBefore) >= held.deadline
                || held.inTransit;
        if (hopeless) {
            calls.remove(held.id);
            unserved(held);
            act.failCall(held.id);
        } else {
            fresh.add(held);
        }
    }

    @Override
    public void onCallAbandoned(double now, long call) {
        paused(now);
        Held held = calls.remove(call);
        if (held != null) {
            release(held);
            unserved(held);
        }
    }

    @Override
    public void onProbeResult(
            double now, String server, boolean asked, boolean answered, double delay, ServerLoadReport report) {
        paused(now);
        Core s = servers.get(server);
        if (s == null) {
            return;
        }
        readReport(s, report, now);
        if (asked && answered) {
            revive(s, now);
        } else if (asked) {
            s.badEndings++;
        }
    }

    @Override
    public void onMessage(double now, int from, byte[] body) {} // Nothing is believed from other fronts.

    @Override
    public void onTimer(double now, long token) {
        paused(now);
        if (token == LIST_TOKEN) {
            act.followServerList();
            return;
        }
        beatAt = Double.POSITIVE_INFINITY;
    }

    @Override
    public void onBatchEnd(double now) {
        paused(now);
        measure(now);
        lost.removeIf(id -> !calls.containsKey(id) || calls.get(id).out == null);
        lost.forEach(id -> callBack(calls.get(id), now));
        for (Core s : servers.values()) {
            watch(s, now);
            if (s.down && mayProbe && now >= s.testedAt + testGap(s) && s.state == ServerState.RUNNING) {
                s.testedAt = now;
                act.sendProbe(s.id);
            }
        }
        rankAll(now);
        pump(now);
        boolean out = servers.values().stream().anyMatch(s -> !s.unanswered.isEmpty());
        if ((out || !byDeadline.isEmpty()) && beatAt == Double.POSITIVE_INFINITY) {
            beatAt = now + SWEEP;
            act.startTimer(SWEEP, SWEEP_TOKEN);
        }
    }

    /** A beat that comes late tells that this front stood still, and for how long at the most. */
    private void paused(double now) {
        if (now > seenAt) {
            pause = Math.max(0, now - Math.max(seenAt, beatAt) - margin);
            asleep += pause;
            seenAt = now;
        }
    }

    // ---- Wait estimate ----------------------------------------------------------------------------------

    /** The wait that a set-up sent now would meet: the last figure falling back, or what silence proves. */
    private double wait(Core s, double now) {
        return Math.max(fallen(s, now), silence(s, now));
    }

    /** Fallback: 1 ms a ms, as at a processor left alone; above the room slower, as any set-up is much. */
    private double fallen(Core s, double now) {
        double rate = s.estimate > room ? Math.max(FALLBACK_LEAST, room / s.estimate) : 1;
        return Math.max(Math.min(s.mean, s.estimate), s.estimate - rate * (now - s.estimateAt));
    }

    /** Age of the oldest unanswered set-up above the way there: a lower bound of the wait. */
    private double silence(Core s, double now) {
        double oldest =
                s.unanswered.isEmpty() ? now : s.unanswered.values().iterator().next();
        return Math.max(0, now - asleep - oldest - way(s));
    }

    private void answered(Core s, long id, double delay, double now, boolean sample) {
        overtaken(s, s.unanswered.remove(id));
        s.answeredAt = now;
        revive(s, now);
        if (!sample) {
            return;
        }
        double decay = Math.exp((stoodAt - now) / RATE_SPAN);
        stood = Double.isNaN(decay) ? 1 : stood * decay + 1;
        span = Double.isNaN(decay) ? 0 : span * decay + (now - stoodAt);
        stoodAt = now;
        s.notices = 0;
        s.lowest = Math.min(s.lowest, delay);
        bestWay = Math.min(bestWay, delay);
        double excess = delay - way(s);
        if (pause > 0 && excess >= onset(s, 0) && (excess -= pause) < onset(s, 0)) {
            return; // Some of this wait was our own pause, and what is left for sure tells nothing.
        }
        setEstimate(s, s.samples == 0 ? excess : wait(s, now) + FAST * (excess - wait(s, now)), now);
        s.samples++;
        observe(s, excess, RELAX, now);
        s.releasing &= wait(s, now) >= onset(s, 0);
        // It bears what it gets: the next may go as far as one set-up of each front fits in the room.
        s.tokens += wait(s, now) < onset(s, 0) ? Math.min(1, warmth(s, now) * room / turn(s)) : 0;
        if (warmth(s, now) >= 1) {
            // What is ordinary is learnt from waits up to the first onset: pressure must not become ordinary.
            double x = Math.min(excess, onset(s, 0));
            double w = Math.max(SLOW, 1.0 / s.samples);
            s.variance += w * ((x - s.mean) * (x - s.mean) - s.variance);
            s.mean += w * (x - s.mean);
        }
    }

    /** Whether a server bears what it gets: its turns grow longer past onset, and shorter below abatement. */
    private void observe(Core s, double wait, double relax, double now) {
        if (wait >= onset(s, 0)) {
            squeeze(s, wait, now);
        } else if (wait <= abatement(s, 0)) {
            s.squeeze *= Math.pow(relax, gain(s));
            s.squeeze = s.squeeze < FREE ? 0 : s.squeeze;
        }
    }

    /** A wait past onset makes the turns of this server longer, the more so the longer the wait. */
    private void squeeze(Core s, double wait, double now) {
        if (s.squeeze == 0 && warmth(s, now) >= 1) {
            s.tokens = random.nextDouble();
            s.tokensAt = now;
        }
        s.squeeze = Math.min(MOST_SQUEEZE, Math.max(1, s.squeeze) * Math.pow(1 + Math.min(1, wait / room), gain(s)));
    }

    /** Many answers in a short time are one piece of news: turns change as fast as they can take effect. */
    private double gain(Core s) {
        return Math.min(1, turn(s) / EFFECT_SPAN);
    }

    /**
     * Guards against set-ups that get lost on the way: a processor has one line, so one still unanswered when
     * a later one has been answered is not waiting there. It tells nothing of the wait and is tried again.
     */
    private void overtaken(Core s, Double sentAt) {
        if (sentAt == null) {
            return;
        }
        double before = sentAt - way(s);
        for (Iterator<Map.Entry<Long, Double>> it = s.unanswered.entrySet().iterator(); it.hasNext(); ) {
            Map.Entry<Long, Double> earlier = it.next();
            if (earlier.getValue() >= before) {
                return;
            }
            lost.add(earlier.getKey());
            it.remove();
        }
    }

    /** The time a set-up takes without a wait; a server never seen unpressed is held to the best one's. */
    private double way(Core s) {
        double way = Math.min(s.lowest, bestWay + ONSET_MOST * room);
        return way == Double.POSITIVE_INFINITY ? 0 : way;
    }

    private void setEstimate(Core s, double value, double now) {
        s.estimate = value;
        s.estimateAt = now;
    }

    /** A reported wait comes late, and may miss a line that is filling: it only ever raises the estimate. */
    private void readReport(Core s, ServerLoadReport report, double now) {
        if (report.freeLines().isPresent()) {
            s.freeLines = report.freeLines().getAsDouble();
            s.lines = report.lines().orElse(s.lines);
            double before = s.used * Math.exp(Math.min(0, s.linesAt - now) / RATE_SPAN);
            s.used = Math.max(s.lines - s.freeLines, before);
            s.linesGap = Math.min(spell(), now - s.linesAt);
            s.linesDraw = random.nextDouble() * fronts;
            s.linesAt = now;
        }
        // Set-ups waiting there are so many turns of all fronts, longer ones where the server is slow.
        double each = Math.min(1, report.utilization().orElse(1)) * turn(s) * Math.max(1, s.squeeze) / fronts;
        double wait = report.processorWait().orElse(report.queueLength().orElse(0) * each);
        boolean told =
                report.processorWait().isPresent() || report.queueLength().isPresent();
        if (told && (report.utilization().orElse(0) < BUSY || wait >= onset(s, 0))) {
            observe(s, wait, Math.min(RELAX, report.utilization().orElse(RELAX) / BUSY), now);
        }
        if (wait > fallen(s, now)) {
            setEstimate(s, fallen(s, now) + FAST * (wait - fallen(s, now)), now);
        }
    }

    /**
     * Guards the worth of calls where lines run short before the processor does: the wait does not show it.
     * Each rank leaves some lines to the next. Where fewer are to be had until the next news than there are
     * fronts, each goes by a chance of its own. Old news that none is free is believed no more.
     */
    private boolean hasLine(Core s, int rank, double now) {
        if (s.freeLines <= 0 ? now >= s.linesAt + spell() : s.freeLines == Double.POSITIVE_INFINITY) {
            return true;
        }
        double kept = (worths.length - 1 - rank) * KEPT_LINES * Math.sqrt(s.lines);
        double freed = callsEnded > 0 ? s.used * s.linesGap / (callTime / callsEnded) : 0;
        return s.freeLines > kept && s.freeLines - kept + freed > s.linesDraw;
    }

    /** What an ending tells of the server. */
    private void judge(Core s, AttemptOutcome e, boolean wasOut, double now) {
        if (e.status() != AttemptStatus.COMPLETED && e.status() != AttemptStatus.ERROR) {
            s.unanswered.remove(e.callId());
        }
        switch (e.status()) {
            case COMPLETED, ERROR -> {
                if (e.status() == AttemptStatus.COMPLETED) {
                    callTime += e.delay();
                    callsEnded++;
                }
                answered(s, e.callId(), e.delay(), now, false);
                readReport(s, e.report(), now);
            }
            case FULL -> {
                readReport(s, e.report(), now);
                s.answeredAt = now;
                if (e.reason() == RejectReason.NO_LINE) {
                    s.freeLines = 0;
                    s.linesAt = now;
                }
                if (e.reason() == RejectReason.PROCESSOR_FULL || e.reason() == RejectReason.BEYOND_FULL) {
                    // A notice: every rank but the top stops until abatement; a told wait stops all.
                    // Guards against a server that turns all away at once: notices in a row, with nothing
                    // standing between them, close it the longer, so that its quick answers draw no calls.
                    s.notices++;
                    double closed = room * (1 + Math.min(s.notices, 2 * DOWN_AFTER));
                    setEstimate(s, Math.max(wait(s, now), closed), now);
                    s.toldUntil = Math.max(s.toldUntil, now + e.retryAfter().orElse(0));
                    squeeze(s, room, now);
                }
            }
            case TIMED_OUT, CANCELLED -> {
                if (wasOut && !lost.contains(e.callId())) {
                    // What the silence had proved stays true when its set-up is given up.
                    setEstimate(s, Math.max(wait(s, now), e.delay() - way(s)), now);
                    squeeze(s, room, now);
                }
                if (wasOut && s.answeredAt < now - Math.max(e.delay(), room)) {
                    badEnding(s, now);
                }
            }
            case RESET, UNREACHABLE -> {
                // A set-up that breaks after later ones were answered broke on its way: the process is alive.
                if (e.status() == AttemptStatus.UNREACHABLE || s.answeredAt < now - e.delay()) {
                    s.died = true;
                    badEnding(s, now);
                }
            }
            default -> {}
        }
    }

    /** Guards against a server that died, whatever killed it, before the list tells. */
    private void badEnding(Core s, double now) {
        if (++s.badEndings >= DOWN_AFTER && !s.down) {
            s.down = true;
            s.testedAt = now;
            s.unanswered.keySet().removeIf(id -> !calls.containsKey(id));
        }
    }

    /** A server thought dead that answers has restarted for all we know: cold from now on; if silent, not. */
    private void revive(Core s, double now) {
        s.badEndings = 0;
        if (s.down && s.died) {
            startCold(s, now, now);
        } else if (s.down) {
            s.down = false;
            squeeze(s, room, now);
        }
        s.died = false;
    }

    // ---- Levels -----------------------------------------------------------------------------------------

    private double onset(Core s, int rank) {
        double first = s.mean + PHI * Math.sqrt(s.variance);
        first = Math.max(ONSET_LEAST * room, Math.min(ONSET_MOST * room, first));
        return first + (room - first) * rank / worths.length;
    }

    /** Abatement lies half way from the ordinary wait up to onset. */
    private double abatement(Core s, int rank) {
        double low = Math.min(s.mean, onset(s, 0));
        return (low + onset(s, rank)) / 2;
    }

    /** Whether a server takes calls of this rank, by its levels alone. */
    private boolean open(Core s, int rank, double now) {
        double wait = wait(s, now);
        for (int r = 0; r < s.stopped.length; r++) {
            s.stopped[r] = wait >= onset(s, r) || s.stopped[r] && wait > abatement(s, r);
        }
        if (now < s.toldUntil || !hasLine(s, rank, now)) {
            return false;
        }
        // Guards against set-ups sent into an unproved server: one goes, and its answer lets the next.
        s.releasing |= s.stopped[0];
        boolean careful = s.releasing || warmth(s, now) < 1 || s.samples < KNOWN;
        if (!s.stopped[rank] && !(careful && !s.unanswered.isEmpty())) {
            return true;
        }
        // Only silence stops it: one or two more test whether the silent set-up was merely lost.
        return s.squeeze <= 1
                && !s.unanswered.isEmpty()
                && s.unanswered.size() <= SILENCE_TESTS
                && fallen(s, now) < onset(s, 0)
                && now - s.sentAt > way(s) + onset(s, 0);
    }

    /** A call's rank: the place of the worth that it can still earn; after its aim that is its late worth. */
    private int rank(Held held, boolean isLate) {
        CallClass c = settings.classes().get(held.callClass);
        double worth = c.worth().orElse(1) * (isLate ? c.lateShare().orElse(0) : 1);
        return Math.max(0, Arrays.binarySearch(worths, worth));
    }

    /** Ranks what came since the last moment, and again those that have crossed their aim, either way. */
    private void rankAll(double now) {
        for (Held held : fresh) {
            byDeadline.add(held);
            boolean isLate = now + lead >= held.aimBy;
            held.rank = rank(held, isLate);
            (isLate ? late : early).add(held);
            place(held, now);
        }
        fresh.clear();
        while (!early.isEmpty() && now + lead >= early.first().aimBy) {
            cross(early.first(), early, late, now);
        }
        while (!late.isEmpty() && now + lead < late.last().aimBy) {
            cross(late.last(), late, early, now);
        }
        while (!byRelease.isEmpty() && now >= byRelease.first().notBefore) {
            Held held = byRelease.pollFirst();
            held.group.waiting.remove(held);
            held.group.ripe.add(held);
        }
    }

    private void cross(Held held, TreeSet<Held> from, TreeSet<Held> to, double now) {
        from.remove(held);
        to.add(held);
        unplace(held);
        held.rank = rank(held, to == late);
        place(held, now);
    }

    private void place(Held held, double now) {
        Kind kind = new Kind(held.callClass, held.rank, held.moved, held.mayUse);
        String avoid = held.avoid == null ? "" : held.avoid.id;
        held.group = groups.computeIfAbsent(
                List.of(kind, avoid, held.inTransit ? held.firstChoice : -1),
                k -> new Group(kind, held.avoid == null && !held.inTransit));
        if (now >= held.notBefore) {
            held.group.ripe.add(held);
        } else {
            held.group.waiting.add(held);
            byRelease.add(held);
        }
    }

    private void unplace(Held held) {
        held.group.ripe.remove(held);
        held.group.waiting.remove(held);
        byRelease.remove(held);
        held.group = null;
    }

    /** The call is held no more. */
    private void release(Held held) {
        fresh.remove(held);
        if (held.group != null) {
            unplace(held);
            early.remove(held);
            late.remove(held);
            byDeadline.remove(held);
        }
    }

    // ---- Choice -----------------------------------------------------------------------------------------

    private List<Core> usable(Held held) {
        return held.inTransit
                ? findUsable(held)
                : usable.computeIfAbsent(List.of(held.callClass, held.mayUse), k -> findUsable(held));
    }

    private List<Core> findUsable(Held held) {
        List<Integer> allowed =
                settings.classes().get(held.callClass).allowedServers().orElse(List.of());
        int own = settings.ownIndex().orElse(-1);
        List<Core> list = new ArrayList<>();
        for (Core s : servers.values()) {
            boolean may = held.inTransit
                    ? s.number == held.firstChoice
                    : (own < 0 || s.number != own)
                            && (allowed.isEmpty() || allowed.contains(s.number))
                            && (held.mayUse.isEmpty() || held.mayUse.contains(s.number));
            if (may && s.state == ServerState.RUNNING) {
                list.add(s);
            }
        }
        return list;
    }

    /** First choice while open; else of two drawn from the open ones, the one with fewer own unanswered. */
    private Core choose(Held held, List<Core> usable, double now) {
        List<Core> open = new ArrayList<>();
        Core first = null;
        missedByTime = false;
        for (Core s : usable) {
            boolean inTime = now + way(s) + wait(s, now) < held.deadline;
            boolean turn = !held.moved || now >= s.pacedAt;
            boolean takes = !s.down && open(s, held.rank, now);
            missedByTime |= takes && !inTime;
            if (takes && inTime && turn && mayPush(s, held.rank, now)) {
                if (s.number == held.firstChoice && s != held.avoid) {
                    first = s;
                }
                open.add(s);
            }
        }
        if (first != null) {
            return first;
        }
        if (open.isEmpty()) {
            return test(held, usable, now);
        }
        if (open.size() > 1) {
            open.remove(held.avoid);
        }
        // Drawn by ordinary shares: what a large server can't take would push over a small one.
        open.forEach(s -> s.draw = -Math.log(1 - random.nextDouble()) / size(s));
        open.sort(Comparator.comparingDouble(s -> s.draw));
        Core one = open.get(0);
        Core two = open.get(Math.min(1, open.size() - 1));
        return two.unanswered.size() < one.unanswered.size() ? two : one;
    }

    /**
     * While none is open, one set-up now and then tests a server that is down or turns all away. One that is
     * only pressed needs no test of its own: its estimate falls back until it is open for one set-up.
     */
    private Core test(Held held, List<Core> usable, double now) {
        for (Core s : usable) {
            boolean due = now >= Math.max(s.sentAt, s.testedAt) + testGap(s) && now >= s.toldUntil;
            boolean bySetUp = s.down ? !mayProbe : s.notices >= DOWN_AFTER;
            if (due && bySetUp && s.unanswered.isEmpty() && s != held.avoid && mayPush(s, held.rank, now)) {
                s.testedAt = now;
                return s;
            }
        }
        return null;
    }

    private double testGap(Core s) {
        return Math.max(spell(), turn(s));
    }

    /** The time for which a single piece of bad news is believed. */
    private double spell() {
        return Math.max(guard, 2 * room);
    }

    /**
     * The fair turn: the time between set-ups of this front at one server if all fronts alike kept it at its
     * ordinary share of what stands. Lines in use show these shares at once and to all fronts. Allowances
     * are counted in turns, so that those of all fronts add up to what a server can do, be they 5 or 500.
     */
    private double turn(Core s) {
        double byOwn = Math.max(1, allSizes / size(s)) * Math.max(span, room) / Math.max(1, stood);
        return fill > 0 && callsEnded > 0 ? Math.min(byOwn, fronts * callTime / callsEnded / size(s)) : byOwn;
    }

    /** Most lines lately in use; at a new server what it should have by its lines; unknown: all alike. */
    private double size(Core s) {
        double ordinary = s.startedAt > Double.NEGATIVE_INFINITY ? Math.max(s.used, fill * s.lines) : s.used;
        return fill <= 0 || s.lines == Double.POSITIVE_INFINITY ? 1 : Math.max(1, ordinary);
    }

    private void measure(double now) {
        lead = Double.POSITIVE_INFINITY;
        double used = 0;
        double lines = 0;
        for (Core s : servers.values()) {
            if (s.state == ServerState.RUNNING && !s.down) {
                lead = Math.min(lead, way(s) + Math.min(room, Math.max(wait(s, now), onset(s, 0))));
                used += s.used;
                lines += s.lines;
            }
        }
        lead = lead == Double.POSITIVE_INFINITY ? 0 : lead;
        fill = lines > 0 ? used / lines : 0;
        allSizes = 0;
        for (Core s : servers.values()) {
            allSizes += s.state == ServerState.RUNNING && !s.down ? size(s) : 0;
        }
    }

    // ---- Hold and paced hand-over -------------------------------------------------------------------------

    /** Between onset and discard a call is held; past discard everywhere it is refused at once. */
    private boolean worthHolding(Held held, List<Core> usable, double now) {
        if (usable.isEmpty() || now >= held.deadline - room) {
            return false;
        }
        for (Core s : usable) {
            if (s.down || wait(s, now) < onset(s, held.rank + 1)) {
                return true;
            }
        }
        return false;
    }

    private void refuse(Held held, double now) {
        release(held);
        calls.remove(held.id);
        unserved(held);
        act.refuseCall(held.id, returnAdvice());
    }

    /** A caller who got no service dials again, marked or not, and is late by then. */
    private void unserved(Held held) {
        unserved.putIfAbsent(
                held.number,
                held.arrived + settings.classes().get(held.callClass).deadline().orElse(UNSET_AIM));
    }

    /** Redials are spread, or they come back in step. */
    private double returnAdvice() {
        return settings.maxRetryAfter().orElse(0) * (0.5 + 0.5 * random.nextDouble());
    }

    /**
     * Sends what may go, highest worth first, holds the rest, or refuses it where holding is of no use. Where
     * one call must be held, those of its kind behind it must be too, and of those that avoid one server the
     * others: within a moment servers only close. So a moment tries one call of each group, those that it
     * sends or refuses, and those whose time is all but over, and walks no others.
     */
    private void pump(double now) {
        Set<Kind> shut = new HashSet<>();
        PriorityQueue<Cursor> next = new PriorityQueue<>((a, b) -> ORDER.compare(a.at, b.at));
        TreeSet<Held> due = new TreeSet<>(ORDER);
        for (Held held : byDeadline) {
            if (now < held.deadline - room) {
                break;
            }
            due.add(held);
            held.group.ripe.remove(held);
            held.group.waiting.remove(held);
        }
        groups.values().removeIf(g -> g.ripe.isEmpty() && g.waiting.isEmpty());
        List<Group> unmoved =
                groups.values().stream().filter(g -> !g.kind.moved).toList();
        for (Group g : groups.values()) {
            start(next, new Cursor(g, g.ripe));
            if (!g.waiting.isEmpty() && !worthHolding(g.waiting.first(), usable(g.waiting.first()), now)) {
                start(next, new Cursor(g, g.waiting));
            }
        }
        start(next, new Cursor(null, due));
        while (!next.isEmpty()) {
            Cursor cursor = next.poll();
            if (cursor.group != null && shut.contains(cursor.group.kind)) {
                continue;
            }
            Held held = cursor.at;
            cursor.at = cursor.of.higher(held);
            if (tried(held, cursor.group, shut, now) && cursor.at != null) {
                next.add(cursor);
            }
        }
        // What is left has been moved from its first place: it is handed over at the pace from now on.
        for (Group g : unmoved) {
            for (Held held : List.copyOf(g.ripe)) {
                unplace(held);
                held.moved = true;
                place(held, now);
            }
        }
    }

    private static void start(PriorityQueue<Cursor> next, Cursor cursor) {
        if (cursor.at != null) {
            next.add(cursor);
        }
    }

    /** Tries one held call; returns whether the next of its group may fare otherwise. */
    private boolean tried(Held held, Group group, Set<Kind> shut, double now) {
        List<Core> usable = usable(held);
        Core s = now >= held.notBefore ? choose(held, usable, now) : null;
        if (s != null) {
            release(held);
            s.pacedAt = held.moved ? now + turn(s) / PACE : s.pacedAt;
            send(held, s, now);
            return true;
        }
        if (!worthHolding(held, usable, now)) {
            refuse(held, now);
            return true;
        }
        if (group.plain) {
            shut.add(group.kind);
        }
        return missedByTime && !group.plain;
    }

    private void send(Held held, Core s, double now) {
        held.out = s;
        held.sentAt = now;
        held.attempts++;
        s.sentAt = now;
        s.unanswered.put(held.id, now - asleep);
        s.tokens--;
        s.freeLines = Math.max(0, s.freeLines - 1);
        act.sendSetUp(held.id, s.id, held.deadline);
    }

    // ---- Guards -----------------------------------------------------------------------------------------

    /** Guards a call against a server gone silent: with no answer of any kind since it was sent, it moves. */
    private void watch(Core s, double now) {
        double patience = way(s) + room + 2 * s.estimate;
        for (Map.Entry<Long, Double> e : s.unanswered.entrySet()) {
            Held held = calls.get(e.getKey());
            if (now - asleep - e.getValue() <= patience) {
                break;
            }
            if (held != null && s.answeredAt < held.sentAt && elsewhere(held, now)) {
                callBack(held, now);
            }
        }
    }

    private void callBack(Held held, double now) {
        boolean timeToMove = now + guard + room < held.deadline && held.attempts < maxAttempts;
        if (mayCancel && timeToMove && !held.cancelling) {
            held.cancelling = true;
            act.cancelAttempt(held.id, held.attempts - 1);
        }
    }

    private boolean elsewhere(Held held, double now) {
        for (Core s : usable(held)) {
            if (s != held.out && !s.down && open(s, held.rank, now)) {
                return true;
            }
        }
        return false;
    }

    /** A server starts cold: it gets this front's share of what it can do, and no more, until it is warm. */
    private void startCold(Core s, double since, double now) {
        s.startedAt = since;
        s.down = false;
        s.badEndings = 0;
        // Fronts hear of a start together: a random part of the first token keeps them out of step.
        s.tokens = random.nextDouble();
        s.tokensAt = now;
        s.squeeze = 0;
        lost.addAll(s.unanswered.keySet());
        s.unanswered.clear();
        setEstimate(s, s.mean, now);
    }

    /** The share of its capacity that a server has surely reached since its start. */
    private double warmth(Core s, double now) {
        double age = now - s.startedAt;
        return age >= warmWithin ? 1 : coldFrom + (1 - coldFrom) * Math.max(0, age) / warmWithin;
    }

    /**
     * The turns of a server that is cold or squeezed: a cold one gets a fair share as its warmth allows, a
     * squeezed one what its answers showed it to bear. As at the levels, each rank stops before the next.
     */
    private boolean mayPush(Core s, int rank, double now) {
        double warmth = warmth(s, now);
        if (warmth >= 1 && s.squeeze == 0) {
            return true;
        }
        s.squeeze -= Math.max(0, s.squeeze - 1) * (1 - Math.exp((s.tokensAt - now) / SQUEEZE_SPAN));
        double share =
                warmth < 1 ? warmth * BUDGET_SHARE * settings.overloadMultiple().orElse(1) : 1;
        double rate = Math.min(share, s.squeeze > 0 ? 1 / s.squeeze : share) / turn(s);
        s.tokens = Math.min(1, Math.max(-1, s.tokens) + rate * (now - s.tokensAt));
        s.tokensAt = now;
        return s.tokens >= (warmth < 1 || worths.length < 2 ? 1 : 1 - rank / (worths.length - 1.0));
    }
}
