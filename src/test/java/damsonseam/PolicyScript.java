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
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.PriorityQueue;

/**
 * Drives one policy on a scripted clock and records its actions. Attempts without an answer time out at their abandon
 * time. Each method that reports an event also ends the batch.
 */
final class PolicyScript implements PolicyActions {
    private static final double PATIENCE_MS = 3000;

    private final RoutingPolicy policy;
    private final StringBuilder log = new StringBuilder();
    private final Map<Long, Attempt> pendingAttempts = new LinkedHashMap<>();
    private final Map<Long, Double> answerDeadlines = new LinkedHashMap<>();
    private final Map<Long, List<Attempt>> attemptsByCall = new HashMap<>();
    private final Map<Long, String> finalAnswers = new HashMap<>();
    private final Map<Long, Boolean> pendingCancels = new HashMap<>();
    private final List<Long> overdueCalls = new ArrayList<>();
    private final Map<String, Integer> serverIndexes = new HashMap<>();
    private final PriorityQueue<double[]> timers = new PriorityQueue<>((x, y) -> Double.compare(x[0], y[0]));
    private double now = 1000;
    private long nextCallId = 1;
    private int maxAttemptsPerCall;

    private record Attempt(String serverId, double sentAt, double abandonAt, int index) {}

    PolicyScript(PolicySettings settings) {
        policy = new CongestionControlPolicy(settings, this);
    }

    /** Starts building the settings of one of four fronts, with two classes of worth 1 and 5. */
    static Builder settings() {
        return new Builder();
    }

    /** Builds settings for a script. */
    static final class Builder {
        PolicySettings build() {
            return buildWithSeed(5);
        }

        PolicySettings buildWithSeed(long seed) {
            return new PolicySettings(
                    seed,
                    OptionalInt.of(4),
                    List.of(callClass(1), callClass(5)),
                    OptionalInt.of(-1),
                    OptionalInt.of(3),
                    Optional.of(true),
                    Optional.of(true),
                    Optional.of(false),
                    Optional.of(false),
                    of(5),
                    of(20),
                    of(500),
                    of(0.35),
                    of(14_000),
                    of(3),
                    of(1000),
                    of(300),
                    of(500),
                    of(2000));
        }

        PolicySettings buildEmpty() {
            OptionalDouble none = OptionalDouble.empty();
            CallClass emptyClass = new CallClass(none, none, none, none, Optional.empty());
            return new PolicySettings(
                    1,
                    OptionalInt.empty(),
                    List.of(emptyClass),
                    OptionalInt.empty(),
                    OptionalInt.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    none,
                    none,
                    none,
                    none,
                    none,
                    none,
                    none,
                    none,
                    none,
                    none);
        }

        private static CallClass callClass(double worth) {
            return new CallClass(of(1200), of(9000), of(worth), of(0.25), Optional.empty());
        }

        private static OptionalDouble of(double value) {
            return OptionalDouble.of(value);
        }
    }

    PolicyScript listServers(String... ids) {
        List<ServerEntry> entries = new ArrayList<>();
        for (String id : ids) {
            serverIndexes.putIfAbsent(id, serverIndexes.size());
            entries.add(new ServerEntry(id, serverIndexes.get(id), OptionalDouble.empty(), ServerState.RUNNING));
        }
        policy.onServerListUpdate(now, true, entries);
        policy.onBatchEnd(now);
        return this;
    }

    void updateServer(String id, ServerState state) {
        policy.onServerListUpdate(
                now, false, List.of(new ServerEntry(id, serverIndexes.get(id), OptionalDouble.empty(), state)));
        policy.onBatchEnd(now);
    }

    void restartServer(String id) {
        policy.onServerListUpdate(
                now,
                false,
                List.of(new ServerEntry(id, serverIndexes.get(id), OptionalDouble.of(now), ServerState.RUNNING)));
        policy.onBatchEnd(now);
    }

    long offer(int callClass, int firstChoice) {
        return offer("n" + nextCallId, callClass, firstChoice);
    }

    long offerForNumber(String number, int firstChoice) {
        return offer(number, 0, firstChoice);
    }

    private long offer(String number, int callClass, int firstChoice) {
        long callId = nextCallId++;
        answerDeadlines.put(callId, now + PATIENCE_MS);
        policy.onCallOffered(now, new Call(callId, number, callClass, firstChoice, PATIENCE_MS, false, false));
        policy.onBatchEnd(now);
        return callId;
    }

