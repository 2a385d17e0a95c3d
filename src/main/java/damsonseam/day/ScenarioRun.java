package damsonseam.day;

import damsonseam.RoutingPolicy;
import damsonseam.audit.AuditFolder;
import damsonseam.audit.AuditReport;
import damsonseam.audit.World;
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

/** Runs a scenario through real fronts and audits what passed the sockets. */
public final class ScenarioRun {
    private static final long READY_MS = 10_000;
    private static final long SETTLE_MS = 20_000;
    private static final int POLL_MS = 50;

    /** What decides in the fronts of a day. */
    public enum Decider {
        /** The project's own module. */
        MODULE,
        /** A calculator at random, no admission: a baseline. */
        RANDOM
    }

    /**
     * What a day came to.
     *
     * @param totals as the callers count
     * @param audit as the wire logs show
     * @param longestPauseMs longest time for which a front's loop did not turn, stalls by the script included
     * @param collapsedCalculators calculators that were pushed over
     */
    public record Result(
            CallGenerator.Totals totals, AuditReport audit, double longestPauseMs, int collapsedCalculators) {}

    private ScenarioRun() {}

    /** Runs a scenario; wire logs and world go to {@code out}. */
    public static Result run(Scenario scenario, Decider decider, Path out, boolean logCalls)
            throws IOException, InterruptedException {
        Path wire = Files.createDirectories(out.resolve("wire"));
        List<FrontServer> fronts = new ArrayList<>();
        try (SimulatedPeers around = new SimulatedPeers(scenario, wire)) {
            List<World.FrontAt> places = new ArrayList<>();
            List<InetSocketAddress> addresses = new ArrayList<>();
            for (int i = 0; i < scenario.fronts(); i++) {
                FrontSettings settings = around.frontSettings(i, new Endpoint("127.0.0.1", 0));
                FrontServer front = start(settings, decider, logCalls);
                fronts.add(front);
                addresses.add(front.enumAddress());
                places.add(new World.FrontAt(
                        SimulatedPeers.frontName(i), front.enumAddress().getPort()));
            }
            AuditFolder.write(out, around.world(places));
            for (FrontServer front : fronts) {
                if (!front.awaitReady(READY_MS)) {
                    throw new IOException("a front was not ready within " + READY_MS + " ms");
                }
            }
            try (FaultInjector troubles = new FaultInjector(scenario, around, fronts)) {
                around.callers().start(addresses, scenario.load().callsPerS());
                troubles.start();
                Thread.sleep((long) scenario.length().ms());
                around.callers().stopArrivals();
                long until = System.nanoTime() + SETTLE_MS * 1_000_000;
                while (around.callers().openCalls() > 0 && System.nanoTime() < until) {
                    Thread.sleep(POLL_MS);
                }
            }
            around.callers().ignoreFurtherDrops();
            double pause = fronts.stream()
                    .mapToDouble(f -> f.counters().maxPauseMs)
                    .max()
                    .orElse(0);
            int fallen = (int)
                    around.calculators().stream().filter(c -> c.hasCollapsed()).count();
            fronts.forEach(FrontServer::close);
            fronts.clear();
            CallGenerator.Totals totals = around.callers().totals();
            around.close();
            return new Result(totals, AuditFolder.audit(out), pause, fallen);
        } finally {
            fronts.forEach(FrontServer::close);
        }
    }

    private static FrontServer start(FrontSettings settings, Decider decider, boolean logCalls)
            throws IOException, InterruptedException {
        if (decider == Decider.MODULE) {
            return FrontServer.start(settings, logCalls);
        }
        BiFunction<RoutingPolicy.PolicySettings, RoutingPolicy.PolicyActions, RoutingPolicy> random =
                RandomRoutingPolicy::new;
        AdmissionController open = (now, rank, sender, load) -> AdmissionController.ADMIT;
        return FrontServer.start(
                settings,
                new FrontServer.Components(
                        a -> random.apply(
                                settings.moduleSettings(settings.front().seed()), a),
                        () -> open),
                logCalls);
    }
}
