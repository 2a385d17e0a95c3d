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

/** The gate before a simulated loop: lines by worth, a cost for each call, stops and bursts. No sockets, no clock. */
class GateTest {
    static final OverloadSettings SETTINGS = new OverloadSettings(5, 20, 0.75, 0.92, 0.8, 30_000, 3, 2_000);

    /** A loop that takes queued calls, the dearest first, {@code cost} ms each. */
    static final class SimLoop implements AdmissionController.Load {
        final List<ArrayDeque<Double>> lines;
        final double cost;
        final int[] offered;
        final int[] refused;
        final long[] served;
        final AdmissionController gate;
        double now;
        double freeAt;
        double stoodStillAt = Double.NaN;
        double pressure = -1;
        double longestWait;

        SimLoop(int ranks, double cost, AdmissionController gate) {
            lines = java.util.stream.IntStream.range(0, ranks)
                    .mapToObj(i -> new ArrayDeque<Double>())
                    .toList();
            this.cost = cost;
            this.gate = gate;
            offered = new int[ranks];
            refused = new int[ranks];
            served = new long[ranks];
        }

        void run(double until) {
            while (freeAt <= until && now <= until) {
                int rank = lines.size() - 1;
                while (rank >= 0 && lines.get(rank).isEmpty()) {
                    rank--;
                }
                if (rank < 0) {
                    break;
                }
                double since = lines.get(rank).poll();
                double start = Math.max(freeAt, since);
                longestWait = Math.max(longestWait, start - since);
                freeAt = start + cost;
                served[rank]++;
            }
            now = until;
        }

        long offer(double at, int rank, long sender) {
            run(at);
            offered[rank]++;
            long advice = gate.decide(at, rank, sender, this);
            if (advice == AdmissionController.ADMIT) {
                lines.get(rank).add(at);
            } else {
                refused[rank]++;
            }
            return advice;
        }

        double refusedShare(int rank) {
            return offered[rank] == 0 ? 0 : refused[rank] / (double) offered[rank];
        }

        @Override
        public int queuedAtOrAbove(int rank) {
            return lines.subList(rank, lines.size()).stream()
                    .mapToInt(ArrayDeque::size)
                    .sum();
        }

        @Override
        public double costPerCallMs() {
            return cost;
        }

        @Override
        public double loopPauseMs(double at) {
            return Double.isNaN(stoodStillAt) ? 0 : at - stoodStillAt;
        }

        @Override
        public double pressure(int rank) {
            return pressure;
        }
    }

    private static LevelAdmissionController gate(int ranks) {
        return new LevelAdmissionController(SETTINGS, ranks, 7);
    }

    /** Arrivals at {@code load} times what the loop can do, for so long; the share of each rank as given. */
    private static SimLoop burst(AdmissionController gate, double load, double ms, double dearShare, long seed) {
        SimLoop loop = new SimLoop(2, 0.05, gate);
        SplittableRandom random = new SplittableRandom(seed);
        double at = 0;
        while (at < ms) {
            at += -Math.log(1 - random.nextDouble()) * loop.cost / load;
            loop.offer(at, random.nextDouble() < dearShare ? 1 : 0, random.nextInt(1_000));
        }
        return loop;
    }

    @Test
    void nothingIsRefusedBelowCapacity() {
        SimLoop loop = burst(gate(2), 0.9, 5_000, 0.06, 1);
        assertEquals(0, loop.refused[0] + loop.refused[1]);
    }

    @Test
    void aTenfoldBurstKeepsTheLoopBusyAndItsQueueShort() {
        SimLoop loop = burst(gate(2), 10, 10_000, 0.06, 2);
        double served = (loop.served[0] + loop.served[1]) * loop.cost / 10_000;
        assertTrue(served > 0.97, "goodput " + served);
        assertEquals(0, loop.refused[1], "the dear ones fit and are all taken");
        // A cheap call waits for the dear ones that come after it too: six tenths of the loop's time are theirs.
        assertTrue(loop.longestWait < 20 / 0.4, "wait " + loop.longestWait);
    }

    @Test
    void aBurstOfOnlyTheDearestIsHeldToWhatTheLoopCanDo() {
        SimLoop loop = burst(gate(2), 10, 5_000, 1, 3);
        assertTrue(loop.served[1] * loop.cost / 5_000 > 0.97, "served " + loop.served[1]);
        assertTrue(loop.longestWait < 25, "wait " + loop.longestWait);
        assertEquals(0.9, loop.refusedShare(1), 0.03);
    }

    /** Whatever the load and the mix: while cheap calls are taken at all, hardly a dear one is refused. */
    @Property(tries = 60)
    void worthIsNeverInverted(
            @ForAll @DoubleRange(min = 0.5, max = 12) double load,
            @ForAll @DoubleRange(min = 0.01, max = 0.99) double dearShare,
            @ForAll @IntRange(max = 1_000_000) int seed) {
        SimLoop loop = burst(gate(2), load, 1_000, dearShare, seed);
        assertTrue(
                loop.refusedShare(1) <= loop.refusedShare(0) + 1e-9 || loop.offered[0] < 20,
                () -> loop.refusedShare(1) + " of the dear, " + loop.refusedShare(0) + " of the cheap");
        if (loop.refused[1] > 0 && loop.offered[0] > 200) {
            assertTrue(
                    loop.refusedShare(0) > 0.8,
                    () -> "dear ones refused while " + (1 - loop.refusedShare(0)) + " of the cheap were taken");
        }
    }

