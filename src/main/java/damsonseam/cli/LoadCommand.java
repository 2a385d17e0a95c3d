package damsonseam.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import damsonseam.config.FrontSettings;
import damsonseam.config.Yaml;
import damsonseam.load.LoadPlan;
import damsonseam.load.LoadPlot;
import damsonseam.load.LoadResult;
import damsonseam.load.LoadRunner;
import damsonseam.load.RateProfile;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Generates load on running fronts and reports the results. */
@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description = {
            "Generates load on running fronts.",
            "Arrivals are open-loop, each query is sent once. Delays are measured from the time at which a query was "
                    + "due. Prints one JSON line; with --out also writes histograms and a plot.",
            "Fronts on this machine only: HOST must be a loopback address."
        })
final class LoadCommand implements Callable<Integer> {
    /** Shape of the arrival rate over time. */
    enum Shape {
        STEADY,
        BURST,
        PUBLICATION
    }

    @Option(
            names = "--to",
            required = true,
            split = ",",
            paramLabel = "HOST:PORT",
            description = "Fronts, queried round-robin.")
    private List<String> frontAddresses;

    @Option(
            names = "--config",
            paramLabel = "FILE",
            description = "A front's settings file for classes, numbers and suffix; by default those of demo.")
    private Path config;

    @Option(
            names = "--shares",
            split = ",",
            paramLabel = "N",
            description = "Share of each prefix of the settings, in their order; by default equal, for demo 94,6.")
    private List<Double> shares;

    @Option(
            names = "--rate",
            defaultValue = "100",
            paramLabel = "N",
            description = "Calls per second (default: ${DEFAULT-VALUE}).")
    private double rate;

    @Option(
            names = "--shape",
            defaultValue = "STEADY",
            description = "STEADY; BURST: --factor times the rate in the "
                    + "middle third; PUBLICATION: a publication day with that peak (default: ${DEFAULT-VALUE}).")
    private Shape shape;

    @Option(
            names = "--factor",
            defaultValue = "10",
            paramLabel = "N",
            description = "Height of the burst or peak (default: ${DEFAULT-VALUE}).")
    private double factor;

    @Option(
            names = "--seconds",
            defaultValue = "10",
            paramLabel = "N",
            description = "Length (default: ${DEFAULT-VALUE}).")
    private double seconds;

    @Option(names = "--seed", defaultValue = "1", paramLabel = "N")
    private long seed;

    @Option(
            names = "--threads",
            defaultValue = "2",
            paramLabel = "N",
            description = "Sending threads (default: ${DEFAULT-VALUE}).")
    private int threads;

    @Option(
            names = "--senders",
            defaultValue = "1",
            paramLabel = "N",
            description = "Number of source addresses from 127.0.0.0/8 (default: ${DEFAULT-VALUE}).")
    private int senders;

    @Option(
            names = "--known",
            defaultValue = "5000",
            paramLabel = "N",
            description = "Numbers of each class that are called repeatedly (default: ${DEFAULT-VALUE}).")
    private int knownNumbers;

    @Option(
            names = "--first",
            defaultValue = "1",
            paramLabel = "N",
            description = "Number of first-choice calculators among the numbers (default: ${DEFAULT-VALUE}).")
    private int firstChoices;

    @Option(
            names = "--find",
            description = "Find the saturation rate of the fronts, starting at --rate; "
                    + "--seconds is the length of each try.")
    private boolean findSaturation;

    @Option(names = "--out", paramLabel = "DIR", description = "Folder for histograms (*.hgrm) and load.png.")
    private Path out;

