package damsonseam.core;

import damsonseam.RoutingPolicy;
import damsonseam.RoutingPolicy.AttemptOutcome;
import damsonseam.RoutingPolicy.AttemptStatus;
import damsonseam.RoutingPolicy.Call;
import damsonseam.RoutingPolicy.PolicyActions;
import damsonseam.RoutingPolicy.RejectReason;
import damsonseam.RoutingPolicy.ServerLoadReport;
import damsonseam.core.CallRecord.Phase;
import damsonseam.core.Ports.Caller;
import damsonseam.core.Ports.NotSent;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.function.Function;

/**
 * The core of one front: tells the decision module what happens and carries out what it decides. All methods
 * run on one thread; {@code now} is the front's clock in milliseconds and never runs backwards. Events are
 * handed to the module as they come, and {@link #settle} lets it act once all news of a moment is in.
 *
 * <p>What the core adds to the module is bookkeeping, not choice: a call has one final answer, one attempt out
 * at a time, a circuit from set-up to release, and an end before its caller gives up even if nothing else
 * answers it. What the module wants of a call that is over is passed over.
 */
public final class Router implements PolicyActions {
    /** Rounds of one moment at the most: each needs the module to have acted in the one before. */
    private static final int MOST_ROUNDS = 64;

    private final RouterSettings settings;
    private final RoutingPolicy module;
    private final CallTable calls;
    private final Timers timers;
    private final Pool pool = new Pool();
    private final Ports.Lookups lookups;
    private final Ports.Trunks trunks;
    private final Ports.Directory directory;
    private final Story story;
    private final Counters counters = new Counters();
    /** Ends of attempts that were found out while the module was acting: it hears of them when it is done. */
    private final ArrayDeque<Runnable> echoes = new ArrayDeque<>();

    private double now;
    private double beatAt = Double.NaN;
    private double beatBefore = Double.NaN;
    /** Calls whose callers are owed an answer, by class; the last place is their sum. */
    private final int[] owed;

    private boolean unsettled;
    private boolean draining;

    /** A router over the given ports; {@code module} makes the decision module for the router's actions. */
    public Router(
            RouterSettings settings,
            Function<PolicyActions, RoutingPolicy> module,
            CallTable calls,
            Timers timers,
            Ports.Lookups lookups,
            Ports.Trunks trunks,
            Ports.Directory directory,
            Story story) {
        this.settings = settings;
        this.calls = calls;
        this.timers = timers;
        this.lookups = lookups;
        this.trunks = trunks;
        this.directory = directory;
        this.story = story;
        this.module = module.apply(this);
        owed = new int[settings.module().classes().size() + 1];
    }

    // ---- The loop ---------------------------------------------------------------------------------------

    /** The beat of the loop: fires timers that are due and measures how late the loop is. */
    public void beat(double at) {
        clock(at);
        if (!Double.isNaN(beatAt)) {
            counters.longestPause = Math.max(counters.longestPause, at - beatAt - settings.beat());
        }
        timers.poll(at);
        beatBefore = beatAt;
        beatAt = at;
    }

    /**
     * Fires what is overdue before anything is read after a pause: what has run out in the meantime is answered
     * first, and not after the whole backlog. Cheap where there was no pause.
     */
    public void catchUp(double at) {
        if (!Double.isNaN(beatAt) && at - beatAt > 3 * settings.beat()) {
            clock(at);
            timers.poll(at);
        }
    }

    /**
     * How long something read from a stream at {@code at} may have waited unread. Between two beats the loop
     * reads its sockets at least once, so what it reads now came after the last beat but one.
     */
    public double turnAge(double at) {
        return Double.isNaN(beatBefore) ? 0 : Math.max(0, at - beatBefore - 3 * settings.beat());
    }

    /** Lets the module act; call it once all events of this moment have been handed over. */
    public void settle(double at) {
        clock(at);
        for (int round = 0; unsettled && round < MOST_ROUNDS; round++) {
            unsettled = false;
            module.onBatchEnd(now);
            for (Runnable echo = echoes.poll(); echo != null; echo = echoes.poll()) {
                echo.run();
            }
        }
    }

    /** Whether {@link #settle} has something to do. */
    public boolean unsettled() {
        return unsettled;
    }

    /** The router's clock moves on to {@code at}; it never runs backwards. */
    public void clock(double at) {
        now = Math.max(now, at);
    }

    /** The time of the moment that is being handed over. */
    public double now() {
        return now;
    }

    private void heard() {
        unsettled = true;
    }

    // ---- Callers ----------------------------------------------------------------------------------------

