package damsonseam.bench;

import damsonseam.config.Endpoint;
import damsonseam.config.TimeSpan;
import damsonseam.front.FrontServer;
import damsonseam.standin.CalculatorSettings;
import damsonseam.standin.Scenario;
import damsonseam.standin.SimulatedPeers;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;

/**
 * Compares the whole path through one front, from the query over the set-up to the answer, with a bare responder to the
 * same queries in the same run: calls per second with a full window, and delays at half the front's rate. Both are
 * warmed up first; rounds alternate, and the report gives medians.
 */
public final class PathBench {
    private static final int WINDOW = 256;
    private static final int ROUNDS = 3;
    private static final int NUMBERS = 5_000;

    private PathBench() {}

    /** Runs the benchmark and returns the report; each round of each side takes {@code roundS} seconds. */
    public static Map<String, Object> run(double roundS) throws Exception {
        CalculatorSettings fast =
                new CalculatorSettings(200_000.0, null, null, null, null, 60_000, null, null, null, null, null);
        Scenario.CallerClass callerClass = new Scenario.CallerClass(
                "simulacion",
                "59821",
                1.0,
                TimeSpan.parse("1.5 s"),
                TimeSpan.parse("9 s"),
                TimeSpan.parse("3 s"),
                1.0,
                0.25,
                TimeSpan.parse("20 ms"),
                0);
        Scenario scenario = new Scenario(
                "path",
                null,
                1L,
                1,
                new Scenario.Calculators(8, fast),
                new Scenario.Load(1.0, List.of(callerClass)),
                null,
                null,
                null);
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        LongFunction<String> numberAt = index -> String.format("59821%02d%07d", index % 8, index % NUMBERS);
        try (SimulatedPeers peers = new SimulatedPeers(scenario, null);
                FrontServer front = FrontServer.start(peers.frontSettings(0, new Endpoint("127.0.0.1", 0)), false);
                BareResponder bare = new BareResponder((EventLoop) group.next())) {
            if (!front.awaitReady(10_000)) {
                throw new IllegalStateException("front did not become ready within 10 s");
            }
            EventLoop loop = (EventLoop) group.next();
            QueryClient frontClient = new QueryClient(loop, SimulatedPeers.SUFFIX, numberAt, front.enumAddress());
            QueryClient bareClient = new QueryClient(loop, SimulatedPeers.SUFFIX, numberAt, bare.address());
            frontClient.runWithWindow(WINDOW, roundS);
            bareClient.runWithWindow(WINDOW, roundS);
            double[] frontRates = new double[ROUNDS];
            double[] bareRates = new double[ROUNDS];
            double minEstablishedShare = 1;
            long lost = 0;
            for (int i = 0; i < ROUNDS; i++) {
                QueryClient.Result frontResult = frontClient.runWithWindow(WINDOW, roundS);
                frontRates[i] = frontResult.answersPerS();
                minEstablishedShare = Math.min(minEstablishedShare, frontResult.establishedShare());
                lost += frontResult.lost();
                bareRates[i] = bareClient.runWithWindow(WINDOW, roundS).answersPerS();
            }
            double frontRate = median(frontRates);
            double halfRate = frontRate / 2;
            QueryClient.Result frontHalf = frontClient.runAtRate(halfRate, roundS);
            QueryClient.Result bareHalf = bareClient.runAtRate(halfRate, roundS);
            Map<String, Object> report = new LinkedHashMap<>();
            report.put("frontCallsPerS", Math.round(frontRate));
            report.put("bareAnswersPerS", Math.round(median(bareRates)));
            report.put("ratio", round(frontRate / median(bareRates)));
            report.put("stoodShare", round(minEstablishedShare));
            report.put("lost", lost);
            report.put("halfRatePerS", Math.round(halfRate));
            for (double percentile : new double[] {50, 99}) {
                long frontUs = frontHalf.delaysUs().getValueAtPercentile(percentile);
                long bareUs = bareHalf.delaysUs().getValueAtPercentile(percentile);
                report.put("frontP" + (int) percentile + "Us", frontUs);
                report.put("bareP" + (int) percentile + "Us", bareUs);
                report.put("addedP" + (int) percentile + "Us", frontUs - bareUs);
            }
            report.put("halfStoodShare", round(frontHalf.establishedShare()));
            report.put("front", front.report());
            return report;
        } finally {
            group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private static double median(double[] values) {
        double[] sorted = values.clone();
        java.util.Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }

    private static double round(double value) {
        return Math.round(value * 1_000) / 1_000.0;
    }
}
