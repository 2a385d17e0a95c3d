package damsonseam.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Runs admission control in front of a simulated loop with queues by worth, a fixed cost per call, pauses and bursts.
 * Guards against lost goodput, long waits and refusals of high-worth calls while low-worth ones are admitted.
 */
class LevelAdmissionControllerTest {
    static final OverloadSettings SETTINGS = new OverloadSettings(5, 20, 0.75, 0.92, 0.8, 30_000, 3, 2_000);

    /** A loop that processes queued calls in order of worth, {@code costMs} each. */
    static final class SimLoop implements AdmissionController.Load {
        final List<ArrayDeque<Double>> queues;
        final double costMs;
        final int[] offered;
        final int[] refused;
        final long[] served;
        final AdmissionController controller;
        double now;
        double freeAt;
        double pausedSince = Double.NaN;
        double pressure = -1;
        double maxWait;

        SimLoop(int ranks, double costMs, AdmissionController controller) {
            queues = java.util.stream.IntStream.range(0, ranks)
                    .mapToObj(i -> new ArrayDeque<Double>())
                    .toList();
            this.costMs = costMs;
            this.controller = controller;
            offered = new int[ranks];
            refused = new int[ranks];
            served = new long[ranks];
        }

        void run(double until) {
            while (freeAt <= until && now <= until) {
                int rank = queues.size() - 1;
                while (rank >= 0 && queues.get(rank).isEmpty()) {
                    rank--;
                }
                if (rank < 0) {
                    break;
                }
                double arrivedAt = queues.get(rank).poll();
                double start = Math.max(freeAt, arrivedAt);
                maxWait = Math.max(maxWait, start - arrivedAt);
                freeAt = start + costMs;
                served[rank]++;
            }
            now = until;
        }

        long offer(double at, int rank, long sender) {
            run(at);
            offered[rank]++;
            long retryAfterMs = controller.decide(at, rank, sender, this);
            if (retryAfterMs == AdmissionController.ADMIT) {
                queues.get(rank).add(at);
            } else {
                refused[rank]++;
            }
            return retryAfterMs;
        }

        double refusedShare(int rank) {
            return offered[rank] == 0 ? 0 : refused[rank] / (double) offered[rank];
        }

        @Override
        public int queuedAtOrAbove(int rank) {
            return queues.subList(rank, queues.size()).stream()
                    .mapToInt(ArrayDeque::size)
                    .sum();
        }

        @Override
        public double costPerCallMs() {
            return costMs;
        }

        @Override
        public double loopPauseMs(double at) {
            return Double.isNaN(pausedSince) ? 0 : at - pausedSince;
        }

        @Override
        public double pressure(int rank) {
            return pressure;
        }
    }

    private static LevelAdmissionController controller(int ranks) {
        return new LevelAdmissionController(SETTINGS, ranks, 7);
    }

    /** Offers Poisson arrivals at {@code load} times the loop's capacity for {@code durationMs}. */
    private static SimLoop burst(
            AdmissionController controller, double load, double durationMs, double highWorthShare, long seed) {
        SimLoop loop = new SimLoop(2, 0.05, controller);
        SplittableRandom random = new SplittableRandom(seed);
        double at = 0;
        while (at < durationMs) {
            at += -Math.log(1 - random.nextDouble()) * loop.costMs / load;
            loop.offer(at, random.nextDouble() < highWorthShare ? 1 : 0, random.nextInt(1_000));
        }
        return loop;
    }

    @Test
    void noCallIsRefusedBelowCapacity() {
        SimLoop loop = burst(controller(2), 0.9, 5_000, 0.06, 1);
        assertEquals(0, loop.refused[0] + loop.refused[1]);
    }

