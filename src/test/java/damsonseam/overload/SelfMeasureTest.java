package damsonseam.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.overload.DelayDiagnosis.Cause;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class SelfMeasureTest {

    private static Cause cause(double delay, double cpu, double collector, double upstream) {
        return DelayDiagnosis.diagnose(new DelayDiagnosis.Window(delay, cpu, collector, upstream), 20);
    }

    @Test
    void tellsWhyItIsLate() {
        assertEquals(Cause.CALM, cause(3, 900, 40, 0.1));
        assertEquals(Cause.UPSTREAM, cause(3, 100, 0, 0.8));
        assertEquals(Cause.COLLECTOR, cause(60, 200, 55, 0));
        assertEquals(Cause.OWN_WORK, cause(80, 700, 10, 0));
        assertEquals(Cause.MACHINE, cause(2_000, 30, 0, 1));
    }

    @Test
    void aStopCountsForAllTheBeatsThatItSwallowed() {
        LoopDelayGauge gauge = new LoopDelayGauge(5);
        for (int i = 0; i <= 100; i++) {
            gauge.recordTick(5.0 * i);
        }
        assertEquals(0, gauge.percentileMs(99), 0.01);
        assertEquals(2_000, gauge.recordTick(500 + 5 + 2_000), 0.01);
        assertEquals(2_000, gauge.maxDelayMs(), 20);
        assertTrue(gauge.percentileMs(50) > 500, "p50 " + gauge.percentileMs(50));
        assertEquals(2_000, gauge.takeMaxDelayMs(), 0.01);
        assertEquals(0, gauge.takeMaxDelayMs());
    }

    @Test
    void slowClimbShedsCachesBeforeCalls() {
        MemoryMonitor watch = new MemoryMonitor(GateTest.SETTINGS);
        double cachesAt = Double.NaN;
        double callsAt = Double.NaN;
        double now = 0;
        for (double used = 0.4; used < 0.95; used += 0.0005) {
            now += 100;
            // Young collections leave garbage: most samples are too high, the least of ten seconds is not.
            watch.recordCollection(now, used + 0.1 * ((int) (now / 100) % 7) / 7);
            if (watch.cacheShare(now) < 1 && Double.isNaN(cachesAt)) {
                cachesAt = used;
            }
            if (watch.pressure(2) > 0 && Double.isNaN(callsAt)) {
                callsAt = used;
                assertTrue(watch.timeUntilCeiling() < 120_000, "ceiling in " + watch.timeUntilCeiling());
            }
        }
        assertTrue(cachesAt < 0.72, "caches at " + cachesAt);
        assertTrue(callsAt > 0.74 && callsAt < 0.82, "calls at " + callsAt);
        assertEquals(0.1, watch.cacheShare(now), 0.01);
        for (int i = 0; i < 200; i++) {
            now += 1_000;
            watch.recordCollection(now, 0.3);
        }
        watch.cacheShare(now);
        assertEquals(1, watch.cacheShare(now + 60_000), 0.01);
    }

    /** A climb foreseen from noise, or from a clock that jumps, must not shed anything. */
    @Test
    void noiseAndClockJumpsAreNoClimb() {
        MemoryMonitor watch = new MemoryMonitor(GateTest.SETTINGS);
        SplittableRandom random = new SplittableRandom(3);
        double now = 0;
        for (int i = 0; i < 3_000; i++) {
            now += i == 1_000 ? 3_600_000 : 100;
            watch.recordCollection(i == 2_000 ? now - 50_000 : now, 0.4 + 0.2 * random.nextDouble());
            assertEquals(1, watch.cacheShare(now), 1e-9);
            assertTrue(watch.pressure(2) < 0);
        }
    }

    @Test
    void measuringThatStarvesSaysNothingRatherThanWrong() {
        MemoryMonitor watch = new MemoryMonitor(GateTest.SETTINGS);
        assertEquals(0, watch.usedShare());
        assertTrue(watch.pressure(2) < 0);
        assertEquals(1, watch.cacheShare(0));
        assertEquals(Double.POSITIVE_INFINITY, watch.timeUntilCeiling());
    }

    /** Moments cost 4 us a held call: room settles where they take 8 ms, and grows back when they are cheap again. */
    @Test
    void heldRoomFindsWhatTheMachineCanWalkOver() {
        HeldCallLimit room = new HeldCallLimit(100_000);
        double now = 0;
        int held = 0;
        double longest = 0;
        for (int i = 0; i < 20_000; i++) {
            now += 5;
            // Far more come than are answered; whoever comes while there is room is held.
            held = (int) Math.min(held + 500, Math.max(held * 0.9, 1.5 * room.limit()));
            double ms = 0.004 * held;
            longest = i > 100 ? Math.max(longest, ms) : 0;
            room.recordBatch(now, ms, held);
        }
        assertTrue(room.limit() > 1_000 && room.limit() < 2_500, "room " + room.limit());
        assertTrue(longest < 20, "moment " + longest);
        assertTrue(room.pressure(held, 2) > 0);
        for (int i = 0; i < 4_000; i++) {
            now += 5;
            room.recordBatch(now, 1, (int) room.limit());
        }
        assertTrue(room.limit() > 50_000, "grown back to " + room.limit());
    }

    /** A stop of two seconds in one moment takes a third of the room and not all of it. */
    @Test
    void oneStopIsNoMeasureOfTheHeldCalls() {
        HeldCallLimit room = new HeldCallLimit(10_000);
        room.recordBatch(0, 2_000, 10_000);
        assertEquals(7_000, room.limit(), 1);
        HeldCallLimit few = new HeldCallLimit(10_000);
        few.recordBatch(0, 2_000, 100);
        assertEquals(10_000, few.limit(), 1, "with few held it was not they");
    }

    @Test
    void tablesKeepTheirLastRoomForTheDearest() {
        TablePressure tables = new TablePressure(GateTest.SETTINGS, 2);
        assertTrue(tables.pressure(0.5, 0.1) < 0);
        assertEquals(1, tables.pressure(0.1, 0.9), 1e-9);
        assertEquals(2, tables.pressure(1, 0), 1e-9);
    }

    @Test
    void ranksFollowWorthAlone() {
        WorthRanks ranks = new WorthRanks(List.of(8.0, 1.0, 8.0, 3.0));
        assertEquals(3, ranks.count());
        assertEquals(2, ranks.rankOfClass(0));
        assertEquals(0, ranks.rankOfClass(1));
        assertEquals(2, ranks.rankOfClass(2));
        WorthRanks many = new WorthRanks(java.util.stream.IntStream.range(0, 100)
                .mapToObj(i -> (double) i)
                .toList());
        assertEquals(WorthRanks.MAX_RANKS, many.count());
        assertEquals(0, many.rankOfClass(0));
        assertEquals(WorthRanks.MAX_RANKS - 1, many.rankOfClass(99));
    }

    /** Against a plain map: what was decided less than the time ago is known, whatever else came in between. */
    @Property(tries = 100)
    void whatWasDecidedLatelyIsKnown(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        DecisionCache remembered = new DecisionCache(1_000, 1 << 16);
        Map<Long, double[]> plain = new HashMap<>();
        double now = 0;
        for (int i = 0; i < 2_000; i++) {
            now += random.nextInt(10) == 0 ? random.nextInt(300) : 1;
            long question = random.nextInt(500);
            double[] put = plain.get(question);
            long known = remembered.find(question, now);
            if (put != null && now - put[0] < 1_000) {
                assertEquals((long) put[1], known);
            } else if (known != DecisionCache.UNKNOWN) {
                assertEquals((long) put[1], known, "known longer than it must, but not wrong");
            } else {
                long decided = random.nextInt(-1, 100);
                remembered.put(question, decided, now);
                plain.put(question, new double[] {now, decided});
            }
        }
    }

    @Test
    void aFullMemoryForgetsTheOldestGenerationAndSaysSo() {
        DecisionCache remembered = new DecisionCache(1_000, 100);
        for (int i = 0; i < 1_000; i++) {
            remembered.put(i, DecisionCache.ADMITTED, 1);
        }
        assertTrue(remembered.size() <= 200);
        assertEquals(DecisionCache.ADMITTED, remembered.find(999, 2));
        assertEquals(DecisionCache.UNKNOWN, remembered.find(0, 2));
        assertEquals(800, remembered.earlyEvictions());
    }
}
