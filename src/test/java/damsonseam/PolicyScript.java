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

/** Drives one module on a scripted clock and records its actions. Attempts end at their abandon time. */
final class PolicyScript implements PolicyActions {
    private static final double TRY = 3000;

    private final RoutingPolicy front;
    private final StringBuilder log = new StringBuilder();
    private final Map<Long, Attempt> out = new LinkedHashMap<>();
    private final Map<Long, Double> owed = new LinkedHashMap<>();
    private final Map<Long, List<Attempt>> sent = new HashMap<>();
    private final Map<Long, String> answers = new HashMap<>();
    private final Map<Long, Boolean> cancelled = new HashMap<>();
    private final List<Long> late = new ArrayList<>();
    private final Map<String, Integer> numbers = new HashMap<>();
    private final PriorityQueue<double[]> timers = new PriorityQueue<>((x, y) -> Double.compare(x[0], y[0]));
    private double now = 1000;
    private long nextCall = 1;
    private int mostOut;

    private record Attempt(String server, double at, double abandonAt, int number) {}

    PolicyScript(PolicySettings settings) {
        front = new CongestionControlPolicy(settings, this);
    }

    /** Settings of a front of four, with two classes of worth 1 and 5. */
    static Builder settings() {
        return new Builder();
    }

    /** Builds settings for a script. */
    static final class Builder {
        PolicySettings build() {
            return seed(5);
        }

        PolicySettings seed(long seed) {
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

        PolicySettings absent() {
            OptionalDouble no = OptionalDouble.empty();
            CallClass bare = new CallClass(no, no, no, no, Optional.empty());
            return new PolicySettings(
                    1,
                    OptionalInt.empty(),
                    List.of(bare),
                    OptionalInt.empty(),
                    OptionalInt.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    no,
                    no,
                    no,
                    no,
                    no,
                    no,
                    no,
                    no,
                    no,
                    no);
        }

        private static CallClass callClass(double worth) {
            return new CallClass(of(1200), of(9000), of(worth), of(0.25), Optional.empty());
        }

        private static OptionalDouble of(double value) {
            return OptionalDouble.of(value);
        }
    }

    PolicyScript servers(String... ids) {
        List<ServerEntry> entries = new ArrayList<>();
        for (String id : ids) {
            numbers.putIfAbsent(id, numbers.size());
            entries.add(new ServerEntry(id, numbers.get(id), OptionalDouble.empty(), ServerState.RUNNING));
        }
        front.onServerListUpdate(now, true, entries);
        front.onBatchEnd(now);
        return this;
    }

    void news(String id, ServerState state) {
        front.onServerListUpdate(
                now, false, List.of(new ServerEntry(id, numbers.get(id), OptionalDouble.empty(), state)));
        front.onBatchEnd(now);
    }

    void started(String id) {
        front.onServerListUpdate(
                now, false, List.of(new ServerEntry(id, numbers.get(id), OptionalDouble.of(now), ServerState.RUNNING)));
        front.onBatchEnd(now);
    }

    long offer(int callClass, int firstChoice) {
        return offer("n" + nextCall, callClass, firstChoice);
    }

    long offerTo(String number, int firstChoice) {
        return offer(number, 0, firstChoice);
    }

    private long offer(String number, int callClass, int firstChoice) {
        long id = nextCall++;
        owed.put(id, now + TRY);
        front.onCallOffered(now, new Call(id, number, callClass, firstChoice, TRY, false, false));
        front.onBatchEnd(now);
        return id;
    }

    long lastCall() {
        return nextCall - 1;
    }

    /** Offers a call and lets it stand after the delay. */
    void standing(int firstChoice, double delay) {
        long call = offer(0, firstChoice);
        run(delay);
        if (isOut(call)) {
            stand(call, delay);
        }
    }

    /** Lets a set-up to this server take {@code excess} longer than a quick one. */
    void wait(String server, double excess) {
        long call = offer(1, numbers.get(server));
        if (!server.equals(sentTo(call))) {
            throw new AssertionError("the call went to " + sentTo(call));
        }
        now += 1;
        stand(call, 20 + 2 * excess);
    }

    void full(String server) {
        long call = offer(1, numbers.get(server));
        if (isOut(call) && server.equals(sentTo(call))) {
            end(call, AttemptStatus.FULL, RejectReason.PROCESSOR_FULL);
        }
        out.remove(call);
        owed.remove(call);
        front.onCallAbandoned(now, call);
        front.onBatchEnd(now);
    }

    void stand(long call, double delay) {
        Attempt a = out.remove(call);
        owed.remove(call);
        front.onCallEstablished(now, call, a.server, a.number, delay);
        front.onBatchEnd(now);
    }

    /** The answer and the cancel cross: the call stands and is cut at once, which leaves it unanswered. */
    void standThenCancelled(long call) {
        Attempt a = out.get(call);
        stand(call, now - a.at);
        front.onAttemptOutcome(
                now,
                new AttemptOutcome(
                        call,
                        a.server,
                        a.number,
                        now - a.at,
                        AttemptStatus.CANCELLED,
                        RejectReason.NONE,
                        OptionalDouble.empty(),
                        false,
                        ServerLoadReport.NONE));
        front.onBatchEnd(now);
    }

