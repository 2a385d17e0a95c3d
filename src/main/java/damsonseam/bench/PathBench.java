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
 * The whole path, question to set-up to answer, through one front, against a bare responder to the same
 * questions in the same run: calls a second with a full window, and delays at half the front's rate. Both are
 * warmed first; rounds alternate, and medians are given.
 */
public final class PathBench {
    private static final int WINDOW = 256;
    private static final int ROUNDS = 3;
    private static final int KNOWN_NUMBERS = 5_000;

    private PathBench() {}

    /** Runs it; each round of each side takes {@code seconds}. */
    public static Map<String, Object> run(double seconds) throws Exception {
        CalculatorSettings fast =
                new CalculatorSettings(200_000.0, null, null, null, null, 60_000, null, null, null, null, null);
        Scenario.CallerClass kind = new Scenario.CallerClass(
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
                new Scenario.Load(1.0, List.of(kind)),
                null,
                null,
                null);
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        LongFunction<String> numbers = n -> String.format("59821%02d%07d", n % 8, n % KNOWN_NUMBERS);
        try (SimulatedPeers around = new SimulatedPeers(scenario, null);
                FrontServer front = FrontServer.start(around.frontSettings(0, new Endpoint("127.0.0.1", 0)), false);
                BareResponder bare = new BareResponder((EventLoop) group.next())) {
            if (!front.awaitReady(10_000)) {
                throw new IllegalStateException("the front was not ready");
            }
            EventLoop loop = (EventLoop) group.next();
            Asker toFront = new Asker(loop, SimulatedPeers.SUFFIX, numbers, front.enumAddress());
            Asker toBare = new Asker(loop, SimulatedPeers.SUFFIX, numbers, bare.address());
            toFront.full(WINDOW, seconds);
            toBare.full(WINDOW, seconds);
            double[] frontRates = new double[ROUNDS];
            double[] bareRates = new double[ROUNDS];
            double stood = 1;
            long lost = 0;
            for (int i = 0; i < ROUNDS; i++) {
                Asker.Result f = toFront.full(WINDOW, seconds);
                frontRates[i] = f.perS();
                stood = Math.min(stood, f.stoodShare());
                lost += f.lost();
                bareRates[i] = toBare.full(WINDOW, seconds).perS();
            }
            double frontRate = median(frontRates);
            double half = frontRate / 2;
            Asker.Result frontHalf = toFront.steady(half, seconds);
            Asker.Result bareHalf = toBare.steady(half, seconds);
            Map<String, Object> report = new LinkedHashMap<>();
            report.put("frontCallsPerS", Math.round(frontRate));
            report.put("bareAnswersPerS", Math.round(median(bareRates)));
            report.put("ratio", round(frontRate / median(bareRates)));
            report.put("stoodShare", round(stood));
            report.put("lost", lost);
            report.put("halfRatePerS", Math.round(half));
            for (double p : new double[] {50, 99}) {
                long f = frontHalf.delaysUs().getValueAtPercentile(p);
                long b = bareHalf.delaysUs().getValueAtPercentile(p);
                report.put("frontP" + (int) p + "Us", f);
                report.put("bareP" + (int) p + "Us", b);
                report.put("addedP" + (int) p + "Us", f - b);
            }
            report.put("halfStoodShare", round(frontHalf.stoodShare()));
            report.put("front", front.report());
            return report;
        } finally {
            group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private static double median(double[] of) {
        double[] sorted = of.clone();
        java.util.Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }

    private static double round(double x) {
        return Math.round(x * 1_000) / 1_000.0;
    }
}
