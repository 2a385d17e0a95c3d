package damsonseam.day;

import damsonseam.RoutingPolicy;
import damsonseam.audit.AuditFolder;
import damsonseam.audit.AuditReport;
import damsonseam.audit.RunParameters;
import damsonseam.config.Endpoint;
import damsonseam.config.FrontSettings;
import damsonseam.front.FrontServer;
import damsonseam.overload.AdmissionController;
import damsonseam.standin.CallGenerator;
import damsonseam.standin.RandomRoutingPolicy;
import damsonseam.standin.Scenario;
import damsonseam.standin.SimulatedPeers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;

/** Runs a scenario through real fronts and audits the messages that passed the sockets. */
public final class ScenarioRun {
    private static final long READY_TIMEOUT_MS = 10_000;
    private static final long COMPLETION_TIMEOUT_MS = 20_000;
    private static final int POLL_INTERVAL_MS = 50;

    /** The routing policy of the fronts of a run. */
    public enum Decider {
        /** The project's own policy. */
        MODULE,
        /** A random calculator without admission control, as a baseline. */
        RANDOM
    }

    /**
     * The result of a run.
     *
     * @param totals outcomes as the callers count them
     * @param audit outcomes and broken rules as the wire logs show them
     * @param longestPauseMs longest pause of a front's event loop in milliseconds, injected pauses included
     * @param collapsedCalculators number of calculators that failed by overload while cold and are down at the end
     */
    public record Result(
            CallGenerator.Totals totals, AuditReport audit, double longestPauseMs, int collapsedCalculators) {}

    private ScenarioRun() {}

    /**
     * Runs a scenario and audits it. Blocks until the calls are over and all is closed.
     *
     * @param scenario scenario to run
     * @param decider policy of the fronts
     * @param outFolder folder for the wire logs and the description of the run
     * @param logCalls whether the fronts log each call
     */
    public static Result run(Scenario scenario, Decider decider, Path outFolder, boolean logCalls)
            throws IOException, InterruptedException {
        Path wireFolder = Files.createDirectories(outFolder.resolve("wire"));
        List<FrontServer> fronts = new ArrayList<>();
        try (SimulatedPeers peers = new SimulatedPeers(scenario, wireFolder)) {
            List<RunParameters.FrontAddress> worldFronts = new ArrayList<>();
            List<InetSocketAddress> addresses = new ArrayList<>();
            for (int i = 0; i < scenario.fronts(); i++) {
                FrontSettings settings = peers.frontSettings(i, new Endpoint("127.0.0.1", 0));
                FrontServer front = start(settings, decider, logCalls);
                fronts.add(front);
                addresses.add(front.enumAddress());
                worldFronts.add(new RunParameters.FrontAddress(
                        SimulatedPeers.frontName(i), front.enumAddress().getPort()));
            }
            AuditFolder.writeRunParameters(outFolder, peers.world(worldFronts));
            for (FrontServer front : fronts) {
                if (!front.awaitReady(READY_TIMEOUT_MS)) {
                    throw new IOException("front did not become ready within " + READY_TIMEOUT_MS + " ms");
                }
            }
            try (FaultInjector faultInjector = new FaultInjector(scenario, peers, fronts)) {
                peers.callers().start(addresses, scenario.load().callsPerS());
                faultInjector.start();
                Thread.sleep((long) scenario.length().ms());
                peers.callers().stopArrivals();
                long deadlineNanos = System.nanoTime() + COMPLETION_TIMEOUT_MS * 1_000_000;
                while (peers.callers().openCalls() > 0 && System.nanoTime() < deadlineNanos) {
                    Thread.sleep(POLL_INTERVAL_MS);
                }
            }
            peers.callers().ignoreFurtherDrops();
            double longestPauseMs = fronts.stream()
                    .mapToDouble(f -> f.counters().maxPauseMs)
                    .max()
                    .orElse(0);
            int collapsed = (int)
                    peers.calculators().stream().filter(c -> c.hasCollapsed()).count();
            fronts.forEach(FrontServer::close);
            fronts.clear();
            CallGenerator.Totals totals = peers.callers().totals();
            peers.close();
            return new Result(totals, AuditFolder.audit(outFolder), longestPauseMs, collapsed);
        } finally {
            fronts.forEach(FrontServer::close);
        }
    }

    private static FrontServer start(FrontSettings settings, Decider decider, boolean logCalls)
            throws IOException, InterruptedException {
        if (decider == Decider.MODULE) {
            return FrontServer.start(settings, logCalls);
        }
        BiFunction<RoutingPolicy.PolicySettings, RoutingPolicy.PolicyActions, RoutingPolicy> randomPolicy =
                RandomRoutingPolicy::new;
        AdmissionController admitAll = (now, rank, sender, load) -> AdmissionController.ADMIT;
        return FrontServer.start(
                settings,
                new FrontServer.Components(
                        actions -> randomPolicy.apply(
                                settings.policySettings(settings.front().seed()), actions),
                        () -> admitAll),
                logCalls);
    }
}
