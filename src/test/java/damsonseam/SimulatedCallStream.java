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
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Function;

/**
 * A stream of events for one module: simulated servers with one line each, callers that dial again, crashes,
 * drains, cold restarts, slow spells, lost answers and pauses, all from a seed. What the module does is hashed,
 * every number to its last bit, so that two modules can be told to decide alike.
 */
final class SimulatedCallStream implements PolicyActions {
    private static final double TICK = 5;
    private static final double PATIENCE = 3_000;

    private record Event(double at, long order, Runnable what) {}

    private static final class Server {
        final String id;
        final int number;
        double work;
        double busyUntil;
        boolean dead;
        boolean silent;
        int life;
        int lines;

        Server(String id, int number, double work) {
            this.id = id;
            this.number = number;
            this.work = work;
        }
    }

    private static final class Try {
        final String number;
        final int callClass;
        final int first;
        final int dials;
        Server server;
        int attempt = -1;
        boolean out;
        boolean standing;

        Try(String number, int callClass, int first, int dials) {
            this.number = number;
            this.callClass = callClass;
            this.first = first;
            this.dials = dials;
        }
    }

    private final SplittableRandom random;
    private final RoutingPolicy front;
    private final List<Server> servers = new ArrayList<>();
    private final Map<Long, Try> open = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Double.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
    private final MessageDigest digest;
    private final double rate;
    private final boolean sets;
    private double now = 1_000;
    private long order;
    private long nextCall = 1;
    private boolean heard;
    /** Actions so far. */
    long actions;
    /** Calls offered so far. */
    long offered;
    /** Longest time of one settled moment, in nanoseconds, and the time of all. */
    long longestNs;

    long spentNs;
    /** Whether the module acts after each call and not once a tick, and the most calls open at one time. */
    boolean each;

    int mostOpen;

