package damsonseam.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.standin.Scenario;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class SettingsTest {
    private static final String SOUND =
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

    private static String error(String text) {
        return assertThrows(SettingsException.class, () -> Yaml.parse("f.yaml", text, FrontSettings.class))
                .getMessage();
    }

    @Test
    void soundSettingsAreRead() throws SettingsException {
        FrontSettings s = Yaml.parse("f.yaml", SOUND, FrontSettings.class);
        assertEquals(1_500, s.classes().get(0).aim().ms());
        assertEquals(512, s.trunks().circuits());
        assertEquals(0, s.numberPlan().find("5981").callClass());
        assertEquals(300, s.moduleSettings(1).releaseGuard().getAsDouble());
    }

    @Test
    void theAnnotatedExampleIsSound() throws SettingsException {
        FrontSettings s = Yaml.read(Path.of("config/front.example.yaml"), FrontSettings.class);
        assertEquals(2, s.classes().size());
    }

    @Test
    void errorsNameFileLineKeyAndExpectation() {
        assertEquals(
                "f.yaml:4: classes[0].aim: expected a time with its unit, such as 250 ms or 1.5 s, found 1500",
                error(SOUND.replace("aim: 1.5 s", "aim: \"1500\"")));
        String unknown = error(SOUND.replace("pointCode", "pointcode"));
        assertTrue(unknown.startsWith("f.yaml:1: front.pointcode: unknown key, the nearest is pointCode"), unknown);
        assertTrue(error(SOUND.replace("class: simulacion", "class: other")).contains("no class is named other"));
        assertTrue(error(SOUND.replace("pointCode: 7", "pointCode: 70000")).contains("expected 1 to 16383"));
        assertTrue(error(SOUND.replace("127.0.0.1:7000", "nowhere")).contains("expected HOST:PORT"));
        assertTrue(error(SOUND + "front: {}\n").contains("uplicate"));
        assertTrue(error("").startsWith("f.yaml:1: "));
        assertTrue(error("front: [").startsWith("f.yaml:"));
        assertTrue(error(SOUND.replace("e164.example.org", "a..b")).contains("expected a domain name"));
    }

    @Test
    void aFileThatIsNotThereIsToldInOneLine() {
        String message = assertThrows(
                        SettingsException.class, () -> Yaml.read(Path.of("no/such.yaml"), FrontSettings.class))
                .getMessage();
        assertTrue(message.startsWith("no/such.yaml: can't be read"), message);
        assertEquals(1, message.lines().count());
    }

    @Test
    void scenariosAreCheckedAsWell() throws Exception {
        try (InputStream in = getClass().getResourceAsStream("/bad-day.yaml")) {
            Scenario day = Yaml.parse("d", new String(in.readAllBytes(), StandardCharsets.UTF_8), Scenario.class);
            assertTrue(day.troubles().size() >= 11);
        }
        String unknown = assertThrows(
                        SettingsException.class,
                        () -> Yaml.parse("d.yaml", "troubles:\n  - {kind: crsh, at: 1 s}\n", Scenario.class))
                .getMessage();
        assertTrue(unknown.startsWith("d.yaml:2: troubles[0].kind"), unknown);
    }
}