    /**
     * A call comes in whose number has to be looked up.
     *
     * @param timeLeft until its caller gives up, by the settings or the caller's own word, in milliseconds
     * @param age how long it may have waited unread; it is taken off the time left
     * @return the call, or null if it was answered at once (its caller has been told)
     */
    public CallRecord offered(
            double at, String number, int callClass, double timeLeft, double age, boolean redialled, Caller caller) {
        CallRecord call = take(at, number, callClass, timeLeft, age, redialled, caller);
        if (call != null) {
            lookups.lookUp(call.id(), number, call.deadline() - settings.lastMoment());
        }
        return call;
    }

    /**
     * A call comes in that says itself where it may go; else as {@link #offered}.
     *
     * @param firstChoice number of its first choice, -1 for none
     */
    public CallRecord routed(
            double at,
            String number,
            int callClass,
            int firstChoice,
            double timeLeft,
            double age,
            boolean redialled,
            Caller caller) {
        CallRecord call = take(at, number, callClass, timeLeft, age, redialled, caller);
        if (call != null) {
            offer(call, firstChoice, List.of());
        }
        return call;
    }

    private CallRecord take(
            double at, String number, int callClass, double timeLeft, double age, boolean redialled, Caller caller) {
        clock(at);
        double deadline = now + timeLeft - age;
        CallRecord call = new CallRecord(calls.nextId(), number, callClass, redialled, now, deadline, caller);
        counters.taken++;
        owes(call, 1);
        if (calls.full() || draining) {
            counters.tableFull += draining ? 0 : 1;
            finish(
                    call,
                    FinalAnswer.refused(
                            settings.module().maxRetryAfter().orElse(0),
                            draining ? "front is closing" : "call table full"));
            return null;
        }
        calls.add(call);
        story.step(now, call, "taken", number);
        if (deadline - settings.lastMoment() <= now) {
            finish(call, FinalAnswer.failed("waited unread too long"));
            return null;
        }
        call.swapDeadlineTimer(timers.set(deadline - settings.lastMoment(), t -> lastMoment(call, t)));
        return call;
    }

    private void offer(CallRecord call, int firstChoice, List<Integer> numbers) {
        call.found();
        module.onCallOffered(
                now,
                new Call(
                        call.id(),
                        call.number(),
                        call.callClass(),
                        firstChoice,
                        call.deadline() - now,
                        call.redialled(),
                        false,
                        numbers));
        heard();
    }

    /** Guards the one answer of each call against a module or a look-up that says nothing. */
    private void lastMoment(CallRecord call, double at) {
        clock(at);
        if (call.phase() == Phase.LOOKING_UP) {
            finish(call, FinalAnswer.failed("look-up not answered in time"));
            return;
        }
        counters.lastMoment++;
        leave(call, AttemptStatus.TIMED_OUT);
        finish(call, FinalAnswer.failed("no answer in time"));
    }

    /** The caller went away; nothing more is owed. */
    public void left(double at, CallRecord call) {
        clock(at);
        if (call.phase() == Phase.OVER || call.phase() == Phase.STANDING) {
            return;
        }
        if (call.phase() == Phase.TRYING) {
            leave(call, AttemptStatus.CANCELLED);
        }
        call.takeCaller();
        finish(call, FinalAnswer.failed("caller left"));
    }

    /**
     * Nobody waits for the call any more. Each attempt has one end, also where its call is over before: the module
     * takes a set-up without an end for a server that is silent.
     */
    private void leave(CallRecord call, AttemptStatus result) {
        boolean out = call.out();
        releaseAttempt(call, result == AttemptStatus.TIMED_OUT);
        module.onCallAbandoned(now, call.id());
        if (out) {
            module.onAttemptOutcome(
                    now,
                    new AttemptOutcome(
                            call.id(),
                            call.server(),
                            call.attempts() - 1,
                            now - call.sentAt(),
                            result,
                            RejectReason.NONE,
                            OptionalDouble.empty(),
                            true,
                            ServerLoadReport.NONE));
        }
        heard();
    }

    /** What the look-up of a call's number came to; passed over where the call is over. */
    public void lookedUp(double at, long id, Candidates candidates) {
        clock(at);
        CallRecord call = calls.get(id);
        if (call == null || call.phase() != Phase.LOOKING_UP) {
            return;
        }
        switch (candidates.outcome()) {
            case UNKNOWN -> finish(call, new FinalAnswer(FinalAnswer.Kind.UNKNOWN_NUMBER, "", 0, "unknown number"));
            case UNAVAILABLE -> finish(call, FinalAnswer.failed("look-up failed"));
            default -> {
                story.step(now, call, "looked-up", String.join(" ", candidates.servers()));
                List<Integer> numbers = new ArrayList<>(candidates.servers().size());
                candidates.servers().forEach(name -> numbers.add(pool.number(name)));
                offer(call, numbers.get(0), numbers);
            }
        }
    }

    private void finish(CallRecord call, FinalAnswer answer) {
        timers.cancel(call.swapDeadlineTimer(null));
        timers.cancel(call.swapAttemptTimer(null));
        Caller caller = call.close();
        calls.remove(call);
        owes(call, -1);
        tell(call, caller, answer);
    }