    @Test
    void tenfoldOverloadKeepsTheLoopBusyAndItsQueueShort() {
        SimLoop loop = burst(controller(2), 10, 10_000, 0.06, 2);
        double served = (loop.served[0] + loop.served[1]) * loop.costMs / 10_000;
        assertTrue(served > 0.97, "goodput " + served);
        assertEquals(0, loop.refused[1], "high-worth calls fit and are all admitted");
        // A low-worth call also waits for later high-worth calls, which take six tenths of the loop's time.
        assertTrue(loop.maxWait < 20 / 0.4, "wait " + loop.maxWait);
    }

    @Test
    void overloadOfHighestRankAloneIsLimitedToCapacity() {
        SimLoop loop = burst(controller(2), 10, 5_000, 1, 3);
        assertTrue(loop.served[1] * loop.costMs / 5_000 > 0.97, "served " + loop.served[1]);
        assertTrue(loop.maxWait < 25, "wait " + loop.maxWait);
        assertEquals(0.9, loop.refusedShare(1), 0.03);
    }

    /** At any load and mix, hardly any high-worth call is refused while low-worth ones are admitted. */
    @Property(tries = 60)
    void refusalsNeverInvertWorth(
            @ForAll @DoubleRange(min = 0.5, max = 12) double load,
            @ForAll @DoubleRange(min = 0.01, max = 0.99) double highWorthShare,
            @ForAll @IntRange(max = 1_000_000) int seed) {
        SimLoop loop = burst(controller(2), load, 1_000, highWorthShare, seed);
        assertTrue(
                loop.refusedShare(1) <= loop.refusedShare(0) + 1e-9 || loop.offered[0] < 20,
                () -> loop.refusedShare(1) + " of high worth refused, " + loop.refusedShare(0) + " of low worth");
        if (loop.refused[1] > 0 && loop.offered[0] > 200) {
            assertTrue(
                    loop.refusedShare(0) > 0.8,
                    () -> "high-worth calls refused while " + (1 - loop.refusedShare(0))
                            + " of the low-worth calls were admitted");
        }
    }

    /** Refusals stop once the queue is empty again, whatever the number of ranks. */
    @Property(tries = 16)
    void allCallsAreAdmittedAgainAfterBurst(@ForAll @IntRange(min = 1, max = 16) int ranks) {
        SimLoop loop = new SimLoop(ranks, 0.05, controller(ranks));
        for (double at = 0; at < 500; at += 0.005) {
            loop.offer(at, (int) (at * 1_000) % ranks, 1);
        }
        assertTrue(loop.refused[0] > 0);
        loop.run(700);
        int refused = java.util.Arrays.stream(loop.refused).sum();
        for (double at = 700; at < 1_200; at += 0.1) {
            loop.offer(at, (int) (at * 10) % ranks, 1);
        }
        assertEquals(refused, java.util.Arrays.stream(loop.refused).sum());
    }

