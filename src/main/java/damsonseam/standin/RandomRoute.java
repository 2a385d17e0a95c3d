package damsonseam.standin;

import damsonseam.Front;
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
public final class RandomRoute implements Front {
    private final Settings settings;
    private final Actions act;
    private final SplittableRandom random;
    private final Map<String, State> servers = new TreeMap<>();
    private final Map<Long, Integer> attempts = new HashMap<>();
    private final Map<Long, Double> deadlines = new HashMap<>();
    private final ArrayDeque<Long> ready = new ArrayDeque<>();

    /** A baseline for these settings. */
    public RandomRoute(Settings settings, Actions actions) {
        this.settings = settings;
        act = actions;
        random = new SplittableRandom(settings.seed());
    }

    @Override
    public void serverList(double now, boolean full, List<ServerEntry> entries) {
        if (full) {
            servers.clear();
        }
        entries.forEach(e -> servers.put(e.id(), e.state()));
    }

    @Override
    public void listFailed(double now) {
        act.timer(1_000, 0);
    }

    @Override
    public void offered(double now, Call call) {
        attempts.put(call.id(), 0);
        deadlines.put(call.id(), now + call.timeLeft() - 40);
        ready.add(call.id());
    }

    @Override
    public void stands(double now, long call, String server, int attempt, double delay) {
        left(now, call);
    }

    @Override
    public void ended(double now, Ending e) {
        if (e.last() || !attempts.containsKey(e.call())) {
            left(now, e.call());
            return;
        }
        double guard = settings.releaseGuard().orElse(300) + 10;
        if (attempts.get(e.call()) >= settings.maxAttempts().orElse(4) || now + guard >= deadlines.get(e.call())) {
            left(now, e.call());
            act.fail(e.call());
        } else {
            act.timer(guard, e.call());
        }
    }

    @Override
    public void left(double now, long call) {
        attempts.remove(call);
        deadlines.remove(call);
    }

    @Override
    public void probed(double now, String server, boolean asked, boolean answered, double delay, Report report) {}

    @Override
    public void message(double now, int from, byte[] body) {}

    @Override
    public void timer(double now, long token) {
        if (token == 0) {
            act.followList();
        } else if (attempts.containsKey(token)) {
            ready.add(token);
        }
    }

    @Override
    public void settled(double now) {
        for (Long call = ready.poll(); call != null; call = ready.poll()) {
            if (!attempts.containsKey(call)) {
                continue;
            }
            List<String> running = new ArrayList<>();
            servers.forEach((id, state) -> {
                if (state == State.RUNNING) {
                    running.add(id);
                }
            });
            if (running.isEmpty()) {
                left(now, call);
                act.fail(call);
            } else {
                attempts.merge(call, 1, Integer::sum);
                act.send(call, running.get(random.nextInt(running.size())), deadlines.get(call));
            }
        }
    }
}
