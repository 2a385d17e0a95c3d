package damsonseam.core;

import damsonseam.Front;
import damsonseam.Front.Actions;
import damsonseam.Front.Call;
import damsonseam.Front.Ending;
import damsonseam.Front.Reason;
import damsonseam.Front.Report;
import damsonseam.Front.Result;
import damsonseam.core.CallRecord.Phase;
import damsonseam.core.RouterPorts.Caller;
import damsonseam.core.RouterPorts.SendFailure;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.function.Function;

/**
 * The core of one front: tells the decision module what happens and carries out what it decides. All methods
 * run on one thread; {@code now} is the front's clock in milliseconds and never runs backwards. Events are
 * handed to the module as they come, and {@link #endBatch} lets it act once all news of a moment is in.
 *
 * <p>What the core adds to the module is bookkeeping, not choice: a call has one final answer, one attempt out
 * at a time, a circuit from set-up to release, and an end before its caller gives up even if nothing else
 * answers it. What the module wants of a call that is over is passed over.
 */
public final class Router implements Actions {
    /** Rounds of one moment at the most: each needs the module to have acted in the one before. */
    private static final int MAX_DECISION_ROUNDS = 64;

    private final RouterSettings settings;
    private final Front module;
    private final CallTable calls;
    private final TimerWheel timers;
    private final ServerList serverList = new ServerList();
    private final RouterPorts.NumberLookup lookups;
    private final RouterPorts.ServerSignalling trunks;
    private final RouterPorts.Directory serverListUpdated;
    private final CallTracer tracer;
    private final Counters counters = new Counters();
    /** Ends of attempts that were found out while the module was acting: it hears of them when it is done. */
    private final ArrayDeque<Runnable> deferredEvents = new ArrayDeque<>();

    private double now;
    private double lastTickAt = Double.NaN;
    private double previousTickAt = Double.NaN;
    /** Calls whose callers are owed an answer, by class; the last place is their sum. */
    private final int[] unansweredCalls;

    private boolean hasOpenBatch;
    private boolean draining;

    /** A router over the given ports; {@code module} makes the decision module for the router's actions. */
    public Router(
            RouterSettings settings,
            Function<Actions, Front> module,
            CallTable calls,
            TimerWheel timers,
            RouterPorts.NumberLookup lookups,
            RouterPorts.ServerSignalling trunks,
            RouterPorts.Directory directory,
            CallTracer story) {
        this.settings = settings;
        this.calls = calls;
        this.timers = timers;
        this.lookups = lookups;
        this.trunks = trunks;
        this.serverListUpdated = directory;
        this.tracer = story;
        this.module = module.apply(this);
        unansweredCalls = new int[settings.module().classes().size() + 1];
    }

    // ---- The loop ---------------------------------------------------------------------------------------

    /** The beat of the loop: fires timers that are due and measures how late the loop is. */
    public void onTick(double at) {
        advanceClock(at);
        if (!Double.isNaN(lastTickAt)) {
            counters.maxPauseMs = Math.max(counters.maxPauseMs, at - lastTickAt - settings.tickIntervalMs());
        }
        timers.poll(at);
        previousTickAt = lastTickAt;
        lastTickAt = at;
    }

    /**
     * Fires what is overdue before anything is read after a pause: what has run out in the meantime is answered
     * first, and not after the whole backlog. Cheap where there was no pause.
     */
    public void fireOverdueTimers(double at) {
        if (!Double.isNaN(lastTickAt) && at - lastTickAt > 3 * settings.tickIntervalMs()) {
            advanceClock(at);
            timers.poll(at);
        }
    }

    /**
     * How long something read from a stream at {@code at} may have waited unread. Between two beats the loop
     * reads its sockets at least once, so what it reads now came after the last beat but one.
     */
    public double maxReadAge(double at) {
        return Double.isNaN(previousTickAt) ? 0 : Math.max(0, at - previousTickAt - 3 * settings.tickIntervalMs());
    }

