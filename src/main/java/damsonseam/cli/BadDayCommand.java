package damsonseam.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import damsonseam.audit.CallTrace;
import damsonseam.config.TimeSpan;
import damsonseam.config.Yaml;
import damsonseam.day.ScenarioRun;
import damsonseam.day.ScenarioSearch;
import damsonseam.standin.Scenario;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Plays a scripted bad day through real fronts and audits the wire. */
@Command(
        name = "bad-day",
        mixinStandardHelpOptions = true,
        description = {
            "Plays a scripted day through real fronts on loopback, with troubles, and checks the five rules from what",
            "passed the sockets. Leaves report.json, world.json and wire/*.jsonl. Exit 1 where a rule was broken."
        })
final class BadDayCommand implements Callable<Integer> {
    @Option(
            names = "--scenario",
            paramLabel = "FILE",
            description = "The day; by default the one that comes " + "with the program.")
    private Path file;

    @Option(names = "--fronts", paramLabel = "N", description = "Fronts, in place of the scenario's.")
    private Integer fronts;

    @Option(names = "--seconds", paramLabel = "N", description = "Length, in place of the scenario's.")
    private Double seconds;

    @Option(names = "--seed", paramLabel = "N", description = "Seed, in place of the scenario's.")
    private Long seed;

    @Option(
            names = "--decider",
            defaultValue = "MODULE",
            description = "MODULE, or RANDOM as a baseline " + "(default: ${DEFAULT-VALUE}).")
    private ScenarioRun.Decider decider;

    @Option(
            names = "--runs",
            defaultValue = "1",
            paramLabel = "N",
            description = "Days to play: the first as given, "
                    + "the others with other seeds, sizes and troubles, drawn from the hardest so far. "
                    + "Stops at the first broken rule and tells its call's story (default: ${DEFAULT-VALUE}).")
    private int runs;

    @Option(names = "--out", required = true, paramLabel = "DIR", description = "Where the run is left.")
    private Path out;

    @Override
    public Integer call() throws Exception {
        OptionChecks.checkRange("--fronts", fronts, 1, 500);
        OptionChecks.checkRange("--seconds", seconds, 1, 86_400);
        OptionChecks.checkRange("--runs", runs, 1, 100_000);
        Scenario given = file == null ? standard() : Yaml.read(file, Scenario.class);
        Scenario scenario = new Scenario(
                given.name(),
                seconds == null ? given.length() : TimeSpan.ms(seconds * 1_000),
                seed == null ? given.seed() : seed,
                fronts == null ? given.fronts() : fronts,
                given.calculators(),
                given.load(),
                given.directory(),
                given.cycle(),
                given.troubles());
        if (runs == 1) {
            return play(scenario, out).audit().violations() == 0 ? RootCommand.EXIT_OK : RootCommand.EXIT_FAILED;
        }
        ScenarioSearch search = new ScenarioSearch(scenario);
        for (int i = 0; i < runs; i++) {
            Scenario day = search.next();
            Path folder = out.resolve("day-" + i);
            ScenarioRun.Result result = play(day, folder);
            search.recordResult(day, result.audit());
            if (result.audit().violations() > 0) {
                Map<String, Object> found = new LinkedHashMap<>();
                found.put("broken", result.audit().findings().get(0));
                found.put("day", day);
                found.put(
                        "story",
                        CallTrace.forFinding(folder, result.audit().findings().get(0)));
                System.out.println(new ObjectMapper()
                        .enable(SerializationFeature.INDENT_OUTPUT)
                        .writeValueAsString(found));
                return RootCommand.EXIT_FAILED;
            }
            // A day that broke nothing is told by its report; its wire is some hundred megabytes.
            deleteWire(folder);
        }
        System.out.println("{\"days\":" + runs + ",\"violations\":0,\"leastLeftMs\":" + search.minTimeLeftMs() + "}");
        return RootCommand.EXIT_OK;
    }

    private static void deleteWire(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder.resolve("wire"))) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
    }

    private ScenarioRun.Result play(Scenario scenario, Path folder) throws Exception {
        Files.createDirectories(folder);
        ScenarioRun.Result result = ScenarioRun.run(scenario, decider, folder, true);
        Map<String, Object> report = report(scenario, result);
        ObjectMapper json = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
        json.writeValue(folder.resolve("report.json").toFile(), report);
        report.remove("findings");
        System.out.println(new ObjectMapper().writeValueAsString(report));
        return result;
    }

    private Map<String, Object> report(Scenario scenario, ScenarioRun.Result result) {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("scenario", scenario.name());
        report.put("decider", decider.toString().toLowerCase(java.util.Locale.ROOT));
        report.put("seed", scenario.seed());
        report.put("fronts", scenario.fronts());
        report.put("seconds", scenario.length().ms() / 1_000);
        report.put("calls", result.audit().calls());
        report.put("resolved", result.audit().resolved());
        report.put("stood", result.audit().stood());
        report.put("refused", result.audit().refused());
        report.put("failed", result.audit().failed());
        report.put("notTaken", result.audit().notTaken());
        report.put("overtaken", result.audit().overtaken());
        report.put("firstTries", result.totals().calls);
        report.put("cut", result.totals().dropped);
        report.put("setUps", result.audit().setUps());
        report.put("service", Math.round(result.totals().earnedShare() * 10_000) / 10_000.0);
        report.put("fallen", result.collapsedCalculators());
        report.put("longestPauseMs", Math.round(result.longestPauseMs()));
        report.put("violations", result.audit().violations());
        report.put("perRule", result.audit().perRule());
        report.put("leastAnswerLeftMs", result.audit().leastAnswerLeftMs());
        report.put("leastGuardLeftMs", result.audit().leastGuardLeftMs());
        report.put("findings", result.audit().findings());
        return report;
    }

    private static Scenario standard() throws Exception {
        try (InputStream in = BadDayCommand.class.getResourceAsStream("/bad-day.yaml")) {
            if (in == null) {
                throw new IOException("the standard day is not in the program");
            }
            return Yaml.parse("bad-day.yaml", new String(in.readAllBytes(), StandardCharsets.UTF_8), Scenario.class);
        }
    }
}
