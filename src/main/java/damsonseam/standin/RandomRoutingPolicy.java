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
 * A baseline to compare against, nothing else: each call goes to a calculator drawn at random, with no levels
 * and no refusals, and after a bad end to another one when the release guard has passed.
 */
public final class RandomRoutingPolicy implements RoutingPolicy {
    private final PolicySettings settings;
    private final PolicyActions act;
    private final SplittableRandom random;
    private final Map<String, ServerState> servers = new TreeMap<>();
    private final Map<Long, Integer> attempts = new HashMap<>();
    private final Map<Long, Double> deadlines = new HashMap<>();
    private final ArrayDeque<Long> ready = new ArrayDeque<>();

    /** A baseline for these settings. */
    public RandomRoutingPolicy(PolicySettings settings, PolicyActions actions) {
        this.settings = settings;
        act = actions;
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
        act.startTimer(1_000, 0);
    }

    @Override
    public void onCallOffered(double now, Call call) {
        attempts.put(call.id(), 0);
        deadlines.put(call.id(), now + call.timeLeft() - 40);
        ready.add(call.id());
    }

    @Override
    public void onCallEstablished(double now, long call, String server, int attempt, double delay) {
        onCallAbandoned(now, call);
    }

    @Override
    public void onAttemptOutcome(double now, AttemptOutcome e) {
        if (e.terminal() || !attempts.containsKey(e.callId())) {
            onCallAbandoned(now, e.callId());
            return;
        }
        double guard = settings.releaseGuard().orElse(300) + 10;
        if (attempts.get(e.callId()) >= settings.maxAttempts().orElse(4) || now + guard >= deadlines.get(e.callId())) {
            onCallAbandoned(now, e.callId());
            act.failCall(e.callId());
        } else {
            act.startTimer(guard, e.callId());
        }
    }

    @Override
    public void onCallAbandoned(double now, long call) {
        attempts.remove(call);
        deadlines.remove(call);
    }

    @Override
    public void onProbeResult(
            double now, String server, boolean asked, boolean answered, double delay, ServerLoadReport report) {}

    @Override
    public void onMessage(double now, int from, byte[] body) {}

    @Override
    public void onTimer(double now, long token) {
        if (token == 0) {
            act.followServerList();
        } else if (attempts.containsKey(token)) {
            ready.add(token);
        }
    }

    @Override
    public void onBatchEnd(double now) {
        for (Long call = ready.poll(); call != null; call = ready.poll()) {
            if (!attempts.containsKey(call)) {
                continue;
            }
            List<String> running = new ArrayList<>();
            servers.forEach((id, state) -> {
                if (state == ServerState.RUNNING) {
                    running.add(id);
                }
            });
            if (running.isEmpty()) {
                onCallAbandoned(now, call);
                act.failCall(call);
            } else {
                attempts.merge(call, 1, Integer::sum);
                act.sendSetUp(call, running.get(random.nextInt(running.size())), deadlines.get(call));
            }
        }
    }
}