    /** Lets the module act; call it once all events of this moment have been handed over. */
    public void endBatch(double at) {
        advanceClock(at);
        for (int round = 0; hasOpenBatch && round < MAX_DECISION_ROUNDS; round++) {
            hasOpenBatch = false;
            module.settled(now);
            for (Runnable echo = deferredEvents.poll(); echo != null; echo = deferredEvents.poll()) {
                echo.run();
            }
        }
    }

    /** Whether {@link #endBatch} has something to do. */
    public boolean hasOpenBatch() {
        return hasOpenBatch;
    }

    /** The router's clock moves on to {@code at}; it never runs backwards. */
    public void advanceClock(double at) {
        now = Math.max(now, at);
    }

    /** The time of the moment that is being handed over. */
    public double now() {
        return now;
    }

    private void markBatchOpen() {
        hasOpenBatch = true;
    }

    // ---- Callers ----------------------------------------------------------------------------------------

    /**
     * A call comes in whose number has to be looked up.
     *
     * @param timeLeft until its caller gives up, by the settings or the caller's own word, in milliseconds
     * @param age how long it may have waited unread; it is taken off the time left
     * @return the call, or null if it was answered at once (its caller has been told)
     */
    public CallRecord callReceived(
            double at, String number, int callClass, double timeLeft, double age, boolean redialled, Caller caller) {
        CallRecord call = register(at, number, callClass, timeLeft, age, redialled, caller);
        if (call != null) {
            lookups.lookUp(call.id(), number, call.deadline() - settings.answerMarginMs());
        }
        return call;
    }

    /**
     * A call comes in that says itself where it may go; else as {@link #callReceived}.
     *
     * @param firstChoice number of its first choice, -1 for none
     */
    public CallRecord routedCallReceived(
            double at,
            String number,
            int callClass,
            int firstChoice,
            double timeLeft,
            double age,
            boolean redialled,
            Caller caller) {
        CallRecord call = register(at, number, callClass, timeLeft, age, redialled, caller);
        if (call != null) {
            offerToModule(call, firstChoice, List.of());
        }
        return call;
    }

    private CallRecord register(
            double at, String number, int callClass, double timeLeft, double age, boolean redialled, Caller caller) {
        advanceClock(at);
        double deadline = now + timeLeft - age;
        CallRecord call = new CallRecord(calls.nextId(), number, callClass, redialled, now, deadline, caller);
        counters.received++;
        countUnanswered(call, 1);
        if (calls.isFull() || draining) {
            counters.refusedTableFull += draining ? 0 : 1;
            finishCall(
                    call,
                    FinalAnswer.refused(
                            settings.module().maxReturnAdvice().orElse(0),
                            draining ? "front is closing" : "call table full"));
            return null;
        }
        calls.add(call);
        tracer.traceStep(now, call, "taken", number);
        if (deadline - settings.answerMarginMs() <= now) {
            finishCall(call, FinalAnswer.failed("waited unread too long"));
            return null;
        }
        call.replaceDeadlineTimer(timers.schedule(deadline - settings.answerMarginMs(), t -> lastMoment(call, t)));
        return call;
    }

    private void offerToModule(CallRecord call, int firstChoice, List<Integer> numbers) {
        call.startTrying();
        module.offered(
                now,
                new Call(
                        call.id(),
                        call.number(),
                        call.callClass(),
                        firstChoice,
                        call.deadline() - now,
                        call.isRedial(),
                        false,
                        numbers));
        markBatchOpen();
    }

    /** Guards the one answer of each call against a module or a look-up that says nothing. */
    private void lastMoment(CallRecord call, double at) {
        advanceClock(at);
        if (call.phase() == Phase.LOOKING_UP) {
            finishCall(call, FinalAnswer.failed("look-up not answered in time"));
            return;
        }
        counters.failedAtDeadline++;
        abandonCall(call, Result.TIMED_OUT);
        finishCall(call, FinalAnswer.failed("no answer in time"));
    }