    /** {@code load} is offered work over capacity; with {@code sets} calls name the servers they may use. */
    SimulatedCallStream(
            long seed,
            int count,
            double load,
            double callsPerS,
            boolean sets,
            Function<PolicySettings, Function<PolicyActions, RoutingPolicy>> module) {
        random = new SplittableRandom(seed);
        rate = callsPerS;
        this.sets = sets;
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
        OptionalDouble none = OptionalDouble.empty();
        PolicySettings settings = new PolicySettings(
                seed,
                OptionalInt.of(4),
                List.of(
                        new CallClass(of(1_500), of(9_000), of(1), of(0.25), Optional.empty()),
                        new CallClass(of(1_200), of(6_000), of(8), of(0.25), Optional.empty())),
                OptionalInt.empty(),
                OptionalInt.of(4),
                Optional.of(true),
                Optional.of(true),
                Optional.of(false),
                Optional.of(false),
                of(TICK),
                of(20),
                of(250),
                of(0.35),
                of(14_000),
                of(3),
                of(1_000),
                of(300),
                none,
                of(2_000));
        front = module.apply(settings).apply(this);
        List<ServerEntry> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(new Server("s" + i, i, load * 1_000.0 * count / callsPerS));
            list.add(new ServerEntry("s" + i, i, none, ServerState.RUNNING));
        }
        front.onServerListUpdate(now, true, list);
        heard = true;
    }

    private static OptionalDouble of(double value) {
        return OptionalDouble.of(value);
    }

    /** Plays so many seconds, with trouble or without, and returns the hash of all that was done. */
    String run(double seconds, boolean trouble) {
        double until = now + seconds * 1_000;
        double nextArrival = now;
        double nextTrouble = now + 1_000;
        while (now < until) {
            now += trouble && random.nextInt(4_000) == 0 ? 700 : TICK;
            while (!events.isEmpty() && events.peek().at() <= now) {
                events.poll().what().run();
            }
            while (nextArrival <= now) {
                nextArrival += -Math.log(1 - random.nextDouble()) * 1_000 / rate;
                offer(new Try("n" + nextCall, random.nextInt(16) == 0 ? 1 : 0, random.nextInt(servers.size()), 0));
                if (each) {
                    settle();
                }
            }
            if (trouble && now >= nextTrouble) {
                nextTrouble = now + 300 + random.nextInt(1_500);
                strike(servers.get(random.nextInt(servers.size())));
            }
            settle();
        }
        return HexFormat.of().formatHex(digest.digest()).substring(0, 16) + " " + actions;
    }

    private void settle() {
        if (heard) {
            heard = false;
            long start = System.nanoTime();
            front.onBatchEnd(now);
            long took = System.nanoTime() - start;
            spentNs += took;
            longestNs = Math.max(longestNs, took);
            mostOpen = Math.max(mostOpen, open.size());
        }
    }

    private void later(double after, Runnable what) {
        events.add(new Event(now + after, order++, what));
    }

    private void offer(Try attempt) {
        long id = nextCall++;
        open.put(id, attempt);
        offered++;
        List<Integer> may = new ArrayList<>();
        for (int i = 0; sets && i < 3; i++) {
            may.add((attempt.first + i) % servers.size());
        }
        front.onCallOffered(
                now,
                new Call(
                        id,
                        attempt.number,
                        attempt.callClass,
                        attempt.first,
                        PATIENCE,
                        attempt.dials > 0 && attempt.dials % 2 == 0,
                        false,
                        may));
        heard = true;
    }

    private void strike(Server s) {
        double size = 1 + 3 * random.nextDouble();
        switch (random.nextInt(5)) {
            case 0 -> {
                s.dead = true;
                s.life++;
                for (Map.Entry<Long, Try> e : new java.util.TreeMap<>(open).entrySet()) {
                    if (e.getValue().server == s && (e.getValue().out || e.getValue().standing)) {
                        end(e.getKey(), AttemptStatus.RESET, RejectReason.NONE);
                    }
                }
                later(1_500, () -> list(s, ServerState.GONE, OptionalDouble.empty()));
                later(4_000, () -> {
                    s.dead = false;
                    s.busyUntil = now;
                    double since = now;
                    later(800, () -> list(s, ServerState.RUNNING, of(since)));
                });
            }
            case 1 -> {
                list(s, ServerState.DRAINING, OptionalDouble.empty());
                later(3_000, () -> list(s, ServerState.RUNNING, OptionalDouble.empty()));
            }
            case 2 -> {
                s.work *= size;
                later(2_500, () -> s.work /= size);
            }
            case 3 -> {
                s.silent = true;
                later(1_200, () -> s.silent = false);
            }
            default -> {
                for (int i = 0; i < rate / 4; i++) {
                    offer(new Try("n" + nextCall, random.nextInt(16) == 0 ? 1 : 0, s.number, 0));
                }
            }
        }
    }

    private void list(Server s, ServerState state, OptionalDouble since) {
        front.onServerListUpdate(now, false, List.of(new ServerEntry(s.id, s.number, since, state)));
        heard = true;
    }

    private ServerLoadReport report(Server s) {
        double wait = Math.max(0, s.busyUntil - now);
        return new ServerLoadReport(
                of(2_000 - s.lines),
                of(2_000),
                OptionalDouble.empty(),
                of(Math.min(1, wait / 50)),
                of(Math.floor(wait / s.work)));
    }

    private void end(long id, AttemptStatus result, RejectReason reason) {
        Try t = open.get(id);
        if (t == null || !t.out && !t.standing) {
            return;
        }
        boolean last = t.standing;
        if (last) {
            t.server.lines--;
            open.remove(id);
        }
        t.out = false;
        t.standing = false;
        front.onAttemptOutcome(
                now,
                new AttemptOutcome(
                        id,
                        t.server.id,
                        t.attempt,
                        100,
                        result,
                        reason,
                        OptionalDouble.empty(),
                        last,
                        report(t.server)));
        heard = true;
    }

    private void log(String what) {
        actions++;
        digest.update(what.getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void sendSetUp(long call, String server, double abandonAt) {
        log("send " + call + server + Double.doubleToLongBits(abandonAt));
        Try t = open.get(call);
        Server s = servers.get(Integer.parseInt(server.substring(1)));
        t.server = s;
        t.out = true;
        int attempt = ++t.attempt;
        int life = s.life;
        double sentAt = now;
        later(abandonAt - now, () -> {
            if (t.out && t.attempt == attempt) {
                end(call, AttemptStatus.TIMED_OUT, RejectReason.NONE);
            }
        });
        if (s.dead) {
            later(TICK, () -> ifOut(t, attempt, () -> end(call, AttemptStatus.UNREACHABLE, RejectReason.NONE)));
            return;
        }
        double wait = Math.max(0, s.busyUntil - now);
        if (wait > 2_500) {
            later(12, () -> ifOut(t, attempt, () -> end(call, AttemptStatus.FULL, RejectReason.PROCESSOR_FULL)));
            return;
        }
        s.busyUntil = now + wait + s.work;
        if (s.silent) {
            return;
        }
        boolean busyNumber = random.nextInt(100) == 0;
        double hold = -Math.log(1 - random.nextDouble()) * 2_000;
        later(wait + s.work + 10, () -> {
            if (s.life != life) {
                return;
            }
            ifOut(t, attempt, () -> {
                if (busyNumber) {
                    end(call, AttemptStatus.ERROR, RejectReason.NUMBER_BUSY);
                    return;
                }
                t.out = false;
                t.standing = true;
                s.lines++;
                front.onProbeResult(now, s.id, false, true, 0, report(s));
                front.onCallEstablished(now, call, s.id, attempt, now - sentAt);
                heard = true;
                later(hold, () -> {
                    if (t.standing && s.life == life) {
                        end(call, AttemptStatus.COMPLETED, RejectReason.NONE);
                    }
                });
            });
        });
    }

    private static void ifOut(Try t, int attempt, Runnable what) {
        if (t.out && t.attempt == attempt) {
            what.run();
        }
    }

    private void over(long call) {
        Try t = open.remove(call);
        if (t != null && t.dials < 2) {
            later(800 + 400 * t.dials, () -> offer(new Try(t.number, t.callClass, t.first, t.dials + 1)));
        }
    }

    @Override
    public void refuseCall(long call, double returnAfter) {
        log("refuse " + call + Double.doubleToLongBits(returnAfter));
        over(call);
    }

    @Override
    public void failCall(long call) {
        log("fail " + call);
        over(call);
    }

    @Override
    public void cancelAttempt(long call, int attempt) {
        log("cancel " + call + attempt);
        Try t = open.get(call);
        later(TICK, () -> ifOut(t, attempt, () -> end(call, AttemptStatus.CANCELLED, RejectReason.NONE)));
    }

    @Override
    public void startTimer(double after, long token) {
        log("timer " + Double.doubleToLongBits(after) + token);
        later(after, () -> {
            front.onTimer(now, token);
            heard = true;
        });
    }

    @Override
    public void sendProbe(String server) {
        log("probe " + server);
        Server s = servers.get(Integer.parseInt(server.substring(1)));
        later(TICK, () -> {
            front.onProbeResult(now, server, true, !s.dead && !s.silent, 3, report(s));
            heard = true;
        });
    }

    @Override
    public void fetchServerList() {
        log("fetch");
    }

    @Override
    public void followServerList() {
        log("follow");
    }
}
