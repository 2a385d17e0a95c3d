package damsonseam.bench;

import com.fasterxml.jackson.databind.JsonNode;
import damsonseam.config.Endpoint;
import damsonseam.config.FrontSettings;
import damsonseam.config.TimeSpan;
import damsonseam.load.LoadPlan;
import damsonseam.load.LoadPlot;
import damsonseam.load.LoadResult;
import damsonseam.load.LoadRunner;
import damsonseam.load.RateProfile;
import damsonseam.standin.CalculatorSettings;
import damsonseam.standin.Scenario;
import damsonseam.standin.SimulatedPeers;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Overloads one front: at 1, 1.5, 3 and 10 times its saturation rate and with a tenfold burst of ten seconds, with the
 * front's own admission control, without any, with a plain queue limit, and with random shedding. The front is a
 * process of its own. The calculators are so large that the front is the bottleneck, and so many that a call costs the
 * front enough for the load on the same machine to reach ten times its saturation rate.
 */
public final class OverloadBench {
    private static final double START_RATE_PER_S = 2_000;
    private static final double[] RATE_FACTORS = {1, 1.5, 3, 10};
    private static final double BEFORE_S = 5;
    private static final double BURST_S = 10;
    private static final double AFTER_S = 6;
    private static final double BASE_LOAD = 0.8;
    private static final double RECOVERED_SHARE = 0.97;
    private static final double INVERSION_MARGIN = 0.05;
    /** So many that the load's threads on the same machine can offer ten times what one event loop can handle. */
    private static final int CALCULATORS = 32;

    private OverloadBench() {}

    /**
     * Runs the benchmark with each admission variant and returns the report.
     *
     * @param durationS duration of each rate, in seconds
     * @param maxFactor maximum rate that is tried, as a multiple of the saturation rate
     * @param variants admission variants, run one after another
     * @param jvmOptions JVM options of the front's process
     * @param plotFolder folder for the plots of the bursts, or null for no plots
     */
    public static Map<String, Object> run(
            double durationS,
            double maxFactor,
            List<AdmissionVariant> variants,
            List<String> jvmOptions,
            Path plotFolder)
            throws Exception {
        Map<String, Object> report = new LinkedHashMap<>();
        double saturationPerS = 0;
        for (AdmissionVariant variant : variants) {
            try (SimulatedPeers peers = startPeers();
                    FrontProcess front = new FrontProcess(frontSettings(peers), variant, jvmOptions)) {
                LoadPlan plan = loadPlan(peers, front);
                warmUp(plan, durationS);
                if (saturationPerS == 0) {
                    saturationPerS = LoadRunner.findSaturationRate(plan, START_RATE_PER_S, Math.min(3, durationS));
                    report.put("saturationPerS", Math.round(saturationPerS));
                }
                Map<String, Object> results = new LinkedHashMap<>();
                for (double factor : RATE_FACTORS) {
                    if (factor <= maxFactor) {
                        results.put(factor + " times", measureRate(front, plan, factor * saturationPerS, durationS));
                    }
                }
                results.put(
                        "burst",
                        measureBurst(
                                front,
                                plan,
                                saturationPerS,
                                maxFactor,
                                plotFolder == null
                                        ? null
                                        : plotFolder.resolve("burst-"
                                                + variant.name().toLowerCase(java.util.Locale.ROOT) + ".png")));
                report.put(variant.name().toLowerCase(java.util.Locale.ROOT), results);
            }
        }
        return report;
    }

    /** Runs until the front's code is compiled, at rising rates that the code compiled so far can handle. */
    private static void warmUp(LoadPlan plan, double durationS) throws Exception {
        for (double callsPerS = START_RATE_PER_S; callsPerS <= 4 * START_RATE_PER_S; callsPerS *= 2) {
            LoadRunner.run(plan.withRateProfile(RateProfile.steady(callsPerS), durationS));
        }
    }

    private static Map<String, Object> measureRate(
            FrontProcess front, LoadPlan plan, double callsPerS, double durationS) throws Exception {
        front.reset();
        JsonNode before = front.report();
        LoadResult result = LoadRunner.run(plan.withRateProfile(RateProfile.steady(callsPerS), durationS));
        Map<String, Object> report = result.report(1, durationS);
        addDelays(report, result, front.report(), before);
        report.put("invertedSeconds", result.secondsWithPriorityInversion(INVERSION_MARGIN));
        Thread.sleep(1_000);
        return report;
    }