    private void owes(CallRecord call, int change) {
        owed[call.callClass()] += change;
        owed[owed.length - 1] += change;
    }

    private void tell(CallRecord call, Caller caller, FinalAnswer answer) {
        if (caller == null) {
            return;
        }
        switch (answer.kind()) {
            case STANDS -> counters.stood++;
            case REFUSED -> counters.refused++;
            default -> counters.failed++;
        }
        story.step(now, call, "answer", answer.kind() + " " + answer.why());
        caller.answered(now, call, answer);
    }

    // ---- Attempts ---------------------------------------------------------------------------------------

    /** The attempt was answered: the call stands. Late answers of attempts that are over are passed over. */
    public void stands(double at, long id, int attempt, ServerLoadReport report) {
        clock(at);
        CallRecord call = calls.get(id);
        if (call == null || !call.out() || call.releasing() != null || !call.isAttempt(attempt)) {
            return;
        }
        if (now > call.deadline()) {
            // Guards against a pause of the loop: an answer read before the timer that should have ended its
            // attempt long ago is too late for the caller, who has gone.
            counters.timedOut++;
            abandoned(call, attempt, AttemptStatus.TIMED_OUT);
            return;
        }
        timers.cancel(call.swapAttemptTimer(null));
        timers.cancel(call.swapDeadlineTimer(null));
        call.stand();
        owes(call, -1);
        // The report rides with the answer, but the module hears it as news of the server.
        if (!report.equals(ServerLoadReport.NONE)) {
            module.onProbeResult(now, call.server(), false, true, 0, report);
        }
        module.onCallEstablished(now, id, call.server(), attempt, now - call.sentAt());
        heard();
        tell(call, call.takeCaller(), FinalAnswer.stands(call.server()));
    }

    /** An attempt, or the standing call that it became, was ended by the far side or with its connection. */
    public void ended(
            double at,
            long id,
            int attempt,
            AttemptStatus result,
            RejectReason reason,
            OptionalDouble toldWait,
            ServerLoadReport report) {
        clock(at);
        CallRecord call = calls.get(id);
        if (call == null || !call.isAttempt(attempt) || !call.out() && call.phase() != Phase.STANDING) {
            return;
        }
        end(call, attempt, result, reason, toldWait, report);
    }

    private void end(
            CallRecord call,
            int attempt,
            AttemptStatus result,
            RejectReason reason,
            OptionalDouble toldWait,
            ServerLoadReport report) {
        boolean last = call.phase() == Phase.STANDING;
        double took = (call.releasing() == null ? now : call.releasedAt()) - call.sentAt();
        timers.cancel(call.swapAttemptTimer(null));
        if (!last) {
            call.attemptOver();
        }
        story.step(now, call, "ended", call.server() + " " + result);
        module.onAttemptOutcome(
                now,
                new AttemptOutcome(call.id(), call.server(), attempt, took, result, reason, toldWait, last, report));
        heard();
        if (last) {
            call.close();
            calls.remove(call);
        }
    }

    /**
     * Gives an attempt up. The module hears of its end only when the server has completed the release, or after
     * the time that one is waited for: the guard before the next set-up then runs from a moment at which the
     * server certainly, or as good as certainly, had the release. Guards against a way that is slower for the
     * release than for the set-up that follows it to another server.
     */
    private void abandoned(CallRecord call, int attempt, AttemptStatus result) {
        call.release(result, now);
        clock(trunks.release(now, call.server(), call.id(), attempt, result == AttemptStatus.TIMED_OUT));
        timers.cancel(call.swapAttemptTimer(timers.set(now + settings.releaseWait(), at -> {
            counters.unprovedReleases++;
            released(at, call.id(), attempt);
        })));
    }

    /** The server has a release, or was given long enough for it; passed over where nothing is being released. */
    public void released(double at, long id, int attempt) {
        clock(at);
        CallRecord call = calls.get(id);
        if (call != null && call.out() && call.releasing() != null && call.isAttempt(attempt)) {
            end(call, attempt, call.releasing(), RejectReason.NONE, OptionalDouble.empty(), ServerLoadReport.NONE);
        }
    }

    private void releaseAttempt(CallRecord call, boolean timedOut) {
        if (call.out()) {
            if (call.releasing() == null) {
                trunks.release(now, call.server(), call.id(), call.attempts() - 1, timedOut);
            }
            call.attemptOver();
        }
    }

    // ---- Servers ----------------------------------------------------------------------------------------

    /** An update of the pool directory; returns whether the whole list must be asked for. */
    public boolean directory(double at, long version, boolean full, List<Pool.Server> servers) {
        clock(at);
        Pool.News news = pool.apply(version, full, servers);
        if (news.full() || !news.entries().isEmpty()) {
            module.onServerListUpdate(now, news.full(), news.entries());
            heard();
        }
        return news.gap();
    }

