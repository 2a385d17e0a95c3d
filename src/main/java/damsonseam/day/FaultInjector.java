package damsonseam.day;

import damsonseam.audit.WireLog;
import damsonseam.directory.wire.State;
import damsonseam.front.FrontServer;
import damsonseam.standin.DnsAuthority;
import damsonseam.standin.Scenario;
import damsonseam.standin.SimulatedPeers;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Plays the troubles of a scenario on the running parts, at their times. */
final class FaultInjector implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(FaultInjector.class);
    private static final int AGEING_STEPS = 20;
    private static final long BETWEEN_STALLS_MS = 3_000;
    private static final double DRAIN_MS = 4_000;

    private final Scenario scenario;
    private final SimulatedPeers around;
    private final List<FrontServer> fronts;
    private final SplittableRandom random;
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(r -> {
        Thread t = new Thread(r, "troubles");
        t.setDaemon(true);
        return t;
    });

    /** Something that may fail as the parts may. */
    private interface Act {
        void run() throws Exception;
    }

    FaultInjector(Scenario scenario, SimulatedPeers around, List<FrontServer> fronts) {
        this.scenario = scenario;
        this.around = around;
        this.fronts = fronts;
        random = new SplittableRandom(scenario.seed() ^ 0x7ab1e5);
    }

    void start() {
        double length = scenario.length().ms();
        double every = scenario.cycle() == null ? length : scenario.cycle().ms();
        for (double from = 0; from < length; from += every) {
            for (Scenario.Fault t : scenario.troubles()) {
                if (from + t.at().ms() < length) {
                    begin(t, from + t.at().ms());
                }
            }
        }
    }

    private void at(double ms, Act act) {
        thread.schedule(
                () -> {
                    try {
                        act.run();
                    } catch (Exception e) {
                        LOG.atError().addKeyValue("error", e.toString()).log("a trouble could not be played");
                    }
                },
                (long) (ms * 1_000),
                TimeUnit.MICROSECONDS);
    }

    private List<Integer> some(double part, int of) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < of; i++) {
            all.add(i);
        }
        for (int i = of - 1; i > 0; i--) {
            java.util.Collections.swap(all, i, random.nextInt(i + 1));
        }
        return all.subList(0, (int) Math.max(1, Math.min(of, Math.round(part * of))));
    }

    private void begin(Scenario.Fault t, double start) {
        double end = start + t.duration().ms();
        List<Integer> struck = some(t.part(), around.calculators().size());
        switch (t.kind()) {
            case CRASH -> struck.forEach(i -> crash(i, start, end));
            case MASS_RESTART -> some(1, around.calculators().size()).forEach(i -> crash(i, start, start + 300));
            case VANISH -> struck.forEach(i -> vanish(i, start, end));
            case HANG ->
                struck.forEach(i -> {
                    at(start, () -> around.calculators().get(i).pause());
                    at(end, () -> around.calculators().get(i).resume());
                });
            case SLOW ->
                struck.forEach(i -> {
                    at(start, () -> around.calculators().get(i).setSlowdown(t.size()));
                    at(end, () -> around.calculators().get(i).setSlowdown(1));
                });
            case AGEING ->
                struck.forEach(i -> {
                    for (int step = 1; step <= AGEING_STEPS; step++) {
                        double share = step / (double) AGEING_STEPS;
                        at(
                                start + share * t.duration().ms(),
                                () -> around.calculators().get(i).setSlowdown(Math.pow(t.size(), share)));
                    }
                    crash(i, end, end + 3_000);
                });
            case DEPLOY -> deploy(struck, start, t.duration().ms());
            case FRONT_STALL ->
                some(t.part(), fronts.size()).forEach(i -> {
                    double offset = random.nextDouble() * BETWEEN_STALLS_MS;
                    for (double s = start + offset; s < end; s += BETWEEN_STALLS_MS) {
                        at(s, () -> stall(i, t.size().longValue()));
                    }
                });
            case STALE_DIRECTORY -> {
                double usual = scenario.directory().notice().ms();
                at(start, () -> around.directory().setNotificationDelay((long) (usual + t.size())));
                at(end, () -> around.directory().setNotificationDelay((long) usual));
            }
            case SILENT_DIRECTORY -> {
                at(start, () -> around.directory().setSilent(true));
                at(end, () -> around.directory().setSilent(false));
            }
            case BURST -> {
                at(start, () -> around.callers().setRate(scenario.load().callsPerS() * t.size()));
                at(end, () -> around.callers().setRate(scenario.load().callsPerS()));
            }
            case ANSWER_LOST ->
                struck.forEach(i -> {
                    at(start, () -> around.calculators().get(i).setAnswerLossShare(t.size()));
                    at(end, () -> around.calculators().get(i).setAnswerLossShare(0));
                });
            case TURN_AWAY ->
                struck.forEach(i -> {
                    at(start, () -> around.calculators().get(i).setRejectAll(true));
                    at(end, () -> around.calculators().get(i).setRejectAll(false));
                });
            case DNS_SILENT -> mood(t, start, end, DnsAuthority.ResponseMode.SILENT);
            case DNS_LAME -> mood(t, start, end, DnsAuthority.ResponseMode.LAME);
            case DNS_FORGED -> mood(t, start, end, DnsAuthority.ResponseMode.FORGED);
            case DNS_SLOW ->
                some(t.part(), around.authorities().size()).forEach(i -> {
                    at(
                            start,
                            () -> around.authorities().get(i).setDelay(t.size().longValue()));
                    at(end, () -> around.authorities().get(i).setDelay(0));
                });
            default -> throw new IllegalStateException("trouble " + t.kind());
        }
    }

    private void mood(Scenario.Fault t, double start, double end, DnsAuthority.ResponseMode mood) {
        some(t.part(), around.authorities().size()).forEach(i -> {
            at(start, () -> around.authorities().get(i).setResponseMode(mood));
            at(end, () -> around.authorities().get(i).setResponseMode(DnsAuthority.ResponseMode.NORMAL));
        });
    }

    private void stall(int front, long ms) {
        around.logEvent(SimulatedPeers.frontName(front), WireLog.STALL, Long.toString(ms));
        fronts.get(front).pause(ms);
    }

    private void crash(int i, double start, double end) {
        at(start, () -> {
            around.calculators().get(i).crash();
            around.directory().updateDelayed(around.directoryEntry(i), State.GONE, false);
        });
        at(end, () -> restart(i));
    }

    private void restart(int i) throws IOException, InterruptedException {
        if (!around.calculators().get(i).hasCollapsed()) {
            around.calculators().get(i).start(null, true);
            around.directory().updateDelayed(around.directoryEntry(i), State.RUNNING, true);
        }
    }

    private void vanish(int i, double start, double end) {
        at(start, () -> around.calculators().get(i).pause());
        double told = start + scenario.directory().silentNotice().ms();
        if (told < end) {
            at(told, () -> around.directory().updateNow(around.directoryEntry(i), State.GONE));
        }
        at(end, () -> {
            around.calculators().get(i).crash();
            restart(i);
        });
    }

    private void deploy(List<Integer> struck, double start, double length) {
        double each = length / struck.size();
        for (int k = 0; k < struck.size(); k++) {
            int i = struck.get(k);
            double from = start + k * each;
            at(from, () -> around.directory().updateDelayed(around.directoryEntry(i), State.DRAINING, false));
            at(from + DRAIN_MS, () -> {
                around.calculators().get(i).crash();
                restart(i);
            });
        }
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
