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

/** Runs a fault scenario against real fronts and audits their traffic. */
@Command(
        name = "bad-day",
        mixinStandardHelpOptions = true,
        description = {
            "Runs real fronts on loopback through a scenario with scripted faults.",
            "Checks the five rules against the recorded traffic. Writes report.json, world.json and wire/*.jsonl. "
                    + "Exits with 1 if a rule was broken."
        })
final class BadDayCommand implements Callable<Integer> {
    @Option(names = "--scenario", paramLabel = "FILE", description = "Scenario; by default the built-in one.")
    private Path scenarioFile;

    @Option(names = "--fronts", paramLabel = "N", description = "Number of fronts, overrides the scenario.")
    private Integer fronts;

    @Option(names = "--seconds", paramLabel = "N", description = "Length, overrides the scenario.")
    private Double seconds;

    @Option(names = "--seed", paramLabel = "N", description = "Seed, overrides the scenario.")
    private Long seed;

    @Option(
            names = "--decider",
            defaultValue = "MODULE",
            description = "MODULE, or RANDOM as a baseline (default: ${DEFAULT-VALUE}).")
    private ScenarioRun.Decider decider;

    @Option(
            names = "--runs",
            defaultValue = "1",
            paramLabel = "N",
            description = "Number of runs: the first as given, the others with seeds, sizes and faults derived from "
                    + "the hardest runs so far. Stops at the first broken rule and prints the trace of its call "
                    + "(default: ${DEFAULT-VALUE}).")
    private int runs;

    @Option(names = "--out", required = true, paramLabel = "DIR", description = "Folder for the results.")
    private Path out;

    @Override
    public Integer call() throws Exception {
        OptionChecks.checkRange("--fronts", fronts, 1, 500);
        OptionChecks.checkRange("--seconds", seconds, 1, 86_400);
        OptionChecks.checkRange("--runs", runs, 1, 100_000);
        Scenario baseScenario = scenarioFile == null ? loadStandardScenario() : Yaml.read(scenarioFile, Scenario.class);
        Scenario scenario = new Scenario(
                baseScenario.name(),
                seconds == null ? baseScenario.length() : TimeSpan.ms(seconds * 1_000),
                seed == null ? baseScenario.seed() : seed,
                fronts == null ? baseScenario.fronts() : fronts,
                baseScenario.calculators(),
                baseScenario.load(),
                baseScenario.directory(),
                baseScenario.cycle(),
                baseScenario.troubles());
        if (runs == 1) {
            return play(scenario, out).audit().violations() == 0 ? RootCommand.EXIT_OK : RootCommand.EXIT_FAILED;
        }
        ScenarioSearch search = new ScenarioSearch(scenario);
        for (int i = 0; i < runs; i++) {
            Scenario nextScenario = search.next();
            Path runFolder = out.resolve("day-" + i);
            ScenarioRun.Result result = play(nextScenario, runFolder);
            search.recordResult(nextScenario, result.audit());
            if (result.audit().violations() > 0) {
                Map<String, Object> finding = new LinkedHashMap<>();
                finding.put("broken", result.audit().findings().get(0));
                finding.put("day", nextScenario);
                finding.put(
                        "story",
                        CallTrace.forFinding(
                                runFolder, result.audit().findings().get(0)));
                System.out.println(new ObjectMapper()
                        .enable(SerializationFeature.INDENT_OUTPUT)
                        .writeValueAsString(finding));
                return RootCommand.EXIT_FAILED;
            }
            // A run that broke no rule is covered by its report; its wire logs are some hundred megabytes.
            deleteWire(runFolder);
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

    private static Scenario loadStandardScenario() throws Exception {
        try (InputStream in = BadDayCommand.class.getResourceAsStream("/bad-day.yaml")) {
            if (in == null) {
                throw new IOException("the built-in scenario is missing from the program");
            }
            return Yaml.parse("bad-day.yaml", new String(in.readAllBytes(), StandardCharsets.UTF_8), Scenario.class);
        }
    }
}