    /** The directory could not be reached or broke off; the old list stays. */
    public void directoryFailed(double at) {
        clock(at);
        module.onServerListFailure(now);
        heard();
    }

    /** The answer to a probe, or with {@code asked} false a report that came by itself. */
    public void probed(
            double at, String server, boolean asked, boolean answered, double delay, ServerLoadReport report) {
        clock(at);
        module.onProbeResult(now, server, asked, answered, delay, report);
        heard();
    }

    // ---- What the module asks for -----------------------------------------------------------------------

    @Override
    public void sendSetUp(long id, String server, double abandonAt) {
        CallRecord call = calls.get(id);
        if (call == null || call.phase() != Phase.TRYING) {
            return;
        }
        int attempt = call.send(server, now);
        double latest = call.deadline() - settings.lastMoment();
        double until = abandonAt > 0 ? Math.min(abandonAt, latest) : latest;
        NotSent notSent = trunks.setUp(now, server, id, attempt, until, call);
        if (notSent != null) {
            counters.notSent++;
            echoes.add(() -> ended(
                    now,
                    id,
                    attempt,
                    notSent.result(),
                    notSent.reason(),
                    OptionalDouble.empty(),
                    ServerLoadReport.NONE));
            return;
        }
        counters.setUps++;
        story.step(now, call, "set-up", server);
        call.swapAttemptTimer(timers.set(until, at -> {
            clock(at);
            if (call.out() && call.releasing() == null && call.isAttempt(attempt)) {
                counters.timedOut++;
                abandoned(call, attempt, AttemptStatus.TIMED_OUT);
            }
        }));
    }

    @Override
    public void refuseCall(long id, double returnAfter) {
        CallRecord call = calls.get(id);
        if (call != null && call.phase() == Phase.TRYING) {
            releaseAttempt(call, false);
            finish(call, FinalAnswer.refused(returnAfter, "refused"));
        }
    }

    @Override
    public void failCall(long id) {
        CallRecord call = calls.get(id);
        if (call != null && call.phase() == Phase.TRYING) {
            releaseAttempt(call, false);
            finish(call, FinalAnswer.failed("failed"));
        }
    }

    @Override
    public void cancelAttempt(long id, int attempt) {
        CallRecord call = calls.get(id);
        if (call != null && call.out() && call.releasing() == null && call.isAttempt(attempt)) {
            // The module hears that it is over when it is done with this moment.
            echoes.add(() -> {
                if (call.out() && call.releasing() == null && call.isAttempt(attempt)) {
                    counters.cancelled++;
                    abandoned(call, attempt, AttemptStatus.CANCELLED);
                }
            });
        }
    }

    @Override
    public void startTimer(double after, long token) {
        timers.set(now + after, at -> {
            clock(at);
            module.onTimer(now, token);
            heard();
        });
    }

    @Override
    public void sendProbe(String server) {
        trunks.probe(now, server);
    }

    @Override
    public void fetchServerList() {
        directory.fetch();
    }

    @Override
    public void followServerList() {
        directory.follow();
    }

    // ---- Reports ----------------------------------------------------------------------------------------

    /**
     * The front ends before its callers' time is up: no call is taken any more, and all that are owed an answer get it
     * now. Those that are held were never sent on and are refused, an attempt that is out is given up and its call
     * fails.
     */
    public void giveUpAll(double at) {
        clock(at);
        draining = true;
        for (CallRecord call : List.copyOf(calls.all())) {
            if (call.phase() == Phase.TRYING && call.out()) {
                leave(call, AttemptStatus.CANCELLED);
                finish(call, FinalAnswer.failed("front is closing"));
            } else if (call.phase() != Phase.STANDING && call.phase() != Phase.OVER) {
                module.onCallAbandoned(now, call.id());
                finish(
                        call,
                        FinalAnswer.refused(settings.module().maxRetryAfter().orElse(0), "front is closing"));
            }
        }
        heard();
    }

    /** From now on no call is taken; those open are ended as usual. */
    public void drain() {
        draining = true;
    }

    /** Calls whose callers are still owed an answer. */
    public long unanswered() {
        return calls.all().stream().filter(c -> c.phase() != Phase.STANDING).count();
    }

    /** The list of servers as last told. */
    public Pool pool() {
        return pool;
    }

    /** Counts since the start. */
    public Counters counters() {
        return counters;
    }

    /** Calls whose callers are owed an answer, as counted; costs nothing. */
    public int owed() {
        return owed[owed.length - 1];
    }

    /** Those of one class. */
    public int owed(int callClass) {
        return owed[callClass];
    }

    /** Calls open now, standing ones included. */
    public int open() {
        return calls.size();
    }
}
