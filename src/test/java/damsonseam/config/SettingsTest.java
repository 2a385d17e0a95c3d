package damsonseam.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.standin.Scenario;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Guards the defaults of settings files and the one-line errors for invalid ones. */
class SettingsTest {
    private static final String VALID =
            """
            front: {name: f, pointCode: 7}
            enum: {listen: "127.0.0.1:0", suffix: e164.example.org}
            classes:
              - {name: simulacion, aim: 1.5 s, deadline: 9 s}
            numbers:
              - {prefix: "598", class: simulacion, patience: 3 s}
            upstream: {authorities: ["127.0.0.1:5301"]}
            directory: {address: "127.0.0.1:7000"}
            """;

    private static String errorOf(String text) {
        return assertThrows(SettingsException.class, () -> Yaml.parse("f.yaml", text, FrontSettings.class))
                .getMessage();
    }

    @Test
    void validSettingsAreRead() throws SettingsException {
        FrontSettings settings = Yaml.parse("f.yaml", VALID, FrontSettings.class);
        assertEquals(1_500, settings.classes().get(0).aim().ms());
        assertEquals(512, settings.trunks().circuits());
        assertEquals(0, settings.numberPlan().find("5981").callClass());
        assertEquals(300, settings.policySettings(1).releaseGuard().getAsDouble());
    }

    @Test
    void annotatedExampleIsValid() throws SettingsException {
        FrontSettings settings = Yaml.read(Path.of("config/front.example.yaml"), FrontSettings.class);
        assertEquals(2, settings.classes().size());
    }

    @Test
    void errorsNameFileLineKeyAndExpectedValue() {
        assertEquals(
                "f.yaml:4: classes[0].aim: expected a time with its unit, such as 250 ms or 1.5 s, found 1500",
                errorOf(VALID.replace("aim: 1.5 s", "aim: \"1500\"")));
        String message = errorOf(VALID.replace("pointCode", "pointcode"));
        assertTrue(message.startsWith("f.yaml:1: front.pointcode: unknown key, the nearest is pointCode"), message);
        assertTrue(errorOf(VALID.replace("class: simulacion", "class: other")).contains("no class is named other"));
        assertTrue(errorOf(VALID.replace("pointCode: 7", "pointCode: 70000")).contains("expected 1 to 16383"));
        assertTrue(errorOf(VALID.replace("127.0.0.1:7000", "nowhere")).contains("expected HOST:PORT"));
        assertTrue(errorOf(VALID + "front: {}\n").contains("uplicate"));
        assertTrue(errorOf("").startsWith("f.yaml:1: "));
        assertTrue(errorOf("front: [").startsWith("f.yaml:"));
        assertTrue(errorOf(VALID.replace("e164.example.org", "a..b")).contains("expected a domain name"));
    }

    @Test
    void missingFileIsReportedInOneLine() {
        String message = assertThrows(
                        SettingsException.class, () -> Yaml.read(Path.of("no/such.yaml"), FrontSettings.class))
                .getMessage();
        assertTrue(message.startsWith("no/such.yaml: cannot be read"), message);
        assertEquals(1, message.lines().count());
    }

    @Test
    void scenarioFilesAreCheckedToo() throws Exception {
        try (InputStream in = getClass().getResourceAsStream("/bad-day.yaml")) {
            Scenario scenario = Yaml.parse("d", new String(in.readAllBytes(), StandardCharsets.UTF_8), Scenario.class);
            assertTrue(scenario.troubles().size() >= 11);
        }
        String message = assertThrows(
                        SettingsException.class,
                        () -> Yaml.parse("d.yaml", "troubles:\n  - {kind: crsh, at: 1 s}\n", Scenario.class))
                .getMessage();
        assertTrue(message.startsWith("d.yaml:2: troubles[0].kind"), message);
    }
}
