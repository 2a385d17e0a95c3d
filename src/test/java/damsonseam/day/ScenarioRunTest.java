package damsonseam.day;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.config.Yaml;
import damsonseam.standin.Scenario;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs a scenario of some seconds with faults of all kinds of peers and audits the wire logs. Guards against broken
 * rules, calls without an answer and calculators that are overloaded while cold.
 */
class ScenarioRunTest {
    private static final String SHORT_SCENARIO =
            """
            name: short
            length: 9 s
            seed: 5
            fronts: 3
            calculators: {count: 4, each: {callsPerS: 40}}
            load: {callsPerS: 90}
            directory: {notice: 300 ms}
            troubles:
              - {kind: crash, at: 1 s, for: 2 s, part: 0.25}
              - {kind: dns-silent, at: 1 s, for: 3 s, part: 0.5}
              - {kind: slow, at: 2 s, for: 3 s, part: 0.25, size: 3}
              - {kind: front-stall, at: 3 s, for: 3 s, part: 0.4, size: 1000}
              - {kind: answer-lost, at: 4 s, for: 2 s, part: 0.25, size: 0.3}
              - {kind: deploy, at: 4 s, for: 5 s, part: 0.25}
              - {kind: burst, at: 6 s, for: 2 s, size: 2}
            """;

    @Test
    void shortScenarioWithFaultsBreaksNoRule(@TempDir Path outFolder) throws Exception {
        Scenario scenario = Yaml.parse("short", SHORT_SCENARIO, Scenario.class);
        ScenarioRun.Result result = ScenarioRun.run(scenario, ScenarioRun.Decider.MODULE, outFolder, false);
        assertEquals(0, result.audit().violations(), result.audit().findings().toString());
        assertTrue(result.audit().calls() > 500, "calls " + result.audit().calls());
        assertEquals(result.audit().calls(), result.audit().resolved());
        assertTrue(
                result.audit().stood() > result.audit().calls() / 3,
                "established " + result.audit().stood());
        assertTrue(result.audit().setUps() >= result.audit().stood());
        assertEquals(0, result.collapsedCalculators());
        // One calculator of four crashes and one is replaced; calls dropped by the shutdown at the end are not counted.
        assertTrue(result.totals().dropped < result.totals().calls * 2 / 3, "dropped " + result.totals().dropped);
    }
}
