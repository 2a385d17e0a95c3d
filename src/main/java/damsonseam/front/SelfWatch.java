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
 * The front's view of itself, kept up by its loop: each beat how late the loop is, ten times a second memory and
 * tables, each second why it was late if it was. What follows from it is decided in {@code damsonseam.overload}; here
 * it is only carried out.
 */
final class SelfWatch {
    private static final Logger LOG = LoggerFactory.getLogger(SelfWatch.class);
    private static final double LOOK_EVERY = 100;
    private static final double DIAGNOSE_EVERY = 1_000;

    private final String front;
    private final FrontSettings settings;
    private final OverloadSettings levels;
    private final WorthRanks ranks;
    private final Router router;
    private final Resolver resolver;
    private final LookupCache cache;
    private final FrontLoad load;
    private final Vitals vitals = new Vitals();
    private final LoopDelayGauge gauge = new LoopDelayGauge(FrontSettings.TICK_MS);
    private final MemoryMonitor memory;
    private final TablePressure tables;
    private final HeldCallLimit held;
    private double tablePressure = -1;
    private final Map<Cause, Long> seconds = new EnumMap<>(Cause.class);
    private Cause cause = Cause.CALM;
    private double lookAt;
    private double diagnoseAt = Double.NaN;
    private Vitals.Sample before;
    private long setUpsBefore;
    private long lateBefore;
    private long collections;
    private double cacheRoom = 1;
    private double longestMoment;
    private double momentInWindow;
    private double cpuAtLook;
    private long takenAtLook;

    SelfWatch(FrontSettings settings, Router router, Resolver resolver, LookupCache cache, FrontLoad load) {
        this.settings = settings;
        this.router = router;
        this.resolver = resolver;
        this.cache = cache;
        this.load = load;
        front = settings.front().name();
        levels = settings.overloadSettings();
        ranks = settings.ranks();
        memory = new MemoryMonitor(levels);
        tables = new TablePressure(levels, ranks.count());
        held = new HeldCallLimit(settings.limits().calls());
    }

    /** Starts; called by the loop's thread. */
    void start() {
        vitals.start(Thread.currentThread().getId());
    }

    /** Each beat of the loop. */
    void beat(double now) {
        gauge.recordTick(now);
        load.turned(now);
        if (now < lookAt) {
            return;
        }
        lookAt = now + LOOK_EVERY;
        Vitals.Sample sample = vitals.sample();
        if (sample.collections() != collections) {
            collections = sample.collections();
            memory.recordCollection(now, sample.heap());
        }
        long taken = router.counters().received;
        load.look(sample.loopCpuMs() - cpuAtLook, (int) (taken - takenAtLook));
        cpuAtLook = sample.loopCpuMs();
        takenAtLook = taken;
        cacheRoom = memory.cacheShare(now);
        cache.room(cacheRoom);
        tablePressure = Math.max(
                memory.pressure(ranks.count()),
                tables.pressure(
                        router.openCalls() / (double) settings.limits().calls(),
                        resolver.out() / (double) settings.limits().lookups(),
                        sample.files()));
        if (Double.isNaN(diagnoseAt)) {
            diagnoseAt = now + DIAGNOSE_EVERY;
            before = sample;
        } else if (now >= diagnoseAt) {
            diagnose(now, sample);
        }
    }

    private void diagnose(double now, Vitals.Sample sample) {
        Counters counters = router.counters();
        long setUps = counters.setUps - setUpsBefore;
        long late = counters.timedOut - lateBefore;
        DelayDiagnosis.Window window = new DelayDiagnosis.Window(
                gauge.takeMaxDelayMs(),
                sample.loopCpuMs() - before.loopCpuMs(),
                sample.pausedMs() - before.pausedMs(),
                setUps == 0 ? 0 : late / (double) setUps);
        Cause found = DelayDiagnosis.diagnose(window, levels.delayCeiling());
        seconds.merge(found, 1L, Long::sum);
        if (found != cause) {
            (found == Cause.CALM ? LOG.atInfo() : LOG.atWarn())
                    .addKeyValue("front", front)
                    .addKeyValue("state", found.toString())
                    .addKeyValue("delayMs", Math.round(window.maxDelayMs()))
                    .addKeyValue("loopCpuMs", Math.round(window.loopCpuMs()))
                    .addKeyValue("collectorMs", Math.round(window.collectorPauseMs()))
                    .addKeyValue("momentMs", Math.round(momentInWindow))
                    .addKeyValue("heap", sample.heap())
                    .addKeyValue("cpu", sample.cpu())
                    .addKeyValue("perCallUs", Math.round(load.costPerCallMs() * 1_000))
                    .log("front state");
            cause = found;
        }
        momentInWindow = 0;
        before = sample;
        setUpsBefore = counters.setUps;
        lateBefore = counters.timedOut;
        diagnoseAt = now + DIAGNOSE_EVERY;
    }

    /** The module has taken so long for a moment, in milliseconds. */
    void moment(double now, double ms) {
        held.recordBatch(now, ms, router.unansweredCalls());
        // The module serves the dear first, so a call meets only the held ones of its own rank and above.
        double[] pressure = new double[ranks.count()];
        for (int c = 0; c < settings.classes().size(); c++) {
            pressure[ranks.rankOfClass(c)] += router.unansweredCalls(c);
        }
        double from = 0;
        for (int rank = ranks.count() - 1; rank >= 0; rank--) {
            from += pressure[rank];
            pressure[rank] = Math.max(tablePressure, held.pressure((int) from, ranks.count()));
        }
        load.pressure(pressure);
        longestMoment = Math.max(longestMoment, ms);
        momentInWindow = Math.max(momentInWindow, ms);
    }

    double longestMoment() {
        return longestMoment;
    }

    /** Forgets the delays measured so far. */
    void reset() {
        gauge.reset();
        longestMoment = 0;
    }

    LoopDelayGauge gauge() {
        return gauge;
    }

    Vitals.Sample sample() {
        return vitals.sample();
    }

    Map<Cause, Long> seconds() {
        return new EnumMap<>(seconds);
    }

    double heldRoom() {
        return held.limit();
    }

    double cacheRoom() {
        return cacheRoom;
    }

    void close() {
        vitals.close();
    }
}