    /** The caller went away; nothing more is owed. */
    public void callerAbandoned(double at, CallRecord call) {
        advanceClock(at);
        if (call.phase() == Phase.CLOSED || call.phase() == Phase.ESTABLISHED) {
            return;
        }
        if (call.phase() == Phase.TRYING) {
            abandonCall(call, Result.CANCELLED);
        }
        call.takeCaller();
        finishCall(call, FinalAnswer.failed("caller left"));
    }

    /**
     * Nobody waits for the call any more. Each attempt has one end, also where its call is over before: the module
     * takes a set-up without an end for a server that is silent.
     */
    private void abandonCall(CallRecord call, Result result) {
        boolean out = call.hasPendingAttempt();
        releaseAttempt(call, result == Result.TIMED_OUT);
        module.left(now, call.id());
        if (out) {
            module.ended(
                    now,
                    new Ending(
                            call.id(),
                            call.server(),
                            call.attempts() - 1,
                            now - call.sentAt(),
                            result,
                            Reason.NONE,
                            OptionalDouble.empty(),
                            true,
                            Report.NONE));
        }
        markBatchOpen();
    }

    /** What the look-up of a call's number came to; passed over where the call is over. */
    public void lookupCompleted(double at, long id, LookupResult candidates) {
        advanceClock(at);
        CallRecord call = calls.get(id);
        if (call == null || call.phase() != Phase.LOOKING_UP) {
            return;
        }
        switch (candidates.outcome()) {
            case NOT_FOUND -> finishCall(call, new FinalAnswer(FinalAnswer.Kind.UNKNOWN_NUMBER, "", 0, "unknown number"));
            case UNAVAILABLE -> finishCall(call, FinalAnswer.failed("look-up failed"));
            default -> {
                tracer.traceStep(now, call, "looked-up", String.join(" ", candidates.servers()));
                List<Integer> numbers = new ArrayList<>(candidates.servers().size());
                candidates.servers().forEach(name -> numbers.add(serverList.indexOf(name)));
                offerToModule(call, numbers.get(0), numbers);
            }
        }
    }

    private void finishCall(CallRecord call, FinalAnswer answer) {
        timers.cancel(call.replaceDeadlineTimer(null));
        timers.cancel(call.replaceAttemptTimer(null));
        Caller caller = call.close();
        calls.remove(call);
        countUnanswered(call, -1);
        deliverAnswer(call, caller, answer);
    }

    private void countUnanswered(CallRecord call, int change) {
        unansweredCalls[call.callClass()] += change;
        unansweredCalls[unansweredCalls.length - 1] += change;
    }

    private void deliverAnswer(CallRecord call, Caller caller, FinalAnswer answer) {
        if (caller == null) {
            return;
        }
        switch (answer.kind()) {
            case STANDS -> counters.established++;
            case REFUSED -> counters.refused++;
            default -> counters.failed++;
        }
        tracer.traceStep(now, call, "answer", answer.kind() + " " + answer.reason());
        caller.onFinalAnswer(now, call, answer);
    }

    // ---- Attempts ---------------------------------------------------------------------------------------

    /** The attempt was answered: the call stands. Late answers of attempts that are over are passed over. */
    public void callEstablished(double at, long id, int attempt, Report report) {
        advanceClock(at);
        CallRecord call = calls.get(id);
        if (call == null || !call.hasPendingAttempt() || call.releaseOutcome() != null || !call.isCurrentAttempt(attempt)) {
            return;
        }
        if (now > call.deadline()) {
            // Guards against a pause of the loop: an answer read before the timer that should have ended its
            // attempt long ago is too late for the caller, who has gone.
            counters.timedOut++;
            giveUpAttempt(call, attempt, Result.TIMED_OUT);
            return;
        }
        timers.cancel(call.replaceAttemptTimer(null));
        timers.cancel(call.replaceDeadlineTimer(null));
        call.establish();
        countUnanswered(call, -1);
        // The report rides with the answer, but the module hears it as news of the server.
        if (!report.equals(Report.NONE)) {
            module.probed(now, call.server(), false, true, 0, report);
        }
        module.stands(now, id, call.server(), attempt, now - call.sentAt());
        markBatchOpen();
        deliverAnswer(call, call.takeCaller(), FinalAnswer.established(call.server()));
    }

