package damsonseam.core;

import damsonseam.RoutingPolicy;
import damsonseam.RoutingPolicy.AttemptOutcome;
import damsonseam.RoutingPolicy.AttemptStatus;
import damsonseam.RoutingPolicy.Call;
import damsonseam.RoutingPolicy.PolicyActions;
import damsonseam.RoutingPolicy.RejectReason;
import damsonseam.RoutingPolicy.ServerLoadReport;
import damsonseam.core.CallRecord.Phase;
import damsonseam.core.RouterPorts.Caller;
import damsonseam.core.RouterPorts.SendFailure;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.function.Function;

/**
 * Connects the routing policy of one front to its sockets: reports events to the policy and carries out the
 * policy's decisions. All methods run on one thread. Times are in milliseconds of the front's clock, which never runs
 * backwards. Events are passed to the policy as they arrive; {@link #endBatch} lets the policy act once a batch of
 * simultaneous events is complete.
 *
 * <p>The router keeps the books and makes no routing decisions. It guarantees that a call gets exactly one final
 * answer, has at most one pending attempt, holds a circuit from set-up to release, and is answered before its
 * caller's deadline even if neither the policy nor a lookup responds. Decisions about closed calls are ignored.
 */
public final class Router implements PolicyActions {
    /** Maximum decision rounds in a batch. Another round follows only if the policy's last one caused new events. */
    private static final int MAX_DECISION_ROUNDS = 64;

    private final RouterSettings settings;
    private final RoutingPolicy policy;
    private final CallTable calls;
    private final TimerWheel timers;
    private final ServerList serverList = new ServerList();
    private final RouterPorts.NumberLookup lookup;
    private final RouterPorts.ServerSignalling signalling;
    private final RouterPorts.Directory directory;
    private final CallTracer tracer;
    private final Counters counters = new Counters();
    /** Attempt outcomes detected while the policy was acting; reported to it when it has returned. */
    private final ArrayDeque<Runnable> deferredEvents = new ArrayDeque<>();

    private double now;
    private double lastTickAt = Double.NaN;
    private double previousTickAt = Double.NaN;
    /** Unanswered calls by class; the last element is the total. */
    private final int[] unansweredByClass;

    private boolean batchOpen;
    private boolean draining;

    /**
     * Creates a router on the given ports.
     *
     * @param policyFactory creates the routing policy, given the actions it may request
     */
    public Router(
            RouterSettings settings,
            Function<PolicyActions, RoutingPolicy> policyFactory,
            CallTable calls,
            TimerWheel timers,
            RouterPorts.NumberLookup lookup,
            RouterPorts.ServerSignalling signalling,
            RouterPorts.Directory directory,
            CallTracer tracer) {
        this.settings = settings;
        this.calls = calls;
        this.timers = timers;
        this.lookup = lookup;
        this.signalling = signalling;
        this.directory = directory;
        this.tracer = tracer;
        this.policy = policyFactory.apply(this);
        unansweredByClass = new int[settings.policy().classes().size() + 1];
    }

    // ---- Event loop -------------------------------------------------------------------------------------

    /** Handles the periodic tick of the event loop: records how late it is and fires the timers that are due. */
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
     * Fires overdue timers before any input is read after a pause, so that expired calls are answered ahead of the
     * backlog. Does nothing if the last tick was recent.
     */
    public void fireOverdueTimers(double at) {
        if (!Double.isNaN(lastTickAt) && at - lastTickAt > 3 * settings.tickIntervalMs()) {
            advanceClock(at);
            timers.poll(at);
        }
    }

    /**
     * Returns an upper bound, in milliseconds, of how long data read from a stream at {@code at} may have been waiting
     * in the socket. The loop reads its sockets at least once between two ticks, so data read now arrived after the
     * last tick but one.
     */
    public double maxReadAge(double at) {
        return Double.isNaN(previousTickAt) ? 0 : Math.max(0, at - previousTickAt - 3 * settings.tickIntervalMs());
    }

    /** Lets the policy act; to be called once all events of a batch have been passed on. */
    public void endBatch(double at) {
        advanceClock(at);
        for (int round = 0; batchOpen && round < MAX_DECISION_ROUNDS; round++) {
            batchOpen = false;
            policy.onBatchEnd(now);
            for (Runnable event = deferredEvents.poll(); event != null; event = deferredEvents.poll()) {
                event.run();
            }
        }
    }