    long lastCallId() {
        return nextCallId - 1;
    }

    /** Offers a call and establishes it after the delay. */
    void establishCall(int firstChoice, double delay) {
        long callId = offer(0, firstChoice);
        run(delay);
        if (isAttemptPending(callId)) {
            establish(callId, delay);
        }
    }

    /** Establishes a call at this server with a delay that raises its wait estimate by {@code excess}. */
    void establishAfterWait(String serverId, double excess) {
        long callId = offer(1, serverIndexes.get(serverId));
        if (!serverId.equals(lastServer(callId))) {
            throw new AssertionError("the call went to " + lastServer(callId));
        }
        now += 1;
        establish(callId, 20 + 2 * excess);
    }

    void rejectAsFull(String serverId) {
        long callId = offer(1, serverIndexes.get(serverId));
        if (isAttemptPending(callId) && serverId.equals(lastServer(callId))) {
            endAttempt(callId, AttemptStatus.FULL, RejectReason.PROCESSOR_FULL);
        }
        pendingAttempts.remove(callId);
        answerDeadlines.remove(callId);
        policy.onCallAbandoned(now, callId);
        policy.onBatchEnd(now);
    }

    void establish(long callId, double delay) {
        Attempt attempt = pendingAttempts.remove(callId);
        answerDeadlines.remove(callId);
        policy.onCallEstablished(now, callId, attempt.serverId, attempt.index, delay);
        policy.onBatchEnd(now);
    }

    /** Crosses answer and cancel: the call is established, then cancelled, and its answer is pending again. */
    void establishThenCancel(long callId) {
        Attempt attempt = pendingAttempts.get(callId);
        establish(callId, now - attempt.sentAt);
        policy.onAttemptOutcome(
                now,
                new AttemptOutcome(
                        callId,
                        attempt.serverId,
                        attempt.index,
                        now - attempt.sentAt,
                        AttemptStatus.CANCELLED,
                        RejectReason.NONE,
                        OptionalDouble.empty(),
                        false,
                        ServerLoadReport.NONE));
        policy.onBatchEnd(now);
    }

    /** Reports two answers in one batch, that of the later set-up first. */
    void establishTogether(long later, long earlier) {
        for (long callId : new long[] {later, earlier}) {
            Attempt attempt = pendingAttempts.remove(callId);
            answerDeadlines.remove(callId);
            policy.onCallEstablished(now, callId, attempt.serverId, attempt.index, now - attempt.sentAt);
        }
        policy.onBatchEnd(now);
    }

    /** Pauses the front: timers that expire meanwhile are reported late. */
    void pause(double duration) {
        now += duration;
    }

    void abandonThenEnd(long callId, AttemptStatus status) {
        Attempt attempt = pendingAttempts.remove(callId);
        answerDeadlines.remove(callId);
        policy.onCallAbandoned(now, callId);
        policy.onAttemptOutcome(
                now,
                new AttemptOutcome(
                        callId,
                        attempt.serverId,
                        attempt.index,
                        now - attempt.sentAt,
                        status,
                        RejectReason.NONE,
                        OptionalDouble.empty(),
                        true,
                        ServerLoadReport.NONE));
        policy.onBatchEnd(now);
    }

    void endAttempt(long callId, AttemptStatus status, RejectReason reason) {
        endAttempt(callId, status, reason, OptionalDouble.empty());
    }

    void rejectWithRetryAfter(long callId, double retryAfter) {
        endAttempt(callId, AttemptStatus.FULL, RejectReason.PROCESSOR_FULL, OptionalDouble.of(retryAfter));
    }

    private void endAttempt(long callId, AttemptStatus status, RejectReason reason, OptionalDouble retryAfter) {
        Attempt attempt = pendingAttempts.remove(callId);
        if (attempt != null) {
            policy.onAttemptOutcome(
                    now,
                    new AttemptOutcome(
                            callId,
                            attempt.serverId,
                            attempt.index,
                            now - attempt.sentAt,
                            status,
                            reason,
                            retryAfter,
                            false,
                            ServerLoadReport.NONE));
            policy.onBatchEnd(now);
        }
    }

    void answerProbe(String serverId) {
        policy.onProbeResult(now, serverId, true, true, 20, ServerLoadReport.NONE);
        policy.onBatchEnd(now);
    }

    void failServerList() {
        policy.onServerListFailure(now);
        policy.onBatchEnd(now);
    }

