package damsonseam;

import static org.junit.jupiter.api.Assertions.assertTrue;

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
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A cold server before a fleet of modules that share nothing, with uneven traffic and news that reach them at
 * different times: the sum of what they send stays within the budget of the settings in every window.
 */
class ColdFleetStartTest {
    private static final int SERVERS = 12;
    private static final double TIP = 3;
    private static final double COLD_FROM = 0.35;
    private static final double WARM_WITHIN = 14_000;
    private static final double FALL = 1_000;
    private static final double ANSWER = 20;
    private static final double HOLD = 8_000;
    /** Load of the fleet as a share of what the warm servers can do. */
    private static final double LOAD = 0.8;

    private static final double RESTART = 60_000;
    private static final double END = 80_000;

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private double now;
    private long number;
    private int sentToCold;
    private int attempts;
    private final ArrayDeque<Double> window = new ArrayDeque<>();
    private double worst = Double.NEGATIVE_INFINITY;
    private String worstAt = "";
    private double capacity;

    private record Event(double at, long number, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Double.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    private void at(double when, Runnable what) {
        events.add(new Event(when, number++, what));
    }

    /** One front: its module, and what it has out. */
    private final class Fleetling implements PolicyActions {
        private final CongestionControlPolicy module;
        private double toldAt = Double.POSITIVE_INFINITY;

        Fleetling(int fronts, long seed) {
            CallClass plain = new CallClass(
                    OptionalDouble.of(1_500),
                    OptionalDouble.of(9_000),
                    OptionalDouble.of(1),
                    OptionalDouble.of(0.25),
                    Optional.empty());
            module = new CongestionControlPolicy(
                    new PolicySettings(
                            seed,
                            OptionalInt.of(fronts),
                            List.of(plain),
                            OptionalInt.empty(),
                            OptionalInt.of(4),
                            Optional.of(true),
                            Optional.of(true),
                            Optional.of(false),
                            Optional.of(false),
                            OptionalDouble.of(5),
                            OptionalDouble.of(20),
                            OptionalDouble.of(250),
                            OptionalDouble.of(COLD_FROM),
                            OptionalDouble.of(WARM_WITHIN),
                            OptionalDouble.of(TIP),
                            OptionalDouble.of(FALL),
                            OptionalDouble.of(300),
                            OptionalDouble.of(500),
                            OptionalDouble.of(2_000)),
                    this);
        }

        void act(Runnable event) {
            event.run();
            module.onBatchEnd(now);
        }

        @Override
        public void sendSetUp(long call, String server, double abandonAt) {
            attempts++;
            if (server.equals("s0") && now >= toldAt) {
                arrived();
            }
            double sent = now;
            at(
                    now + ANSWER,
                    () -> act(() -> {
                        module.onProbeResult(now, server, false, true, 0, ServerLoadReport.NONE);
                        module.onCallEstablished(now, call, server, 0, now - sent);
                    }));
            at(
                    now + ANSWER + HOLD,
                    () -> act(() -> module.onAttemptOutcome(
                            now,
                            new AttemptOutcome(
                                    call,
                                    server,
                                    0,
                                    now - sent,
                                    AttemptStatus.COMPLETED,
                                    RejectReason.NONE,
                                    OptionalDouble.empty(),
                                    true,
                                    ServerLoadReport.NONE))));
        }

        @Override
        public void sendProbe(String server) {
            if (server.equals("s0") && now >= toldAt) {
                arrived();
            }
            at(
                    now + ANSWER,
                    () -> act(() -> module.onProbeResult(now, server, true, true, ANSWER, ServerLoadReport.NONE)));
        }

        @Override
        public void startTimer(double after, long token) {
            at(now + after, () -> act(() -> module.onTimer(now, token)));
        }

        @Override
        public void refuseCall(long call, double returnAfter) {}

        @Override
        public void failCall(long call) {}

        @Override
        public void cancelAttempt(long call, int attempt) {}

        @Override
        public void fetchServerList() {}

        @Override
        public void followServerList() {}
    }

    private static double next(SplittableRandom random, double rate) {
        return -Math.log(1 - random.nextDouble()) / rate;
    }

    /** Something came to the cold server from a front that had been told of its start. */
    private void arrived() {
        sentToCold++;
        window.add(now);
        while (window.peek() < now - FALL) {
            window.poll();
        }
        double warmth = Math.min(1, COLD_FROM + (1 - COLD_FROM) * (now - RESTART) / WARM_WITHIN);
        double budget = TIP * warmth * capacity * FALL / 1_000;
        double excess = window.size() - (budget + 2 * Math.sqrt(budget) + 2);
        if (excess > worst) {
            worst = excess;
            worstAt = window.size() + " of " + Math.round(budget) + " at " + Math.round(now - RESTART) + " ms";
        }
    }

    @ParameterizedTest
    @CsvSource({
        "20, 40, 1",
        "20, 40, 2",
        "20, 200, 3",
        "30, 40, 4",
        "30, 40, 5",
        "30, 400, 6",
        "30, 15, 7",
        "100, 200, 8"
    })
    void theSumStaysWithinTheBudgetInEveryWindow(int fronts, double perSecond, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        capacity = perSecond / SERVERS / LOAD;
        List<Fleetling> fleet = new ArrayList<>();
        double[] weight = new double[fronts];
        double all = 0;
        for (int i = 0; i < fronts; i++) {
            fleet.add(new Fleetling(fronts, random.nextLong()));
            // Some fronts see several times the mean.
            weight[i] = i % 7 == 0 ? 5 : 0.5 + random.nextDouble();
            all += weight[i];
        }
        List<ServerEntry> list = new ArrayList<>();
        for (int s = 0; s < SERVERS; s++) {
            list.add(new ServerEntry("s" + s, s, OptionalDouble.empty(), ServerState.RUNNING));
        }
        long[] call = {1};
        for (int i = 0; i < fronts; i++) {
            Fleetling front = fleet.get(i);
            front.act(() -> front.module.onServerListUpdate(now, true, list));
            double rate = perSecond * weight[i] / all / 1_000;
            for (double t = next(random, rate); t < END; t += next(random, rate)) {
                int choice = random.nextInt(SERVERS);
                at(
                        t,
                        () -> front.act(() -> front.module.onCallOffered(
                                now, new Call(call[0]++, "n" + call[0], 0, choice, 9_000, false, false))));
            }
            // The news of the start reach the fronts one after the other.
            double told = RESTART + random.nextDouble() * 1_000;
            at(told, () -> {
                front.toldAt = now;
                front.act(() -> front.module.onServerListUpdate(
                        now,
                        false,
                        List.of(new ServerEntry("s0", 0, OptionalDouble.of(RESTART), ServerState.RUNNING))));
            });
        }
        while (!events.isEmpty() && events.peek().at < END) {
            Event event = events.poll();
            now = event.at;
            event.what.run();
        }
        assertTrue(attempts > perSecond * END / 1_000 * 0.8, attempts + " attempts");
        assertTrue(sentToCold > 0, "the cold server gets its share");
        assertTrue(worst <= 0, "over the budget by " + worst + ": " + worstAt);
    }
}