    /** Both answers come at the same moment, the younger set-up's first. */
    void standTogether(long young, long old) {
        for (long call : new long[] {young, old}) {
            Attempt a = out.remove(call);
            owed.remove(call);
            front.onCallEstablished(now, call, a.server, a.number, now - a.at);
        }
        front.onBatchEnd(now);
    }

    /** The front stands still: timers that came due are handed over late. */
    void pause(double span) {
        now += span;
    }

    void leaveThenEnd(long call, AttemptStatus result) {
        Attempt a = out.remove(call);
        owed.remove(call);
        front.onCallAbandoned(now, call);
        front.onAttemptOutcome(
                now,
                new AttemptOutcome(
                        call,
                        a.server,
                        a.number,
                        now - a.at,
                        result,
                        RejectReason.NONE,
                        OptionalDouble.empty(),
                        true,
                        ServerLoadReport.NONE));
        front.onBatchEnd(now);
    }

    void end(long call, AttemptStatus result, RejectReason reason) {
        end(call, result, reason, OptionalDouble.empty());
    }

    void endTold(long call, double told) {
        end(call, AttemptStatus.FULL, RejectReason.PROCESSOR_FULL, OptionalDouble.of(told));
    }

    private void end(long call, AttemptStatus result, RejectReason reason, OptionalDouble told) {
        Attempt a = out.remove(call);
        if (a != null) {
            front.onAttemptOutcome(
                    now,
                    new AttemptOutcome(
                            call, a.server, a.number, now - a.at, result, reason, told, false, ServerLoadReport.NONE));
            front.onBatchEnd(now);
        }
    }

    void probeAnswer(String server) {
        front.onProbeResult(now, server, true, true, 20, ServerLoadReport.NONE);
        front.onBatchEnd(now);
    }

    void listFailed() {
        front.onServerListFailure(now);
        front.onBatchEnd(now);
    }

    void lines(String server, double free, double all) {
        front.onProbeResult(now, server, false, true, 0, report(free, all));
        front.onBatchEnd(now);
    }

    private static ServerLoadReport report(double free, double all) {
        OptionalDouble no = OptionalDouble.empty();
        return new ServerLoadReport(OptionalDouble.of(free), OptionalDouble.of(all), no, no, no);
    }

    /** Lets time pass: timers come due, attempts are abandoned, callers who got no answer are noted. */
    void run(double span) {
        double end = now + span;
        while (now < end) {
            now = Math.min(end, now + 5);
            while (!timers.isEmpty() && timers.peek()[0] <= now) {
                front.onTimer(now, (long) timers.poll()[1]);
                front.onBatchEnd(now);
            }
            for (Map.Entry<Long, Attempt> e : List.copyOf(out.entrySet())) {
                if (cancelled.remove(e.getKey()) != null) {
                    cancelledOnce.put(e.getKey(), true);
                    end(e.getKey(), AttemptStatus.CANCELLED, RejectReason.NONE);
                } else if (e.getValue().abandonAt <= now) {
                    end(e.getKey(), AttemptStatus.TIMED_OUT, RejectReason.NONE);
                }
            }
            owed.forEach((call, by) -> {
                if (by < now && !late.contains(call)) {
                    late.add(call);
                }
            });
        }
    }

    private final Map<Long, Boolean> cancelledOnce = new HashMap<>();

    boolean isCancelled(long call) {
        return cancelled.containsKey(call) || cancelledOnce.containsKey(call);
    }

    boolean isOut(long call) {
        return out.containsKey(call);
    }

    boolean isRefused(long call) {
        return "refused".equals(answers.get(call));
    }

    boolean isFailed(long call) {
        return "failed".equals(answers.get(call));
    }

    String sentTo(long call) {
        List<Attempt> attempts = sent.getOrDefault(call, List.of());
        return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1).server;
    }

    double sentAt(long call) {
        List<Attempt> attempts = sent.getOrDefault(call, List.of());
        return attempts.isEmpty() ? Double.POSITIVE_INFINITY : attempts.get(0).at;
    }

    int sends(long call) {
        return sent.getOrDefault(call, List.of()).size();
    }

    long out(String server) {
        return out.values().stream().filter(a -> a.server.equals(server)).count();
    }

    int mostOutPerCall() {
        return mostOut;
    }

    List<Long> overdue() {
        return late;
    }

    String log() {
        return log.toString();
    }

    @Override
    public void sendSetUp(long call, String server, double abandonAt) {
        log.append(now).append(" send ").append(call).append(' ').append(server).append('\n');
        List<Attempt> attempts = sent.computeIfAbsent(call, c -> new ArrayList<>());
        Attempt a = new Attempt(server, now, abandonAt, attempts.size());
        attempts.add(a);
        mostOut = Math.max(mostOut, out.put(call, a) == null ? 1 : 2);
    }

    @Override
    public void refuseCall(long call, double returnAfter) {
        answer(call, "refused");
    }

    @Override
    public void failCall(long call) {
        answer(call, "failed");
    }

    private void answer(long call, String how) {
        if (answers.put(call, how) != null) {
            throw new AssertionError("two answers for call " + call);
        }
        owed.remove(call);
        log.append(now).append(' ').append(how).append(' ').append(call).append('\n');
    }

    @Override
    public void cancelAttempt(long call, int attempt) {
        cancelled.put(call, true);
    }

    @Override
    public void startTimer(double after, long token) {
        timers.add(new double[] {now + after, token});
    }

    @Override
    public void sendProbe(String server) {
        log.append(now).append(" probe ").append(server).append('\n');
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