    private static Map<String, Object> measureBurst(
            FrontProcess front, LoadPlan plan, double saturationPerS, double maxFactor, Path plotFile)
            throws Exception {
        double burstEndS = BEFORE_S + BURST_S;
        front.reset();
        JsonNode before = front.report();
        LoadResult result = LoadRunner.run(plan.withRateProfile(
                RateProfile.burst(BASE_LOAD * saturationPerS, Math.min(10, maxFactor) / BASE_LOAD, BEFORE_S, burstEndS),
                burstEndS + AFTER_S));
        Map<String, Object> report = result.report(BEFORE_S, burstEndS);
        addDelays(report, result, front.report(), before);
        report.put("invertedSeconds", result.secondsWithPriorityInversion(INVERSION_MARGIN));
        report.put("backAfterS", result.recoveryTimeS(burstEndS, RECOVERED_SHARE));
        report.put("worthShareAfter", result.worthShare(burstEndS + 1, burstEndS + AFTER_S));
        if (plotFile != null) {
            LoadPlot.write(result, plotFile.getFileName().toString().replace(".png", ""), plotFile);
        }
        Thread.sleep(1_000);
        return report;
    }

    private static void addDelays(Map<String, Object> report, LoadResult result, JsonNode after, JsonNode before) {
        report.put("answerP99Ms", result.answerDelaysUs().getValueAtPercentile(99) / 1_000.0);
        report.put("loopP50Ms", after.get("loopP50Ms").asDouble());
        report.put("loopP99Ms", after.get("loopP99Ms").asDouble());
        report.put("loopMaxMs", after.get("loopMaxMs").asDouble());
        report.put("moduleLongestMomentMs", after.get("longestMomentMs").asDouble());
        report.put("heldRoom", Math.round(after.get("heldRoom").asDouble()));
        report.put(
                "refusedByModule",
                after.get("refused").asLong() - before.get("refused").asLong());
        report.put("sentLate", result.lateSendCount());
    }

    static SimulatedPeers startPeers() throws Exception {
        CalculatorSettings fast =
                new CalculatorSettings(200_000.0, null, null, null, null, 60_000, null, null, null, null, null);
        Scenario.CallerClass lowWorth = new Scenario.CallerClass(
                "simulacion",
                "59821",
                0.94,
                TimeSpan.parse("1.5 s"),
                TimeSpan.parse("9 s"),
                TimeSpan.parse("3 s"),
                1.0,
                0.25,
                TimeSpan.parse("20 ms"),
                0);
        Scenario.CallerClass highWorth = new Scenario.CallerClass(
                "tasacion-firma",
                "59828",
                0.06,
                TimeSpan.parse("1.2 s"),
                TimeSpan.parse("6 s"),
                TimeSpan.parse("2.2 s"),
                8.0,
                0.25,
                TimeSpan.parse("20 ms"),
                0);
        return new SimulatedPeers(
                new Scenario(
                        "overload",
                        null,
                        1L,
                        1,
                        new Scenario.Calculators(CALCULATORS, fast),
                        new Scenario.Load(1.0, List.of(lowWorth, highWorth)),
                        null,
                        null,
                        null),
                null);
    }

    static FrontSettings frontSettings(SimulatedPeers peers) {
        return peers.frontSettings(0, new Endpoint("127.0.0.1", 0));
    }

    private static LoadPlan loadPlan(SimulatedPeers peers, FrontProcess front) {
        List<LoadPlan.CallerClass> callerClasses = List.of(
                new LoadPlan.CallerClass("simulacion", "59821", 0.94, 1_500, 3_000, 1, 0.25),
                new LoadPlan.CallerClass("tasacion-firma", "59828", 0.06, 1_200, 2_200, 8, 0.25));
        return new LoadPlan(
                List.of(front.address()),
                SimulatedPeers.SUFFIX,
                callerClasses,
                RateProfile.steady(1),
                1,
                1,
                3,
                48,
                5_000,
                peers.calculators().size());
    }
}