    /** With one rank or many: when the queue is empty again nobody is refused any more. */
    @Property(tries = 16)
    void allIsTakenAgainAfterABurst(@ForAll @IntRange(min = 1, max = 16) int ranks) {
        SimLoop loop = new SimLoop(ranks, 0.05, gate(ranks));
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

    /** A pressure that rests on the onset does not switch a rank on and off with every call. */
    @Test
    void aPressureAtTheOnsetDoesNotFlap() {
        CongestionLevels levels = new CongestionLevels(2);
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 10_000; i++) {
            levels.refusalShare(0, 0.2 * (random.nextDouble() - 0.5));
        }
        assertEquals(1, levels.onsetCount());
        assertTrue(levels.isAnyRefusing());
        levels.refusalShare(0, -0.6);
        assertTrue(!levels.isAnyRefusing(), "over below the abatement level");
    }

    @Test
    void whileTheLoopStandsStillTheCheapAreToldAtOnceAndTheDearWait() {
        SimLoop loop = new SimLoop(2, 0.05, gate(2));
        loop.stoodStillAt = 0;
        loop.freeAt = 1e9;
        for (double t = 0; t < 100; t += 0.1) {
            loop.offer(t, 0, 1);
            loop.offer(t, 1, 1);
        }
        assertTrue(loop.refusedShare(0) > 0.8, "cheap " + loop.refusedShare(0));
        assertTrue(loop.refusedShare(1) < loop.refusedShare(0), "dear " + loop.refusedShare(1));
        assertTrue(loop.queuedAtOrAbove(0) < 1_000, "queued " + loop.queuedAtOrAbove(0));
    }

    @Test
    void pressureOfMemoryRefusesByWorth() {
        SimLoop loop = new SimLoop(2, 0.05, gate(2));
        loop.pressure = 0.8;
        for (int i = 0; i < 1_000; i++) {
            loop.offer(i, i % 2, 1);
        }
        assertTrue(loop.refusedShare(0) > 0.8, "cheap " + loop.refusedShare(0));
        assertEquals(0, loop.refused[1]);
        loop.pressure = 2;
        for (int i = 0; i < 1_000; i++) {
            loop.offer(1_000 + i, 1, 1);
        }
        assertEquals(1_000, loop.refused[1], 2);
    }

    /** One sender floods with what it calls the dearest: the other senders' dear calls hardly notice. */
    @Test
    void oneFloodingSenderDoesNotShutOutTheOthers() {
        LevelAdmissionController gate = gate(2);
        SimLoop loop = new SimLoop(2, 0.05, gate);
        SplittableRandom random = new SplittableRandom(9);
        int[] others = new int[2];
        int[] flood = new int[2];
        for (double at = 0; at < 6_000; ) {
            at += -Math.log(1 - random.nextDouble()) * loop.cost / 10;
            boolean flooding = random.nextDouble() < 0.95;
            long advice = loop.offer(at, 1, flooding ? 1 : 2 + random.nextInt(50));
            if (at > 1_000) {
                int[] of = flooding ? flood : others;
                of[0]++;
                of[1] += advice == AdmissionController.ADMIT ? 0 : 1;
            }
        }
        double lost = others[1] / (double) others[0];
        assertTrue(lost < 0.05, "others lost " + lost);
        assertTrue(flood[1] / (double) flood[0] > 0.85, "the flood lost " + flood[1] / (double) flood[0]);
        assertTrue(gate.surplusRefusals() > 0);
    }

    @Test
    void addressesThatSumAlikeAreTwoSendersAndOneNetworkIsOne() {
        assertTrue(HeavySenderDetector.senderKey(new byte[] {10, 0, 0, 32})
                != HeavySenderDetector.senderKey(new byte[] {10, 0, 1, 1}));
        byte[] one = new byte[16];
        byte[] other = new byte[16];
        other[15] = 1;
        assertEquals(HeavySenderDetector.senderKey(one), HeavySenderDetector.senderKey(other));
        assertTrue(HeavySenderDetector.hash(one) != HeavySenderDetector.hash(other));
    }

    @Test
    void adviceGrowsWithTheOverloadIsSpreadAndBounded() {
        SimLoop loop = new SimLoop(2, 0.05, gate(2));
        loop.pressure = 5;
        long early = loop.offer(0, 0, 1);
        assertTrue(early >= 50 && early <= 150, "early " + early);
        long least = Long.MAX_VALUE;
        long most = 0;
        for (int t = 1; t < 5_000; t++) {
            long advice = loop.offer(t, 0, 1);
            if (t > 1_500 && t < 1_600) {
                least = Math.min(least, advice);
                most = Math.max(most, advice);
            }
            assertTrue(advice <= 2_000);
        }
        assertTrue(least < 1_000 && most > 1_900, least + " to " + most);
    }

    @Test
    void levelsThatCannotWorkAreRefused() {
        assertThrows(IllegalArgumentException.class, () -> new OverloadSettings(20, 5, .7, .9, .8, 0, 3, 0));
        assertThrows(IllegalArgumentException.class, () -> new OverloadSettings(5, 20, .7, 1.2, .8, 0, 3, 0));
        assertThrows(IllegalArgumentException.class, () -> new OverloadSettings(5, 20, .7, .9, .8, 0, 0.5, 0));
        assertThrows(IllegalArgumentException.class, () -> new OverloadSettings(0, 20, .7, .9, .8, 0, 3, 0));
    }
}