    /** Returns whether events were passed to the policy since the last {@link #endBatch}. */
    public boolean hasOpenBatch() {
        return batchOpen;
    }

    /** Advances the router's clock to {@code at}; an earlier time is ignored. */
    public void advanceClock(double at) {
        now = Math.max(now, at);
    }

    /** Returns the time of the batch being processed. */
    public double now() {
        return now;
    }

    private void markBatchOpen() {
        batchOpen = true;
    }

    // ---- Callers ----------------------------------------------------------------------------------------

    /**
     * Accepts a call whose number has to be looked up.
     *
     * @param timeLeft time until the caller gives up, by the settings or as stated by the caller, in milliseconds
     * @param age how long the request may have waited unread, in milliseconds; it is deducted from {@code timeLeft}
     * @return the call, or null if it was refused or failed at once (the caller has been answered)
     */
    public CallRecord callReceived(
            double at, String number, int callClass, double timeLeft, double age, boolean redialled, Caller caller) {
        CallRecord call = registerCall(at, number, callClass, timeLeft, age, redialled, caller);
        if (call != null) {
            lookup.lookUp(call.id(), number, call.deadline() - settings.answerMarginMs());
        }
        return call;
    }

    /**
     * Accepts a call that names its server itself and needs no lookup; otherwise like {@link #callReceived}.
     *
     * @param firstChoice index of its first-choice server, -1 for none
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
        CallRecord call = registerCall(at, number, callClass, timeLeft, age, redialled, caller);
        if (call != null) {
            offerToPolicy(call, firstChoice, List.of());
        }
        return call;
    }

    /** Counts a call that its caller abandoned before it was offered to the policy. */
    public void callAbandonedUndecided() {
        counters.received++;
    }

    /** Refuses a call that the front has no memory for, with the advice to call again later. */
    public void refuseCall(double at, String number, int callClass, boolean redialled, Caller caller) {
        advanceClock(at);
        CallRecord call = new CallRecord(calls.nextId(), number, callClass, redialled, now, now, caller);
        counters.received++;
        counters.refusedOutOfMemory++;
        adjustUnanswered(call, 1);
        finishCall(call, FinalAnswer.refused(settings.policy().maxRetryAfter().orElse(0), "out of call memory"));
    }

    private CallRecord registerCall(
            double at, String number, int callClass, double timeLeft, double age, boolean redialled, Caller caller) {
        advanceClock(at);
        double deadline = now + timeLeft - age;
        CallRecord call = new CallRecord(calls.nextId(), number, callClass, redialled, now, deadline, caller);
        counters.received++;
        adjustUnanswered(call, 1);
        if (calls.isFull() || draining) {
            counters.refusedTableFull += draining ? 0 : 1;
            finishCall(
                    call,
                    FinalAnswer.refused(
                            settings.policy().maxRetryAfter().orElse(0),
                            draining ? "front is closing" : "call table full"));
            return null;
        }
        calls.add(call);
        tracer.traceStep(now, call, "taken", number);
        if (deadline - settings.answerMarginMs() <= now) {
            finishCall(call, FinalAnswer.failed("waited unread too long"));
            return null;
        }
        call.replaceDeadlineTimer(timers.schedule(deadline - settings.answerMarginMs(), t -> onDeadline(call, t)));
        return call;
    }

    private void offerToPolicy(CallRecord call, int firstChoice, List<Integer> serverIndexes) {
        call.startTrying();
        policy.onCallOffered(
                now,
                new Call(
                        call.id(),
                        call.number(),
                        call.callClass(),
                        firstChoice,
                        call.deadline() - now,
                        call.isRedial(),
                        false,
                        serverIndexes));
        markBatchOpen();
    }

    /** Fails a call shortly before its deadline, in case neither the lookup nor the policy has responded. */
    private void onDeadline(CallRecord call, double at) {
        advanceClock(at);
        if (call.phase() == Phase.LOOKING_UP) {
            finishCall(call, FinalAnswer.failed("look-up not answered in time"));
            return;
        }
        counters.failedAtDeadline++;
        abandonCall(call, AttemptStatus.TIMED_OUT);
        finishCall(call, FinalAnswer.failed("no answer in time"));
    }

    /** Handles a caller that abandoned its call; no answer is sent any more. */
    public void callerAbandoned(double at, CallRecord call) {
        advanceClock(at);
        if (call.phase() == Phase.CLOSED || call.phase() == Phase.ESTABLISHED) {
            return;
        }
        if (call.phase() == Phase.TRYING) {
            abandonCall(call, AttemptStatus.CANCELLED);
        }
        call.takeCaller();
        finishCall(call, FinalAnswer.failed("caller left"));
    }

