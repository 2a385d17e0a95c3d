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

/**
 * Tests what the front measures of itself. Guards against a wrong cause of late answers, against calls refused because
 * of noise, a pause or a clock jump, and against request decisions forgotten too early.
 */
class OverloadMeasurementTest {

    private static Cause cause(double delay, double cpu, double collector, double upstream) {
        return DelayDiagnosis.diagnose(new DelayDiagnosis.Window(delay, cpu, collector, upstream), 20);
    }

    @Test
    void diagnosesTheCauseOfDelay() {
        assertEquals(Cause.CALM, cause(3, 900, 40, 0.1));
        assertEquals(Cause.UPSTREAM, cause(3, 100, 0, 0.8));
        assertEquals(Cause.COLLECTOR, cause(60, 200, 55, 0));
        assertEquals(Cause.OWN_WORK, cause(80, 700, 10, 0));
        assertEquals(Cause.MACHINE, cause(2_000, 30, 0, 1));
    }

    @Test
    void pauseIsRecordedForEveryTickItSuppressed() {
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
    void slowMemoryGrowthShrinksCachesBeforeRefusingCalls() {
        MemoryMonitor monitor = new MemoryMonitor(LevelAdmissionControllerTest.SETTINGS);
        double cachesReducedAt = Double.NaN;
        double callsRefusedAt = Double.NaN;
        double now = 0;
        for (double used = 0.4; used < 0.95; used += 0.0005) {
            now += 100;
            // Young collections leave garbage, so most samples are too high, but not the minimum over ten seconds.
            monitor.recordCollection(now, used + 0.1 * ((int) (now / 100) % 7) / 7);
            if (monitor.cacheShare(now) < 1 && Double.isNaN(cachesReducedAt)) {
                cachesReducedAt = used;
            }
            if (monitor.pressure(2) > 0 && Double.isNaN(callsRefusedAt)) {
                callsRefusedAt = used;
                assertTrue(monitor.timeUntilCeiling() < 120_000, "ceiling in " + monitor.timeUntilCeiling());
            }
        }
        assertTrue(cachesReducedAt < 0.72, "caches reduced at " + cachesReducedAt);
        assertTrue(callsRefusedAt > 0.74 && callsRefusedAt < 0.82, "calls refused at " + callsRefusedAt);
        assertEquals(0.1, monitor.cacheShare(now), 0.01);
        for (int i = 0; i < 200; i++) {
            now += 1_000;
            monitor.recordCollection(now, 0.3);
        }
        monitor.cacheShare(now);
        assertEquals(1, monitor.cacheShare(now + 60_000), 0.01);
    }

    /** Noise or a clock jump must not be extrapolated to a rising trend. */
    @Test
    void noiseAndClockJumpsCauseNoPressure() {
        MemoryMonitor monitor = new MemoryMonitor(LevelAdmissionControllerTest.SETTINGS);
        SplittableRandom random = new SplittableRandom(3);
        double now = 0;
        for (int i = 0; i < 3_000; i++) {
            now += i == 1_000 ? 3_600_000 : 100;
            monitor.recordCollection(i == 2_000 ? now - 50_000 : now, 0.4 + 0.2 * random.nextDouble());
            assertEquals(1, monitor.cacheShare(now), 1e-9);
            assertTrue(monitor.pressure(2) < 0);
        }
    }

    @Test
    void memoryMonitorWithoutSamplesReportsNoPressure() {
        MemoryMonitor monitor = new MemoryMonitor(LevelAdmissionControllerTest.SETTINGS);
        assertEquals(0, monitor.usedShare());
        assertTrue(monitor.pressure(2) < 0);
        assertEquals(1, monitor.cacheShare(0));
        assertEquals(Double.POSITIVE_INFINITY, monitor.timeUntilCeiling());
    }

    /**
     * With a batch cost of 4 us per held call, the limit settles where a batch takes 8 ms; it recovers when batches are
     * short again.
     */
    @Test
    void heldCallLimitAdaptsToBatchDuration() {
        HeldCallLimit heldLimit = new HeldCallLimit(100_000);
        double now = 0;
        int held = 0;
        double maxBatchMs = 0;
        for (int i = 0; i < 20_000; i++) {
            now += 5;
            // Far more calls arrive than are answered; calls are held up to 1.5 times the limit.
            held = (int) Math.min(held + 500, Math.max(held * 0.9, 1.5 * heldLimit.limit()));
            double batchMs = 0.004 * held;
            maxBatchMs = i > 100 ? Math.max(maxBatchMs, batchMs) : 0;
            heldLimit.recordBatch(now, batchMs, held);
        }
        assertTrue(heldLimit.limit() > 1_000 && heldLimit.limit() < 2_500, "limit " + heldLimit.limit());
        assertTrue(maxBatchMs < 20, "batch duration " + maxBatchMs);
        assertTrue(heldLimit.pressure(held, 2) > 0);
        for (int i = 0; i < 4_000; i++) {
            now += 5;
            heldLimit.recordBatch(now, 1, (int) heldLimit.limit());
        }
        assertTrue(heldLimit.limit() > 50_000, "recovered to " + heldLimit.limit());
    }

    /** A single batch with a pause of two seconds lowers the limit by at most 30 %. */
    @Test
    void singlePauseLowersHeldCallLimitByBoundedFactor() {
        HeldCallLimit heldLimit = new HeldCallLimit(10_000);
        heldLimit.recordBatch(0, 2_000, 10_000);
        assertEquals(7_000, heldLimit.limit(), 1);
        HeldCallLimit fewHeld = new HeldCallLimit(10_000);
        fewHeld.recordBatch(0, 2_000, 100);
        assertEquals(10_000, fewHeld.limit(), 1, "with few held calls, they are not the cause");
    }

    @Test
    void tablesReserveTheirLastPartForTheHighestRank() {
        TablePressure tables = new TablePressure(LevelAdmissionControllerTest.SETTINGS, 2);
        assertTrue(tables.pressure(0.5, 0.1) < 0);
        assertEquals(1, tables.pressure(0.1, 0.9), 1e-9);
        assertEquals(2, tables.pressure(1, 0), 1e-9);
    }

    @Test
    void ranksFollowWorthOnly() {
        WorthRanks ranks = new WorthRanks(List.of(8.0, 1.0, 8.0, 3.0));
        assertEquals(3, ranks.count());
        assertEquals(2, ranks.rankOfClass(0));
        assertEquals(0, ranks.rankOfClass(1));
        assertEquals(2, ranks.rankOfClass(2));
        WorthRanks manyRanks = new WorthRanks(java.util.stream.IntStream.range(0, 100)
                .mapToObj(i -> (double) i)
                .toList());
        assertEquals(WorthRanks.MAX_RANKS, manyRanks.count());
        assertEquals(0, manyRanks.rankOfClass(0));
        assertEquals(WorthRanks.MAX_RANKS - 1, manyRanks.rankOfClass(99));
    }

    /** Compares with a plain map: a decision is known for its retention time, whatever other requests follow. */
    @Property(tries = 100)
    void decisionsAreKnownForTheRetentionTime(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        DecisionCache cache = new DecisionCache(1_000, 1 << 16);
        Map<Long, double[]> reference = new HashMap<>();
        double now = 0;
        for (int i = 0; i < 2_000; i++) {
            now += random.nextInt(10) == 0 ? random.nextInt(300) : 1;
            long request = random.nextInt(500);
            double[] stored = reference.get(request);
            long found = cache.find(request, now);
            if (stored != null && now - stored[0] < 1_000) {
                assertEquals((long) stored[1], found);
            } else if (found != DecisionCache.UNKNOWN) {
                assertEquals(
                        (long) stored[1], found, "a decision kept beyond the retention time must still be correct");
            } else {
                long decided = random.nextInt(-1, 100);
                cache.put(request, decided, now);
                reference.put(request, new double[] {now, decided});
            }
        }
    }

    @Test
    void fullDecisionCacheEvictsTheOldestGenerationAndCountsIt() {
        DecisionCache cache = new DecisionCache(1_000, 100);
        for (int i = 0; i < 1_000; i++) {
            cache.put(i, DecisionCache.ADMITTED, 1);
        }
        assertTrue(cache.size() <= 200);
        assertEquals(DecisionCache.ADMITTED, cache.find(999, 2));
        assertEquals(DecisionCache.UNKNOWN, cache.find(0, 2));
        assertEquals(800, cache.earlyEvictions());
    }
}
