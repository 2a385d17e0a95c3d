package damsonseam.standin;

import damsonseam.RoutingPolicy;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A baseline for comparisons: sends each call to a running calculator drawn at random, without congestion control
 * or refusals. After a failed attempt it tries again, when the release guard has passed, until the attempts or the
 * time run out. Like any policy it is called by one thread.
 */
public final class RandomRoutingPolicy implements RoutingPolicy {
    private final PolicySettings settings;
    private final PolicyActions actions;
    private final SplittableRandom random;
    private final Map<String, ServerState> servers = new TreeMap<>();
    private final Map<Long, Integer> attemptCounts = new HashMap<>();
    private final Map<Long, Double> deadlinesMs = new HashMap<>();
    private final ArrayDeque<Long> readyCalls = new ArrayDeque<>();

    /** Creates a policy; its draws follow the seed of the settings. */
    public RandomRoutingPolicy(PolicySettings settings, PolicyActions actions) {
        this.settings = settings;
        this.actions = actions;
        random = new SplittableRandom(settings.seed());
    }

    @Override
    public void onServerListUpdate(double now, boolean full, List<ServerEntry> entries) {
        if (full) {
            servers.clear();
        }
        entries.forEach(e -> servers.put(e.id(), e.state()));
    }

    @Override
    public void onServerListFailure(double now) {
        actions.startTimer(1_000, 0);
    }

    @Override
    public void onCallOffered(double now, Call call) {
        attemptCounts.put(call.id(), 0);
        deadlinesMs.put(call.id(), now + call.timeLeft() - 40);
        readyCalls.add(call.id());
    }

    @Override
    public void onCallEstablished(double now, long callId, String serverId, int attempt, double delay) {
        onCallAbandoned(now, callId);
    }

    @Override
    public void onAttemptOutcome(double now, AttemptOutcome outcome) {
        if (outcome.terminal() || !attemptCounts.containsKey(outcome.callId())) {
            onCallAbandoned(now, outcome.callId());
            return;
        }
        double waitMs = settings.releaseGuard().orElse(300) + 10;
        if (attemptCounts.get(outcome.callId()) >= settings.maxAttempts().orElse(4)
                || now + waitMs >= deadlinesMs.get(outcome.callId())) {
            onCallAbandoned(now, outcome.callId());
            actions.failCall(outcome.callId());
        } else {
            actions.startTimer(waitMs, outcome.callId());
        }
    }

    @Override
    public void onCallAbandoned(double now, long callId) {
        attemptCounts.remove(callId);
        deadlinesMs.remove(callId);
    }

    @Override
    public void onProbeResult(
            double now, String serverId, boolean requested, boolean answered, double delay, ServerLoadReport report) {}

    @Override
    public void onMessage(double now, int from, byte[] body) {}

    @Override
    public void onTimer(double now, long token) {
        // Token 0 follows the server list again; any other token is the id of a call to try again.
        if (token == 0) {
            actions.followServerList();
        } else if (attemptCounts.containsKey(token)) {
            readyCalls.add(token);
        }
    }

    @Override
    public void onBatchEnd(double now) {
        for (Long callId = readyCalls.poll(); callId != null; callId = readyCalls.poll()) {
            if (!attemptCounts.containsKey(callId)) {
                continue;
            }
            List<String> running = new ArrayList<>();
            servers.forEach((id, state) -> {
                if (state == ServerState.RUNNING) {
                    running.add(id);
                }
            });
            if (running.isEmpty()) {
                onCallAbandoned(now, callId);
                actions.failCall(callId);
            } else {
                attemptCounts.merge(callId, 1, Integer::sum);
                actions.sendSetUp(callId, running.get(random.nextInt(running.size())), deadlinesMs.get(callId));
            }
        }
    }
}