    /**
     * Releases an unanswered call and reports the outcome of its pending attempt. Every attempt needs an outcome, even
     * if its call closes first: the policy takes a set-up without one for a sign of an unresponsive server.
     */
    private void abandonCall(CallRecord call, AttemptStatus status) {
        boolean attemptPending = call.hasPendingAttempt();
        releaseAttempt(call, status == AttemptStatus.TIMED_OUT);
        policy.onCallAbandoned(now, call.id());
        if (attemptPending) {
            policy.onAttemptOutcome(
                    now,
                    new AttemptOutcome(
                            call.id(),
                            call.serverId(),
                            call.attempts() - 1,
                            now - call.sentAt(),
                            status,
                            RejectReason.NONE,
                            OptionalDouble.empty(),
                            true,
                            ServerLoadReport.NONE));
        }
        markBatchOpen();
    }

    /** Handles the result of a call's number lookup; ignored if the call has closed. */
    public void lookupCompleted(double at, long callId, LookupResult result) {
        advanceClock(at);
        CallRecord call = calls.get(callId);
        if (call == null || call.phase() != Phase.LOOKING_UP) {
            return;
        }
        switch (result.outcome()) {
            case NOT_FOUND ->
                finishCall(call, new FinalAnswer(FinalAnswer.Kind.UNKNOWN_NUMBER, "", 0, "unknown number"));
            case UNAVAILABLE -> finishCall(call, FinalAnswer.failed("look-up failed"));
            default -> {
                tracer.traceStep(now, call, "looked-up", String.join(" ", result.serverIds()));
                List<Integer> serverIndexes = new ArrayList<>(result.serverIds().size());
                result.serverIds().forEach(name -> serverIndexes.add(serverList.indexOf(name)));
                offerToPolicy(call, serverIndexes.get(0), serverIndexes);
            }
        }
    }

    private void finishCall(CallRecord call, FinalAnswer answer) {
        timers.cancel(call.replaceDeadlineTimer(null));
        timers.cancel(call.replaceAttemptTimer(null));
        Caller caller = call.close();
        calls.remove(call);
        adjustUnanswered(call, -1);
        deliverAnswer(call, caller, answer);
    }

