package damsonseam.front;

import damsonseam.config.FrontSettings;
import damsonseam.core.Counters;
import damsonseam.core.Router;
import damsonseam.dns.LookupCache;
import damsonseam.dns.Resolver;
import damsonseam.overload.DelayDiagnosis;
import damsonseam.overload.DelayDiagnosis.Cause;
import damsonseam.overload.HeldCallLimit;
import damsonseam.overload.LoopDelayGauge;
import damsonseam.overload.MemoryMonitor;
import damsonseam.overload.OverloadSettings;
import damsonseam.overload.TablePressure;
import damsonseam.overload.WorthRanks;
import java.util.EnumMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Monitors the front's own load: the event loop's delay at each tick, memory and table occupancy ten times a second,
 * and once a second the cause of any delay. The decisions are made in {@code damsonseam.overload}; this class feeds
 * them with measurements and applies their results. Confined to the event loop.
 */
final class SelfMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(SelfMonitor.class);
    private static final double SAMPLE_INTERVAL_MS = 100;
    private static final double DIAGNOSIS_INTERVAL_MS = 1_000;

    private final String frontName;
    private final FrontSettings settings;
    private final OverloadSettings overloadSettings;
    private final WorthRanks ranks;
    private final Router router;
    private final Resolver resolver;
    private final LookupCache cache;
    private final FrontLoadState frontLoad;
    private final JvmMonitor jvmMonitor = new JvmMonitor();
    private final LoopDelayGauge loopDelayGauge = new LoopDelayGauge(FrontSettings.TICK_MS);
    private final MemoryMonitor memoryMonitor;
    private final TablePressure tablePressure;
    private final HeldCallLimit heldCallLimit;
    private double resourcePressure = -1;
    private final Map<Cause, Long> secondsByCause = new EnumMap<>(Cause.class);
    private Cause lastCause = Cause.CALM;
    private double nextSampleAt;
    private double nextDiagnosisAt = Double.NaN;
    private JvmMonitor.Sample previousSample;
    private long previousSetUps;
    private long previousTimedOut;
    private long collectionsSeen;
    private double cacheShare = 1;
    private double longestBatchMs;
    private double longestBatchInWindowMs;
    private double previousLoopCpuMs;
    private long previousReceived;

    SelfMonitor(FrontSettings settings, Router router, Resolver resolver, LookupCache cache, FrontLoadState frontLoad) {
        this.settings = settings;
        this.router = router;
        this.resolver = resolver;
        this.cache = cache;
        this.frontLoad = frontLoad;
        frontName = settings.front().name();
        overloadSettings = settings.overloadSettings();
        ranks = settings.ranks();
        memoryMonitor = new MemoryMonitor(overloadSettings);
        tablePressure = new TablePressure(overloadSettings, ranks.count());
        heldCallLimit = new HeldCallLimit(settings.limits().calls());
    }

    /** Starts monitoring. Must be called on the event loop's thread. */
    void start() {
        jvmMonitor.start(Thread.currentThread().getId());
    }

    /** Called at each tick of the event loop. */
    void onTick(double now) {
        loopDelayGauge.recordTick(now);
        frontLoad.recordIteration(now);
        if (now < nextSampleAt) {
            return;
        }
        nextSampleAt = now + SAMPLE_INTERVAL_MS;
        JvmMonitor.Sample sample = jvmMonitor.latestSample();
        if (sample.collections() != collectionsSeen) {
            collectionsSeen = sample.collections();
            memoryMonitor.recordCollection(now, sample.heapShare());
        }
        long received = router.counters().received;
        frontLoad.recordCpuSample(sample.loopCpuMs() - previousLoopCpuMs, (int) (received - previousReceived));
        previousLoopCpuMs = sample.loopCpuMs();
        previousReceived = received;
        cacheShare = memoryMonitor.cacheShare(now);
        cache.limitCapacity(cacheShare);
        resourcePressure = Math.max(
                memoryMonitor.pressure(ranks.count()),
                tablePressure.pressure(
                        router.openCalls() / (double) settings.limits().calls(),
                        resolver.pendingLookups() / (double) settings.limits().lookups(),
                        sample.openFileShare()));
        if (Double.isNaN(nextDiagnosisAt)) {
            nextDiagnosisAt = now + DIAGNOSIS_INTERVAL_MS;
            previousSample = sample;
        } else if (now >= nextDiagnosisAt) {
            diagnose(now, sample);
        }
    }

    private void diagnose(double now, JvmMonitor.Sample sample) {
        Counters counters = router.counters();
        long setUps = counters.setUps - previousSetUps;
        long timedOut = counters.timedOut - previousTimedOut;
        DelayDiagnosis.Window window = new DelayDiagnosis.Window(
                loopDelayGauge.takeMaxDelayMs(),
                sample.loopCpuMs() - previousSample.loopCpuMs(),
                sample.collectorMs() - previousSample.collectorMs(),
                setUps == 0 ? 0 : timedOut / (double) setUps);
        Cause cause = DelayDiagnosis.diagnose(window, overloadSettings.delayCeiling());
        secondsByCause.merge(cause, 1L, Long::sum);
        if (cause != lastCause) {
            (cause == Cause.CALM ? LOG.atInfo() : LOG.atWarn())
                    .addKeyValue("front", frontName)
                    .addKeyValue("state", cause.toString())
                    .addKeyValue("delayMs", Math.round(window.maxDelayMs()))
                    .addKeyValue("loopCpuMs", Math.round(window.loopCpuMs()))
                    .addKeyValue("collectorMs", Math.round(window.collectorPauseMs()))
                    .addKeyValue("momentMs", Math.round(longestBatchInWindowMs))
                    .addKeyValue("heap", sample.heapShare())
                    .addKeyValue("cpu", sample.cpuShare())
                    .addKeyValue("perCallUs", Math.round(frontLoad.costPerCallMs() * 1_000))
                    .log("front state");
            lastCause = cause;
        }
        longestBatchInWindowMs = 0;
        previousSample = sample;
        previousSetUps = counters.setUps;
        previousTimedOut = counters.timedOut;
        nextDiagnosisAt = now + DIAGNOSIS_INTERVAL_MS;
    }

    /** Records that the routing policy took {@code durationMs} for a batch of simultaneous events. */
    void recordBatch(double now, double durationMs) {
        heldCallLimit.recordBatch(now, durationMs, router.unansweredCalls());
        // The policy serves high-worth calls first, so a call only waits for held calls of its own rank and above.
        double[] pressure = new double[ranks.count()];
        for (int callClass = 0; callClass < settings.classes().size(); callClass++) {
            pressure[ranks.rankOfClass(callClass)] += router.unansweredCalls(callClass);
        }
        double unansweredFromRank = 0;
        for (int rank = ranks.count() - 1; rank >= 0; rank--) {
            unansweredFromRank += pressure[rank];
            pressure[rank] =
                    Math.max(resourcePressure, heldCallLimit.pressure((int) unansweredFromRank, ranks.count()));
        }
        frontLoad.updatePressure(pressure);
        longestBatchMs = Math.max(longestBatchMs, durationMs);
        longestBatchInWindowMs = Math.max(longestBatchInWindowMs, durationMs);
    }

    double longestBatchMs() {
        return longestBatchMs;
    }

    /** Discards the delays measured so far. */
    void resetDelays() {
        loopDelayGauge.reset();
        longestBatchMs = 0;
    }

    LoopDelayGauge loopDelayGauge() {
        return loopDelayGauge;
    }

    JvmMonitor.Sample latestSample() {
        return jvmMonitor.latestSample();
    }

    Map<Cause, Long> secondsByCause() {
        return new EnumMap<>(secondsByCause);
    }

    double heldCallLimit() {
        return heldCallLimit.limit();
    }

    double cacheShare() {
        return cacheShare;
    }

    void close() {
        jvmMonitor.close();
    }
}
