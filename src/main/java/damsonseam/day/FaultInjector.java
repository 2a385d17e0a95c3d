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

/**
 * Injects the faults of a scenario into its running peers and fronts, at their times. {@link #start} schedules them
 * all; they run on one thread.
 */
final class FaultInjector implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(FaultInjector.class);
    private static final int AGEING_STEPS = 20;
    private static final long PAUSE_INTERVAL_MS = 3_000;
    /** Time between the notification that a calculator drains and its replacement. */
    private static final double DRAIN_TIME_MS = 4_000;

    private final Scenario scenario;
    private final SimulatedPeers peers;
    private final List<FrontServer> fronts;
    private final SplittableRandom random;
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(r -> {
        Thread thread = new Thread(r, "fault-injector");
        thread.setDaemon(true);
        return thread;
    });

    /** One step of a fault. */
    private interface FaultAction {
        void run() throws Exception;
    }

    FaultInjector(Scenario scenario, SimulatedPeers peers, List<FrontServer> fronts) {
        this.scenario = scenario;
        this.peers = peers;
        this.fronts = fronts;
        random = new SplittableRandom(scenario.seed() ^ 0x7ab1e5);
    }

    /** Schedules all faults of the run, in each cycle. */
    void start() {
        double lengthMs = scenario.length().ms();
        double cycleMs = scenario.cycle() == null ? lengthMs : scenario.cycle().ms();
        for (double cycleStartMs = 0; cycleStartMs < lengthMs; cycleStartMs += cycleMs) {
            for (Scenario.Fault fault : scenario.troubles()) {
                if (cycleStartMs + fault.at().ms() < lengthMs) {
                    scheduleFault(fault, cycleStartMs + fault.at().ms());
                }
            }
        }
    }

    private void runAt(double timeMs, FaultAction action) {
        executor.schedule(
                () -> {
                    try {
                        action.run();
                    } catch (Exception e) {
                        LOG.atError().addKeyValue("error", e.toString()).log("fault injection failed");
                    }
                },
                (long) (timeMs * 1_000),
                TimeUnit.MICROSECONDS);
    }

    /** Draws a share of the indices below {@code count}, at least one, in random order. */
    private List<Integer> drawIndices(double share, int count) {
        List<Integer> indices = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            indices.add(i);
        }
        for (int i = count - 1; i > 0; i--) {
            java.util.Collections.swap(indices, i, random.nextInt(i + 1));
        }
        return indices.subList(0, (int) Math.max(1, Math.min(count, Math.round(share * count))));
    }

    private void scheduleFault(Scenario.Fault fault, double startMs) {
        double endMs = startMs + fault.duration().ms();
        List<Integer> affected = drawIndices(fault.part(), peers.calculators().size());
        switch (fault.kind()) {
            case CRASH -> affected.forEach(i -> scheduleCrash(i, startMs, endMs));
            case MASS_RESTART ->
                drawIndices(1, peers.calculators().size()).forEach(i -> scheduleCrash(i, startMs, startMs + 300));
            case VANISH -> affected.forEach(i -> scheduleVanish(i, startMs, endMs));
            case HANG ->
                affected.forEach(i -> {
                    runAt(startMs, () -> peers.calculators().get(i).pause());
                    runAt(endMs, () -> peers.calculators().get(i).resume());
                });
            case SLOW ->
                affected.forEach(i -> {
                    runAt(startMs, () -> peers.calculators().get(i).setSlowdown(fault.size()));
                    runAt(endMs, () -> peers.calculators().get(i).setSlowdown(1));
                });
            case AGEING ->
                affected.forEach(i -> {
                    for (int step = 1; step <= AGEING_STEPS; step++) {
                        double share = step / (double) AGEING_STEPS;
                        runAt(
                                startMs + share * fault.duration().ms(),
                                () -> peers.calculators().get(i).setSlowdown(Math.pow(fault.size(), share)));
                    }
                    scheduleCrash(i, endMs, endMs + 3_000);
                });
            case DEPLOY -> scheduleDeploy(affected, startMs, fault.duration().ms());
            case FRONT_STALL ->
                drawIndices(fault.part(), fronts.size()).forEach(i -> {
                    double offsetMs = random.nextDouble() * PAUSE_INTERVAL_MS;
                    for (double pauseStartMs = startMs + offsetMs;
                            pauseStartMs < endMs;
                            pauseStartMs += PAUSE_INTERVAL_MS) {
                        runAt(pauseStartMs, () -> pauseFront(i, fault.size().longValue()));
                    }
                });
            case STALE_DIRECTORY -> {
                double usualDelayMs = scenario.directory().notice().ms();
                runAt(startMs, () -> peers.directory().setNotificationDelay((long) (usualDelayMs + fault.size())));
                runAt(endMs, () -> peers.directory().setNotificationDelay((long) usualDelayMs));
            }
            case SILENT_DIRECTORY -> {
                runAt(startMs, () -> peers.directory().setSilent(true));
                runAt(endMs, () -> peers.directory().setSilent(false));
            }
            case BURST -> {
                runAt(startMs, () -> peers.callers().setRate(scenario.load().callsPerS() * fault.size()));
                runAt(endMs, () -> peers.callers().setRate(scenario.load().callsPerS()));
            }
            case ANSWER_LOST ->
                affected.forEach(i -> {
                    runAt(startMs, () -> peers.calculators().get(i).setAnswerLossShare(fault.size()));
                    runAt(endMs, () -> peers.calculators().get(i).setAnswerLossShare(0));
                });
            case TURN_AWAY ->
                affected.forEach(i -> {
                    runAt(startMs, () -> peers.calculators().get(i).setRejectAll(true));
                    runAt(endMs, () -> peers.calculators().get(i).setRejectAll(false));
                });
            case DNS_SILENT -> scheduleResponseMode(fault, startMs, endMs, DnsAuthority.ResponseMode.SILENT);
            case DNS_LAME -> scheduleResponseMode(fault, startMs, endMs, DnsAuthority.ResponseMode.LAME);
            case DNS_FORGED -> scheduleResponseMode(fault, startMs, endMs, DnsAuthority.ResponseMode.FORGED);
            case DNS_SLOW ->
                drawIndices(fault.part(), peers.authorities().size()).forEach(i -> {
                    runAt(startMs, () -> peers.authorities()
                            .get(i)
                            .setDelay(fault.size().longValue()));
                    runAt(endMs, () -> peers.authorities().get(i).setDelay(0));
                });
            default -> throw new IllegalStateException("unknown fault kind " + fault.kind());
        }
    }

    private void scheduleResponseMode(
            Scenario.Fault fault, double startMs, double endMs, DnsAuthority.ResponseMode mode) {
        drawIndices(fault.part(), peers.authorities().size()).forEach(i -> {
            runAt(startMs, () -> peers.authorities().get(i).setResponseMode(mode));
            runAt(endMs, () -> peers.authorities().get(i).setResponseMode(DnsAuthority.ResponseMode.NORMAL));
        });
    }

    private void pauseFront(int frontIndex, long durationMs) {
        peers.logEvent(SimulatedPeers.frontName(frontIndex), WireLog.PAUSED, Long.toString(durationMs));
        fronts.get(frontIndex).pause(durationMs);
    }

    private void scheduleCrash(int index, double startMs, double endMs) {
        runAt(startMs, () -> {
            peers.calculators().get(index).crash();
            peers.directory().updateDelayed(peers.directoryEntry(index), State.GONE, false);
        });
        runAt(endMs, () -> restart(index));
    }

    private void restart(int index) throws IOException, InterruptedException {
        if (!peers.calculators().get(index).hasCollapsed()) {
            peers.calculators().get(index).start(null, true);
            peers.directory().updateDelayed(peers.directoryEntry(index), State.RUNNING, true);
        }
    }

    private void scheduleVanish(int index, double startMs, double endMs) {
        runAt(startMs, () -> peers.calculators().get(index).pause());
        double notifiedMs = startMs + scenario.directory().silentNotice().ms();
        if (notifiedMs < endMs) {
            runAt(notifiedMs, () -> peers.directory().updateNow(peers.directoryEntry(index), State.GONE));
        }
        runAt(endMs, () -> {
            peers.calculators().get(index).crash();
            restart(index);
        });
    }

    private void scheduleDeploy(List<Integer> affected, double startMs, double lengthMs) {
        double intervalMs = lengthMs / affected.size();
        for (int ordinal = 0; ordinal < affected.size(); ordinal++) {
            int index = affected.get(ordinal);
            double drainStartMs = startMs + ordinal * intervalMs;
            runAt(drainStartMs, () -> peers.directory()
                    .updateDelayed(peers.directoryEntry(index), State.DRAINING, false));
            runAt(drainStartMs + DRAIN_TIME_MS, () -> {
                peers.calculators().get(index).crash();
                restart(index);
            });
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
