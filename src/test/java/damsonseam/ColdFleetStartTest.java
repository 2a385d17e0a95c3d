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
 * Guards against overload of a server after its restart by many fronts whose policies share nothing, have uneven
 * traffic and learn of the restart at different times: together they must stay within the budget of the settings in
 * every window.
 */
class ColdFleetStartTest {
    private static final int SERVERS = 12;
    private static final double OVERLOAD_MULTIPLE = 3;
    private static final double COLD_CAPACITY_SHARE = 0.35;
    private static final double WARM_UP_TIME_MS = 14_000;
    private static final double OVERLOAD_WINDOW_MS = 1_000;
    private static final double ANSWER_DELAY_MS = 20;
    private static final double HOLDING_TIME_MS = 8_000;
    /** Load as a share of the capacity of all servers when warm. */
    private static final double LOAD = 0.8;

    private static final double RESTART_AT_MS = 60_000;
    private static final double END_AT_MS = 80_000;

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private double now;
    private long nextEventNumber;
    private int sentToCold;
    private int setUpsSent;
    private final ArrayDeque<Double> arrivalsInWindow = new ArrayDeque<>();
    private double maxExcess = Double.NEGATIVE_INFINITY;
    private String maxExcessDescription = "";
    private double capacityPerServer;

    private record Event(double at, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Double.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    private void schedule(double at, Runnable action) {
        events.add(new Event(at, nextEventNumber++, action));
    }

    /** One front with its policy; each server answers after a fixed delay. */
    private final class SimulatedFront implements PolicyActions {
        private final CongestionControlPolicy policy;
        private double notifiedAt = Double.POSITIVE_INFINITY;

        SimulatedFront(int fronts, long seed) {
            CallClass callClass = new CallClass(
                    OptionalDouble.of(1_500),
                    OptionalDouble.of(9_000),
                    OptionalDouble.of(1),
                    OptionalDouble.of(0.25),
                    Optional.empty());
            policy = new CongestionControlPolicy(
                    new PolicySettings(
                            seed,
                            OptionalInt.of(fronts),
                            List.of(callClass),
                            OptionalInt.empty(),
                            OptionalInt.of(4),
                            Optional.of(true),
                            Optional.of(true),
                            Optional.of(false),
                            Optional.of(false),
                            OptionalDouble.of(5),
                            OptionalDouble.of(20),
                            OptionalDouble.of(250),
                            OptionalDouble.of(COLD_CAPACITY_SHARE),
                            OptionalDouble.of(WARM_UP_TIME_MS),
                            OptionalDouble.of(OVERLOAD_MULTIPLE),
                            OptionalDouble.of(OVERLOAD_WINDOW_MS),
                            OptionalDouble.of(300),
                            OptionalDouble.of(500),
                            OptionalDouble.of(2_000)),
                    this);
        }

        void handle(Runnable event) {
            event.run();
            policy.onBatchEnd(now);
        }

        @Override
        public void sendSetUp(long callId, String serverId, double abandonAt) {
            setUpsSent++;
            if (serverId.equals("s0") && now >= notifiedAt) {
                recordArrival();
            }
            double sentAt = now;
            schedule(
                    now + ANSWER_DELAY_MS,
                    () -> handle(() -> {
                        policy.onProbeResult(now, serverId, false, true, 0, ServerLoadReport.NONE);
                        policy.onCallEstablished(now, callId, serverId, 0, now - sentAt);
                    }));
            schedule(
                    now + ANSWER_DELAY_MS + HOLDING_TIME_MS,
                    () -> handle(() -> policy.onAttemptOutcome(
                            now,
                            new AttemptOutcome(
                                    callId,
                                    serverId,
                                    0,
                                    now - sentAt,
                                    AttemptStatus.COMPLETED,
                                    RejectReason.NONE,
                                    OptionalDouble.empty(),
                                    true,
                                    ServerLoadReport.NONE))));
        }

        @Override
        public void sendProbe(String serverId) {
            if (serverId.equals("s0") && now >= notifiedAt) {
                recordArrival();
            }
            schedule(
                    now + ANSWER_DELAY_MS,
                    () -> handle(() ->
                            policy.onProbeResult(now, serverId, true, true, ANSWER_DELAY_MS, ServerLoadReport.NONE)));
        }

        @Override
        public void startTimer(double delay, long token) {
            schedule(now + delay, () -> handle(() -> policy.onTimer(now, token)));
        }

        @Override
        public void refuseCall(long callId, double retryAfter) {}

        @Override
        public void failCall(long callId) {}

        @Override
        public void cancelAttempt(long callId, int attempt) {}

        @Override
        public void fetchServerList() {}

        @Override
        public void followServerList() {}
    }

    private static double nextInterval(SplittableRandom random, double rate) {
        return -Math.log(1 - random.nextDouble()) / rate;
    }

    /** Records a message to the cold server from a front that knows of its restart. */
    private void recordArrival() {
        sentToCold++;
        arrivalsInWindow.add(now);
        while (arrivalsInWindow.peek() < now - OVERLOAD_WINDOW_MS) {
            arrivalsInWindow.poll();
        }
        double warmth =
                Math.min(1, COLD_CAPACITY_SHARE + (1 - COLD_CAPACITY_SHARE) * (now - RESTART_AT_MS) / WARM_UP_TIME_MS);
        double budget = OVERLOAD_MULTIPLE * warmth * capacityPerServer * OVERLOAD_WINDOW_MS / 1_000;
        double excess = arrivalsInWindow.size() - (budget + 2 * Math.sqrt(budget) + 2);
        if (excess > maxExcess) {
            maxExcess = excess;
            maxExcessDescription = arrivalsInWindow.size() + " of " + Math.round(budget) + " at "
                    + Math.round(now - RESTART_AT_MS) + " ms";
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
    void setUpsOfAllFrontsStayWithinBudgetInEveryWindow(int fronts, double callsPerS, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        capacityPerServer = callsPerS / SERVERS / LOAD;
        List<SimulatedFront> fleet = new ArrayList<>();
        double[] weight = new double[fronts];
        double totalWeight = 0;
        for (int i = 0; i < fronts; i++) {
            fleet.add(new SimulatedFront(fronts, random.nextLong()));
            // Some fronts have several times the mean traffic.
            weight[i] = i % 7 == 0 ? 5 : 0.5 + random.nextDouble();
            totalWeight += weight[i];
        }
        List<ServerEntry> serverList = new ArrayList<>();
        for (int index = 0; index < SERVERS; index++) {
            serverList.add(new ServerEntry("s" + index, index, OptionalDouble.empty(), ServerState.RUNNING));
        }
        long[] nextCallId = {1};
        for (int i = 0; i < fronts; i++) {
            SimulatedFront front = fleet.get(i);
            front.handle(() -> front.policy.onServerListUpdate(now, true, serverList));
            double rate = callsPerS * weight[i] / totalWeight / 1_000;
            for (double arrivalAt = nextInterval(random, rate);
                    arrivalAt < END_AT_MS;
                    arrivalAt += nextInterval(random, rate)) {
                int firstChoiceIndex = random.nextInt(SERVERS);
                schedule(
                        arrivalAt,
                        () -> front.handle(() -> front.policy.onCallOffered(
                                now,
                                new Call(
                                        nextCallId[0]++,
                                        "n" + nextCallId[0],
                                        0,
                                        firstChoiceIndex,
                                        9_000,
                                        false,
                                        false))));
            }
            // The fronts are notified of the restart one after the other.
            double notifiedAt = RESTART_AT_MS + random.nextDouble() * 1_000;
            schedule(notifiedAt, () -> {
                front.notifiedAt = now;
                front.handle(() -> front.policy.onServerListUpdate(
                        now,
                        false,
                        List.of(new ServerEntry("s0", 0, OptionalDouble.of(RESTART_AT_MS), ServerState.RUNNING))));
            });
        }
        while (!events.isEmpty() && events.peek().at < END_AT_MS) {
            Event event = events.poll();
            now = event.at;
            event.action.run();
        }
        assertTrue(setUpsSent > callsPerS * END_AT_MS / 1_000 * 0.8, setUpsSent + " attempts");
        assertTrue(sentToCold > 0, "the cold server got no set-up");
        assertTrue(maxExcess <= 0, "budget exceeded by " + maxExcess + ": " + maxExcessDescription);
    }
}