    private void adjustUnanswered(CallRecord call, int change) {
        unansweredByClass[call.callClass()] += change;
        unansweredByClass[unansweredByClass.length - 1] += change;
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

    /**
     * Handles a positive answer to an attempt: the call is established. Answers to attempts that have ended are
     * ignored.
     */
    public void callEstablished(double at, long callId, int attempt, ServerLoadReport report) {
        advanceClock(at);
        CallRecord call = calls.get(callId);
        if (call == null
                || !call.hasPendingAttempt()
                || call.releaseStatus() != null
                || !call.isCurrentAttempt(attempt)) {
            return;
        }
        if (now > call.deadline()) {
            // After a pause of the loop, an answer may be read before the overdue attempt timer has fired. It is too
            // late: the caller has given up.
            counters.timedOut++;
            giveUpAttempt(call, attempt, AttemptStatus.TIMED_OUT);
            return;
        }
        timers.cancel(call.replaceAttemptTimer(null));
        timers.cancel(call.replaceDeadlineTimer(null));
        call.establish();
        adjustUnanswered(call, -1);
        // The load report is carried in the answer, but the policy expects it as a report of the server.
        if (!report.equals(ServerLoadReport.NONE)) {
            policy.onProbeResult(now, call.serverId(), false, true, 0, report);
        }
        policy.onCallEstablished(now, callId, call.serverId(), attempt, now - call.sentAt());
        markBatchOpen();
        deliverAnswer(call, call.takeCaller(), FinalAnswer.established(call.serverId()));
    }

    /** Handles the end of an attempt or of the call it established, by the server or by loss of its connection. */
    public void attemptEnded(
            double at,
            long callId,
            int attempt,
            AttemptStatus status,
            RejectReason reason,
            OptionalDouble retryAfter,
            ServerLoadReport report) {
        advanceClock(at);
        CallRecord call = calls.get(callId);
        if (call == null
                || !call.isCurrentAttempt(attempt)
                || !call.hasPendingAttempt() && call.phase() != Phase.ESTABLISHED) {
            return;
        }
        endAttempt(call, attempt, status, reason, retryAfter, report);
    }

    private void endAttempt(
            CallRecord call,
            int attempt,
            AttemptStatus status,
            RejectReason reason,
            OptionalDouble retryAfter,
            ServerLoadReport report) {
        boolean wasEstablished = call.phase() == Phase.ESTABLISHED;
        double duration = (call.releaseStatus() == null ? now : call.releaseStartedAt()) - call.sentAt();
        timers.cancel(call.replaceAttemptTimer(null));
        if (!wasEstablished) {
            call.endAttempt();
        }
        tracer.traceStep(now, call, "ended", call.serverId() + " " + status);
        policy.onAttemptOutcome(
                now,
                new AttemptOutcome(
                        call.id(),
                        call.serverId(),
                        attempt,
                        duration,
                        status,
                        reason,
                        retryAfter,
                        wasEstablished,
                        report));
        markBatchOpen();
        if (wasEstablished) {
            call.close();
            calls.remove(call);
        }
    }

    /**
     * Gives up an attempt. Its outcome is reported to the policy only when the server has confirmed the release or the
     * release timeout has expired. The guard time before the next set-up therefore starts when the server has, or
     * almost certainly has, the release. Otherwise a set-up to another server could overtake a release that meets a
     * longer network delay.
     */
    private void giveUpAttempt(CallRecord call, int attempt, AttemptStatus status) {
        call.startRelease(status, now);
        advanceClock(
                signalling.sendRelease(now, call.serverId(), call.id(), attempt, status == AttemptStatus.TIMED_OUT));
        timers.cancel(call.replaceAttemptTimer(timers.schedule(now + settings.releaseTimeoutMs(), at -> {
            counters.unconfirmedReleases++;
            releaseConfirmed(at, call.id(), attempt);
        })));
    }

    /** Handles the confirmation or the timeout of a release; ignored unless the attempt is being released. */
    public void releaseConfirmed(double at, long callId, int attempt) {
        advanceClock(at);
        CallRecord call = calls.get(callId);
        if (call != null
                && call.hasPendingAttempt()
                && call.releaseStatus() != null
                && call.isCurrentAttempt(attempt)) {
            endAttempt(
                    call,
                    attempt,
                    call.releaseStatus(),
                    RejectReason.NONE,
                    OptionalDouble.empty(),
                    ServerLoadReport.NONE);
        }
    }

    private void releaseAttempt(CallRecord call, boolean timedOut) {
        if (call.hasPendingAttempt()) {
            if (call.releaseStatus() == null) {
                signalling.sendRelease(now, call.serverId(), call.id(), call.attempts() - 1, timedOut);
            }
            call.endAttempt();
        }
    }

    // ---- Servers ----------------------------------------------------------------------------------------

    /** Applies a server-list update; returns whether an update was missed and the full list must be requested. */
    public boolean serverListUpdated(double at, long version, boolean full, List<ServerList.Server> servers) {
        advanceClock(at);
        ServerList.UpdateResult update = serverList.applyUpdate(version, full, servers);
        if (update.full() || !update.entries().isEmpty()) {
            policy.onServerListUpdate(now, update.full(), update.entries());
            markBatchOpen();
        }
        return update.versionGap();
    }

    /** Handles a directory that could not be reached or closed its stream; the current list remains in use. */
    public void directoryFailed(double at) {
        advanceClock(at);
        policy.onServerListFailure(now);
        markBatchOpen();
    }

    /**
     * Handles the result of a probe, or a load report that arrived unsolicited.
     *
     * @param requested whether this front had sent a probe; false for an unsolicited report
     * @param delay time from the probe to its answer, in milliseconds
     */
    public void probeCompleted(
            double at, String serverId, boolean requested, boolean answered, double delay, ServerLoadReport report) {
        advanceClock(at);
        policy.onProbeResult(now, serverId, requested, answered, delay, report);
        markBatchOpen();
    }

    // ---- Actions requested by the routing policy --------------------------------------------------------

    @Override
    public void sendSetUp(long callId, String serverId, double abandonAt) {
        CallRecord call = calls.get(callId);
        if (call == null || call.phase() != Phase.TRYING) {
            return;
        }
        int attempt = call.startAttempt(serverId, now);
        double latestGiveUpAt = call.deadline() - settings.answerMarginMs();
        double giveUpAt = abandonAt > 0 ? Math.min(abandonAt, latestGiveUpAt) : latestGiveUpAt;
        SendFailure failure = signalling.sendSetUp(now, serverId, callId, attempt, giveUpAt, call);
        if (failure != null) {
            counters.notSent++;
            deferredEvents.add(() -> attemptEnded(
                    now,
                    callId,
                    attempt,
                    failure.status(),
                    failure.reason(),
                    OptionalDouble.empty(),
                    ServerLoadReport.NONE));
            return;
        }
        counters.setUps++;
        tracer.traceStep(now, call, "set-up", serverId);
        call.replaceAttemptTimer(timers.schedule(giveUpAt, at -> {
            advanceClock(at);
            if (call.hasPendingAttempt() && call.releaseStatus() == null && call.isCurrentAttempt(attempt)) {
                counters.timedOut++;
                giveUpAttempt(call, attempt, AttemptStatus.TIMED_OUT);
            }
        }));
    }

    @Override
    public void refuseCall(long callId, double retryAfter) {
        CallRecord call = calls.get(callId);
        if (call != null && call.phase() == Phase.TRYING) {
            releaseAttempt(call, false);
            finishCall(call, FinalAnswer.refused(retryAfter, "refused"));
        }
    }

    @Override
    public void failCall(long callId) {
        CallRecord call = calls.get(callId);
        if (call != null && call.phase() == Phase.TRYING) {
            releaseAttempt(call, false);
            finishCall(call, FinalAnswer.failed("failed"));
        }
    }

    @Override
    public void cancelAttempt(long callId, int attempt) {
        CallRecord call = calls.get(callId);
        if (call != null
                && call.hasPendingAttempt()
                && call.releaseStatus() == null
                && call.isCurrentAttempt(attempt)) {
            // The policy must have returned from its current batch before the outcome is reported to it.
            deferredEvents.add(() -> {
                if (call.hasPendingAttempt() && call.releaseStatus() == null && call.isCurrentAttempt(attempt)) {
                    counters.cancelled++;
                    giveUpAttempt(call, attempt, AttemptStatus.CANCELLED);
                }
            });
        }
    }

    @Override
    public void startTimer(double delay, long token) {
        timers.schedule(now + delay, at -> {
            advanceClock(at);
            policy.onTimer(now, token);
            markBatchOpen();
        });
    }

    @Override
    public void sendProbe(String serverId) {
        signalling.sendProbe(now, serverId);
    }

    @Override
    public void fetchServerList() {
        directory.requestServerList();
    }

    @Override
    public void followServerList() {
        directory.subscribeToUpdates();
    }

    // ---- Reports ----------------------------------------------------------------------------------------

    /**
     * Answers all unanswered calls at once because the front stops before their deadlines, and accepts no new ones.
     * Calls with a pending attempt have it released and fail; the others were never sent to a server and are refused.
     */
    public void closeUnansweredCalls(double at) {
        advanceClock(at);
        draining = true;
        for (CallRecord call : List.copyOf(calls.snapshot())) {
            if (call.phase() == Phase.TRYING && call.hasPendingAttempt()) {
                abandonCall(call, AttemptStatus.CANCELLED);
                finishCall(call, FinalAnswer.failed("front is closing"));
            } else if (call.phase() != Phase.ESTABLISHED && call.phase() != Phase.CLOSED) {
                policy.onCallAbandoned(now, call.id());
                finishCall(
                        call,
                        FinalAnswer.refused(settings.policy().maxRetryAfter().orElse(0), "front is closing"));
            }
        }
        markBatchOpen();
    }

    /** Stops accepting calls; open calls proceed as usual. */
    public void startDraining() {
        draining = true;
    }

    /** Counts the unanswered calls by a scan of the call table. */
    public long countUnansweredCalls() {
        return calls.snapshot().stream()
                .filter(c -> c.phase() != Phase.ESTABLISHED)
                .count();
    }

    /** Returns the server list as last updated. */
    public ServerList serverList() {
        return serverList;
    }

    /** Returns the counters since the start. */
    public Counters counters() {
        return counters;
    }

    /** Returns the number of unanswered calls, from a counter and without a scan. */
    public int unansweredCalls() {
        return unansweredByClass[unansweredByClass.length - 1];
    }

    /** Returns the number of unanswered calls of one class. */
    public int unansweredCalls(int callClass) {
        return unansweredByClass[callClass];
    }

    /** Returns the number of open calls, established ones included. */
    public int openCalls() {
        return calls.size();
    }
}