    @Override
    public Integer call() throws Exception {
        OptionChecks.checkRange("--rate", rate, 0.01, 1e6);
        OptionChecks.checkRange("--factor", factor, 0, 1_000);
        OptionChecks.checkRange("--seconds", seconds, 0.1, 86_400);
        OptionChecks.checkRange("--threads", threads, 1, 16);
        OptionChecks.checkRange("--senders", senders, 1, 200);
        OptionChecks.checkRange("--known", knownNumbers, 1, 10_000_000);
        OptionChecks.checkRange("--first", firstChoices, 1, 100);
        LoadPlan plan = plan();
        Map<String, Object> report = new LinkedHashMap<>();
        if (findSaturation) {
            report.put("saturationPerS", Math.round(LoadRunner.findSaturationRate(plan, rate, seconds)));
        } else {
            LoadResult result = LoadRunner.run(plan);
            report.putAll(result.report(0, seconds));
            for (double p : new double[] {50, 99, 99.9}) {
                report.put("answerP" + p + "Ms", result.answerDelaysUs().getValueAtPercentile(p) / 1_000.0);
            }
            report.put("sentLate", result.lateSendCount());
            if (out != null) {
                writeResults(result);
            }
        }
        System.out.println(new ObjectMapper().writeValueAsString(report));
        return RootCommand.EXIT_OK;
    }

    private LoadPlan plan() throws Exception {
        List<InetSocketAddress> fronts = new ArrayList<>();
        for (String text : frontAddresses) {
            InetSocketAddress address = OptionChecks.parseEndpoint("--to", text).toSocketAddress();
            if (address.isUnresolved() || !address.getAddress().isLoopbackAddress()) {
                throw new damsonseam.config.SettingsException("--to: expected a loopback address, found " + text);
            }
            fronts.add(address);
        }
        RateProfile profile =
                switch (shape) {
                    case STEADY -> RateProfile.steady(rate);
                    case BURST -> RateProfile.burst(rate, factor, seconds / 3, 2 * seconds / 3);
                    case PUBLICATION -> RateProfile.publication(rate, factor, seconds);
                };
        String suffix = "e164.example.org";
        List<LoadPlan.CallerClass> kinds = List.of(
                new LoadPlan.CallerClass("simulacion", "59821", 94, 1_500, 3_000, 1, 0.25),
                new LoadPlan.CallerClass("tasacion-firma", "59828", 6, 1_200, 2_200, 8, 0.25));
        if (config != null) {
            FrontSettings settings = Yaml.read(config, FrontSettings.class);
            suffix = settings.enumSettings().suffix();
            kinds = kinds(settings);
        } else if (shares != null) {
            throw new damsonseam.config.SettingsException("--shares: only allowed with --config");
        }
        return new LoadPlan(
                fronts, suffix, kinds, profile, seconds, seed, threads, senders, knownNumbers, firstChoices);
    }

    private List<LoadPlan.CallerClass> kinds(FrontSettings settings) throws Exception {
        if (shares != null && shares.size() != settings.numbers().size()) {
            throw new damsonseam.config.SettingsException(
                    "--shares: expected " + settings.numbers().size() + " values, one per prefix of the settings");
        }
        List<LoadPlan.CallerClass> kinds = new ArrayList<>();
        for (FrontSettings.NumberRange range : settings.numbers()) {
            FrontSettings.CallClassSettings callClass = settings.classes().stream()
                    .filter(c -> c.name().equals(range.callClass()))
                    .findFirst()
                    .orElseThrow();
            kinds.add(new LoadPlan.CallerClass(
                    callClass.name(),
                    range.prefix(),
                    shares == null ? 1 : shares.get(kinds.size()),
                    callClass.aim().ms(),
                    range.patience().ms(),
                    callClass.worth(),
                    callClass.lateShare()));
        }
        return kinds;
    }

    private void writeResults(LoadResult result) throws IOException {
        Files.createDirectories(out);
        for (int k = 0; k < result.callerClasses().size(); k++) {
            Path file = out.resolve("stood-" + result.callerClasses().get(k).name() + ".hgrm");
            try (PrintStream stream = new PrintStream(Files.newOutputStream(file), false, StandardCharsets.US_ASCII)) {
                result.establishedDelaysUs(k).outputPercentileDistribution(stream, 1_000.0);
            }
        }
        LoadPlot.write(result, "load", out.resolve("load.png"));
    }
}