    /** An attempt, or the standing call that it became, was ended by the far side or with its connection. */
    public void attemptEnded(
            double at, long id, int attempt, Result result, Reason reason, OptionalDouble toldWait, Report report) {
        advanceClock(at);
        CallRecord call = calls.get(id);
        if (call == null || !call.isCurrentAttempt(attempt) || !call.hasPendingAttempt() && call.phase() != Phase.ESTABLISHED) {
            return;
        }
        endAttempt(call, attempt, result, reason, toldWait, report);
    }

    private void endAttempt(
            CallRecord call, int attempt, Result result, Reason reason, OptionalDouble toldWait, Report report) {
        boolean last = call.phase() == Phase.ESTABLISHED;
        double took = (call.releaseOutcome() == null ? now : call.releaseStartedAt()) - call.sentAt();
        timers.cancel(call.replaceAttemptTimer(null));
        if (!last) {
            call.endAttempt();
        }
        tracer.traceStep(now, call, "ended", call.server() + " " + result);
        module.ended(now, new Ending(call.id(), call.server(), attempt, took, result, reason, toldWait, last, report));
        markBatchOpen();
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
    private void giveUpAttempt(CallRecord call, int attempt, Result result) {
        call.startRelease(result, now);
        advanceClock(trunks.sendRelease(now, call.server(), call.id(), attempt, result == Result.TIMED_OUT));
        timers.cancel(call.replaceAttemptTimer(timers.schedule(now + settings.releaseTimeoutMs(), at -> {
            counters.unconfirmedReleases++;
            releaseConfirmed(at, call.id(), attempt);
        })));
    }

    /** The server has a release, or was given long enough for it; passed over where nothing is being released. */
    public void releaseConfirmed(double at, long id, int attempt) {
        advanceClock(at);
        CallRecord call = calls.get(id);
        if (call != null && call.hasPendingAttempt() && call.releaseOutcome() != null && call.isCurrentAttempt(attempt)) {
            endAttempt(call, attempt, call.releaseOutcome(), Reason.NONE, OptionalDouble.empty(), Report.NONE);
        }
    }

    private void releaseAttempt(CallRecord call, boolean timedOut) {
        if (call.hasPendingAttempt()) {
            if (call.releaseOutcome() == null) {
                trunks.sendRelease(now, call.server(), call.id(), call.attempts() - 1, timedOut);
            }
            call.endAttempt();
        }
    }

    // ---- Servers ----------------------------------------------------------------------------------------

    /** An update of the pool directory; returns whether the whole list must be asked for. */
    public boolean serverListUpdated(double at, long version, boolean full, List<ServerList.Server> servers) {
        advanceClock(at);
        ServerList.UpdateResult news = serverList.applyUpdate(version, full, servers);
        if (news.full() || !news.entries().isEmpty()) {
            module.serverList(now, news.full(), news.entries());
            markBatchOpen();
        }
        return news.versionGap();
    }

    /** The directory could not be reached or broke off; the old list stays. */
    public void directoryFailed(double at) {
        advanceClock(at);
        module.listFailed(now);
        markBatchOpen();
    }

    /** The answer to a probe, or with {@code asked} false a report that came by itself. */
    public void probeCompleted(double at, String server, boolean asked, boolean answered, double delay, Report report) {
        advanceClock(at);
        module.probed(now, server, asked, answered, delay, report);
        markBatchOpen();
    }

    // ---- What the module asks for -----------------------------------------------------------------------

    @Override
    public void send(long id, String server, double abandonAt) {
        CallRecord call = calls.get(id);
        if (call == null || call.phase() != Phase.TRYING) {
            return;
        }
        int attempt = call.startAttempt(server, now);
        double latest = call.deadline() - settings.answerMarginMs();
        double until = abandonAt > 0 ? Math.min(abandonAt, latest) : latest;
        SendFailure notSent = trunks.sendSetUp(now, server, id, attempt, until, call);
        if (notSent != null) {
            counters.notSent++;
            deferredEvents.add(() ->
                    attemptEnded(now, id, attempt, notSent.result(), notSent.reason(), OptionalDouble.empty(), Report.NONE));
            return;
        }
        counters.setUps++;
        tracer.traceStep(now, call, "set-up", server);
        call.replaceAttemptTimer(timers.schedule(until, at -> {
            advanceClock(at);
            if (call.hasPendingAttempt() && call.releaseOutcome() == null && call.isCurrentAttempt(attempt)) {
                counters.timedOut++;
                giveUpAttempt(call, attempt, Result.TIMED_OUT);
            }
        }));
    }

    @Override
    public void refuse(long id, double returnAfter) {
        CallRecord call = calls.get(id);
        if (call != null && call.phase() == Phase.TRYING) {
            releaseAttempt(call, false);
            finishCall(call, FinalAnswer.refused(returnAfter, "refused"));
        }
    }

    @Override
    public void fail(long id) {
        CallRecord call = calls.get(id);
        if (call != null && call.phase() == Phase.TRYING) {
            releaseAttempt(call, false);
            finishCall(call, FinalAnswer.failed("failed"));
        }
    }

    @Override
    public void cancel(long id, int attempt) {
        CallRecord call = calls.get(id);
        if (call != null && call.hasPendingAttempt() && call.releaseOutcome() == null && call.isCurrentAttempt(attempt)) {
            // The module hears that it is over when it is done with this moment.
            deferredEvents.add(() -> {
                if (call.hasPendingAttempt() && call.releaseOutcome() == null && call.isCurrentAttempt(attempt)) {
                    counters.cancelled++;
                    giveUpAttempt(call, attempt, Result.CANCELLED);
                }
            });
        }
    }

    @Override
    public void timer(double after, long token) {
        timers.schedule(now + after, at -> {
            advanceClock(at);
            module.timer(now, token);
            markBatchOpen();
        });
    }

    @Override
    public void probe(String server) {
        trunks.sendProbe(now, server);
    }

    @Override
    public void fetchList() {
        serverListUpdated.requestServerList();
    }

    @Override
    public void followList() {
        serverListUpdated.subscribeToUpdates();
    }

    // ---- Reports ----------------------------------------------------------------------------------------

    /**
     * The front ends before its callers' time is up: no call is taken any more, and all that are owed an answer get it
     * now. Those that are held were never sent on and are refused, an attempt that is out is given up and its call
     * fails.
     */
    public void closeUnansweredCalls(double at) {
        advanceClock(at);
        draining = true;
        for (CallRecord call : List.copyOf(calls.snapshot())) {
            if (call.phase() == Phase.TRYING && call.hasPendingAttempt()) {
                abandonCall(call, Result.CANCELLED);
                finishCall(call, FinalAnswer.failed("front is closing"));
            } else if (call.phase() != Phase.ESTABLISHED && call.phase() != Phase.CLOSED) {
                module.left(now, call.id());
                finishCall(
                        call,
                        FinalAnswer.refused(settings.module().maxReturnAdvice().orElse(0), "front is closing"));
            }
        }
        markBatchOpen();
    }

    /** From now on no call is taken; those open are ended as usual. */
    public void startDraining() {
        draining = true;
    }

    /** Calls whose callers are still owed an answer. */
    public long countUnansweredCalls() {
        return calls.snapshot().stream().filter(c -> c.phase() != Phase.ESTABLISHED).count();
    }

    /** The list of servers as last told. */
    public ServerList serverList() {
        return serverList;
    }

    /** Counts since the start. */
    public Counters counters() {
        return counters;
    }

    /** Calls whose callers are owed an answer, as counted; costs nothing. */
    public int unansweredCalls() {
        return unansweredCalls[unansweredCalls.length - 1];
    }

    /** Those of one class. */
    public int unansweredCalls(int callClass) {
        return unansweredCalls[callClass];
    }

    /** Calls open now, standing ones included. */
    public int openCalls() {
        return calls.size();
    }
}
