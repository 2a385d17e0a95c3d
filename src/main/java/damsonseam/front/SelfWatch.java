package damsonseam.front;

import damsonseam.config.FrontSettings;
import damsonseam.core.Counters;
import damsonseam.core.Router;
import damsonseam.dns.LookupCache;
import damsonseam.dns.Resolver;
import damsonseam.overload.Diagnosis;
import damsonseam.overload.Diagnosis.Cause;
import damsonseam.overload.HeldRoom;
import damsonseam.overload.LoopGauge;
import damsonseam.overload.MemoryWatch;
import damsonseam.overload.OverloadSettings;
import damsonseam.overload.Ranks;
import damsonseam.overload.TablePressure;
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
    private final Ranks ranks;
    private final Router router;
    private final Resolver resolver;
    private final LookupCache cache;
    private final FrontLoad load;
    private final Vitals vitals = new Vitals();
    private final LoopGauge gauge = new LoopGauge(FrontSettings.TICK_MS);
    private final MemoryWatch memory;
    private final TablePressure tables;
    private final HeldRoom held;
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
        memory = new MemoryWatch(levels);
        tables = new TablePressure(levels, ranks.count());
        held = new HeldRoom(settings.limits().calls());
    }

    /** Starts; called by the loop's thread. */
    void start() {
        vitals.start(Thread.currentThread().getId());
    }

    /** Each beat of the loop. */
    void beat(double now) {
        gauge.beat(now);
        load.turned(now);
        if (now < lookAt) {
            return;
        }
        lookAt = now + LOOK_EVERY;
        Vitals.Sample sample = vitals.sample();
        if (sample.collections() != collections) {
            collections = sample.collections();
            memory.collected(now, sample.heap());
        }
        long taken = router.counters().taken;
        load.look(sample.loopCpuMs() - cpuAtLook, (int) (taken - takenAtLook));
        cpuAtLook = sample.loopCpuMs();
        takenAtLook = taken;
        cacheRoom = memory.cacheRoom(now);
        cache.limitCapacity(cacheRoom);
        tablePressure = Math.max(
                memory.pressure(ranks.count()),
                tables.pressure(
                        router.open() / (double) settings.limits().calls(),
                        resolver.pendingLookups() / (double) settings.limits().lookups(),
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
        Diagnosis.Window window = new Diagnosis.Window(
                gauge.takeLongest(),
                sample.loopCpuMs() - before.loopCpuMs(),
                sample.pausedMs() - before.pausedMs(),
                setUps == 0 ? 0 : late / (double) setUps);
        Cause found = Diagnosis.of(window, levels.delayCeiling());
        seconds.merge(found, 1L, Long::sum);
        if (found != cause) {
            (found == Cause.CALM ? LOG.atInfo() : LOG.atWarn())
                    .addKeyValue("front", front)
                    .addKeyValue("state", found.toString())
                    .addKeyValue("delayMs", Math.round(window.delay()))
                    .addKeyValue("loopCpuMs", Math.round(window.loopCpu()))
                    .addKeyValue("collectorMs", Math.round(window.collector()))
                    .addKeyValue("momentMs", Math.round(momentInWindow))
                    .addKeyValue("heap", sample.heap())
                    .addKeyValue("cpu", sample.cpu())
                    .addKeyValue("perCallUs", Math.round(load.perCall() * 1_000))
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
        held.moment(now, ms, router.owed());
        // The module serves the dear first, so a call meets only the held ones of its own rank and above.
        double[] pressure = new double[ranks.count()];
        for (int c = 0; c < settings.classes().size(); c++) {
            pressure[ranks.of(c)] += router.owed(c);
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

    LoopGauge gauge() {
        return gauge;
    }

    Vitals.Sample sample() {
        return vitals.sample();
    }

    Map<Cause, Long> seconds() {
        return new EnumMap<>(seconds);
    }

    double heldRoom() {
        return held.room();
    }

    double cacheRoom() {
        return cacheRoom;
    }

    void close() {
        vitals.close();
    }
}