    void reportLines(String serverId, double free, double all) {
        policy.onProbeResult(now, serverId, false, true, 0, report(free, all));
        policy.onBatchEnd(now);
    }

    private static ServerLoadReport report(double free, double all) {
        OptionalDouble none = OptionalDouble.empty();
        return new ServerLoadReport(OptionalDouble.of(free), OptionalDouble.of(all), none, none, none);
    }

    /** Advances the clock: timers fire, attempts are cancelled or time out, and overdue calls are recorded. */
    void run(double duration) {
        double end = now + duration;
        while (now < end) {
            now = Math.min(end, now + 5);
            while (!timers.isEmpty() && timers.peek()[0] <= now) {
                policy.onTimer(now, (long) timers.poll()[1]);
                policy.onBatchEnd(now);
            }
            for (Map.Entry<Long, Attempt> entry : List.copyOf(pendingAttempts.entrySet())) {
                if (pendingCancels.remove(entry.getKey()) != null) {
                    cancelledCalls.put(entry.getKey(), true);
                    endAttempt(entry.getKey(), AttemptStatus.CANCELLED, RejectReason.NONE);
                } else if (entry.getValue().abandonAt <= now) {
                    endAttempt(entry.getKey(), AttemptStatus.TIMED_OUT, RejectReason.NONE);
                }
            }
            answerDeadlines.forEach((callId, deadline) -> {
                if (deadline < now && !overdueCalls.contains(callId)) {
                    overdueCalls.add(callId);
                }
            });
        }
    }

    private final Map<Long, Boolean> cancelledCalls = new HashMap<>();

    boolean isCancelled(long callId) {
        return pendingCancels.containsKey(callId) || cancelledCalls.containsKey(callId);
    }

    boolean isAttemptPending(long callId) {
        return pendingAttempts.containsKey(callId);
    }

    boolean isRefused(long callId) {
        return "refused".equals(finalAnswers.get(callId));
    }

    boolean isFailed(long callId) {
        return "failed".equals(finalAnswers.get(callId));
    }

    String lastServer(long callId) {
        List<Attempt> attempts = attemptsByCall.getOrDefault(callId, List.of());
        return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1).serverId;
    }

    double firstSentAt(long callId) {
        List<Attempt> attempts = attemptsByCall.getOrDefault(callId, List.of());
        return attempts.isEmpty() ? Double.POSITIVE_INFINITY : attempts.get(0).sentAt;
    }

    int attemptCount(long callId) {
        return attemptsByCall.getOrDefault(callId, List.of()).size();
    }

    long pendingAttempts(String serverId) {
        return pendingAttempts.values().stream()
                .filter(attempt -> attempt.serverId.equals(serverId))
                .count();
    }

    int maxAttemptsPerCall() {
        return maxAttemptsPerCall;
    }

    List<Long> overdueCalls() {
        return overdueCalls;
    }

    String log() {
        return log.toString();
    }

    @Override
    public void sendSetUp(long callId, String serverId, double abandonAt) {
        log.append(now)
                .append(" send ")
                .append(callId)
                .append(' ')
                .append(serverId)
                .append('\n');
        List<Attempt> attempts = attemptsByCall.computeIfAbsent(callId, c -> new ArrayList<>());
        Attempt attempt = new Attempt(serverId, now, abandonAt, attempts.size());
        attempts.add(attempt);
        maxAttemptsPerCall = Math.max(maxAttemptsPerCall, pendingAttempts.put(callId, attempt) == null ? 1 : 2);
    }

    @Override
    public void refuseCall(long callId, double retryAfter) {
        recordFinalAnswer(callId, "refused");
    }

    @Override
    public void failCall(long callId) {
        recordFinalAnswer(callId, "failed");
    }

    private void recordFinalAnswer(long callId, String answer) {
        if (finalAnswers.put(callId, answer) != null) {
            throw new AssertionError("two answers for call " + callId);
        }
        answerDeadlines.remove(callId);
        log.append(now).append(' ').append(answer).append(' ').append(callId).append('\n');
    }

    @Override
    public void cancelAttempt(long callId, int attempt) {
        pendingCancels.put(callId, true);
    }

    @Override
    public void startTimer(double delay, long token) {
        timers.add(new double[] {now + delay, token});
    }

    @Override
    public void sendProbe(String serverId) {
        log.append(now).append(" probe ").append(serverId).append('\n');
    }

    @Override
    public void fetchServerList() {
        log.append("fetch\n");
    }

    @Override
    public void followServerList() {
        log.append("follow\n");
    }
}