    /** Pressure fluctuating around an onset must not start and stop refusals with every call. */
    @Test
    void pressureAroundOnsetDoesNotFlap() {
        CongestionLevels levels = new CongestionLevels(2);
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 10_000; i++) {
            levels.refusalShare(0, 0.2 * (random.nextDouble() - 0.5));
        }
        assertEquals(1, levels.onsetCount());
        assertTrue(levels.isAnyRefusing());
        levels.refusalShare(0, -0.6);
        assertTrue(!levels.isAnyRefusing(), "refusals end below the abatement level");
    }

    @Test
    void pausedLoopRefusesLowWorthCallsFirst() {
        SimLoop loop = new SimLoop(2, 0.05, controller(2));
        loop.pausedSince = 0;
        loop.freeAt = 1e9;
        for (double t = 0; t < 100; t += 0.1) {
            loop.offer(t, 0, 1);
            loop.offer(t, 1, 1);
        }
        assertTrue(loop.refusedShare(0) > 0.8, "low worth " + loop.refusedShare(0));
        assertTrue(loop.refusedShare(1) < loop.refusedShare(0), "high worth " + loop.refusedShare(1));
        assertTrue(loop.queuedAtOrAbove(0) < 1_000, "queued " + loop.queuedAtOrAbove(0));
    }

    @Test
    void memoryPressureRefusesByWorth() {
        SimLoop loop = new SimLoop(2, 0.05, controller(2));
        loop.pressure = 0.8;
        for (int i = 0; i < 1_000; i++) {
            loop.offer(i, i % 2, 1);
        }
        assertTrue(loop.refusedShare(0) > 0.8, "low worth " + loop.refusedShare(0));
        assertEquals(0, loop.refused[1]);
        loop.pressure = 2;
        for (int i = 0; i < 1_000; i++) {
            loop.offer(1_000 + i, 1, 1);
        }
        assertEquals(1_000, loop.refused[1], 2);
    }

    /** One sender floods with calls claimed to be of the highest worth; other senders' calls are hardly affected. */
    @Test
    void floodingSenderDoesNotStarveOthers() {
        LevelAdmissionController controller = controller(2);
        SimLoop loop = new SimLoop(2, 0.05, controller);
        SplittableRandom random = new SplittableRandom(9);
        int[] others = new int[2];
        int[] flood = new int[2];
        for (double at = 0; at < 6_000; ) {
            at += -Math.log(1 - random.nextDouble()) * loop.costMs / 10;
            boolean flooding = random.nextDouble() < 0.95;
            long retryAfterMs = loop.offer(at, 1, flooding ? 1 : 2 + random.nextInt(50));
            if (at > 1_000) {
                int[] counts = flooding ? flood : others;
                counts[0]++;
                counts[1] += retryAfterMs == AdmissionController.ADMIT ? 0 : 1;
            }
        }
        double refusedShare = others[1] / (double) others[0];
        assertTrue(refusedShare < 0.05, "refused share of others " + refusedShare);
        assertTrue(
                flood[1] / (double) flood[0] > 0.85,
                "refused share of the flooding sender " + flood[1] / (double) flood[0]);
        assertTrue(controller.surplusRefusals() > 0);
    }

    @Test
    void sameIpv6NetworkIsOneSenderButSimilarIpv4AddressesAreNot() {
        assertTrue(HeavySenderDetector.senderKey(new byte[] {10, 0, 0, 32})
                != HeavySenderDetector.senderKey(new byte[] {10, 0, 1, 1}));
        byte[] one = new byte[16];
        byte[] other = new byte[16];
        other[15] = 1;
        assertEquals(HeavySenderDetector.senderKey(one), HeavySenderDetector.senderKey(other));
        assertTrue(HeavySenderDetector.hash(one) != HeavySenderDetector.hash(other));
    }

    @Test
    void retryAdviceGrowsWithOverloadAndIsSpreadAndBounded() {
        SimLoop loop = new SimLoop(2, 0.05, controller(2));
        loop.pressure = 5;
        long early = loop.offer(0, 0, 1);
        assertTrue(early >= 50 && early <= 150, "early advice " + early);
        long min = Long.MAX_VALUE;
        long max = 0;
        for (int t = 1; t < 5_000; t++) {
            long retryAfterMs = loop.offer(t, 0, 1);
            if (t > 1_500 && t < 1_600) {
                min = Math.min(min, retryAfterMs);
                max = Math.max(max, retryAfterMs);
            }
            assertTrue(retryAfterMs <= 2_000);
        }
        assertTrue(min < 1_000 && max > 1_900, min + " to " + max);
    }

    @Test
    void inconsistentSettingsAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> new OverloadSettings(20, 5, .7, .9, .8, 0, 3, 0));
        assertThrows(IllegalArgumentException.class, () -> new OverloadSettings(5, 20, .7, 1.2, .8, 0, 3, 0));
        assertThrows(IllegalArgumentException.class, () -> new OverloadSettings(5, 20, .7, .9, .8, 0, 0.5, 0));
        assertThrows(IllegalArgumentException.class, () -> new OverloadSettings(0, 20, .7, .9, .8, 0, 3, 0));
    }
}
