package damsonseam.day;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.audit.AuditReport;
import damsonseam.audit.CallTrace;
import damsonseam.audit.Finding;
import damsonseam.audit.WireLog;
import damsonseam.config.Yaml;
import damsonseam.dns.E164Name;
import damsonseam.ss7.IsupMessage;
import damsonseam.ss7.IsupMessages;
import damsonseam.ss7.ProtocolData;
import damsonseam.standin.Scenario;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/**
 * Guards against a search that cannot be repeated from its seed, leaves its bounds or ignores the hardest run, and
 * against call traces that mix up calls on different circuits.
 */
class ScenarioSearchTest {

    private static Scenario standardScenario() throws Exception {
        try (var in = ScenarioSearchTest.class.getResourceAsStream("/bad-day.yaml")) {
            return Yaml.parse("bad-day.yaml", new String(in.readAllBytes(), StandardCharsets.UTF_8), Scenario.class);
        }
    }

    private static AuditReport reportWithTimeLeft(double answerLeftMs, double guardLeftMs) {
        return new AuditReport(1, 0, 0, 1, 1, 0, 0, 1, 0, Map.of(), List.of(), answerLeftMs, guardLeftMs);
    }

    @Test
    void firstScenarioIsTheBaseAndAllAreDrawnFromTheSeedWithinBounds() throws Exception {
        ScenarioSearch search = new ScenarioSearch(standardScenario());
        ScenarioSearch sameSeedSearch = new ScenarioSearch(standardScenario());
        Scenario first = search.next();
        assertEquals(standardScenario(), first);
        sameSeedSearch.next();
        for (int i = 1; i < 300; i++) {
            Scenario scenario = search.next();
            assertEquals(scenario, sameSeedSearch.next(), "same seed, same scenarios");
            assertNotEquals(first.seed(), scenario.seed());
            assertTrue(scenario.fronts() >= 2 && scenario.fronts() <= 24);
            assertTrue(scenario.load().callsPerS() <= 2_000);
            assertTrue(scenario.troubles().stream().allMatch(t -> t.part() <= 1 && t.size() > 0));
            search.recordResult(scenario, reportWithTimeLeft(1_000 - i, 500));
            sameSeedSearch.recordResult(scenario, reportWithTimeLeft(1_000 - i, 500));
        }
        assertEquals(500, search.minTimeLeftMs());
    }

    /** Most scenarios are varied from the one that came nearest to a broken rule. */
    @Test
    void drawsMostScenariosFromTheHardest() throws Exception {
        ScenarioSearch search = new ScenarioSearch(standardScenario());
        search.recordResult(search.next(), reportWithTimeLeft(900, 900));
        Scenario hardest = null;
        for (int i = 0; i < 50 && hardest == null; i++) {
            Scenario scenario = search.next();
            hardest = scenario.fronts() > 10 ? scenario : null;
        }
        search.recordResult(hardest, reportWithTimeLeft(3, 900));
        int drawnFromHardest = 0;
        for (int i = 0; i < 100; i++) {
            drawnFromHardest += search.next().name().startsWith(hardest.name() + "-") ? 1 : 0;
        }
        assertTrue(drawnFromHardest > 40 && drawnFromHardest < 80, drawnFromHardest + " of 100 from the hardest");
        assertEquals(3, search.minTimeLeftMs());
    }

    @Test
    void callTraceShowsTheMessagesOfTheCallThatAFindingNames(@TempDir Path folder) throws Exception {
        Files.createDirectories(folder.resolve("wire"));
        String number = "59821000000007";
        Message question = new Message(7);
        question.addRecord(
                Record.newRecord(
                        E164Name.toName(number, E164Name.parseSuffix("e164.example.org")), Type.NAPTR, DClass.IN),
                Section.QUESTION);
        Message answer = question.clone();
        answer.getHeader().setFlag(Flags.QR);
        answer.getHeader().setRcode(Rcode.SERVFAIL);
        try (WireLog log = new WireLog(folder.resolve("wire").resolve("a.jsonl"), System.nanoTime())) {
            log.write(100, "callers:1", "front:53", WireLog.DNS, question.toWire());
            log.write(
                    200,
                    "front-5000",
                    "a",
                    WireLog.M3UA,
                    encodeData(IsupMessages.initialAddress(3, number, 10, 1, 5_000)));
            log.write(
                    210,
                    "front-5000",
                    "a",
                    WireLog.M3UA,
                    encodeData(IsupMessages.initialAddress(4, "59821000000008", 10, 1, 5_000)));
            log.write(300, "front-5000", "a", WireLog.M3UA, encodeData(IsupMessages.release(3, 102)));
            log.write(310, "front-5000", "a", WireLog.M3UA, encodeData(IsupMessages.release(4, 102)));
            log.write(400, "front:53", "callers:1", WireLog.DNS, answer.toWire());
        }
        List<String> trace = CallTrace.forFinding(folder, new Finding(5, 300, "front-5000", "set-up for " + number));
        assertEquals(
                List.of(
                        "0.000100 s callers:1 > front:53: question 7",
                        "0.000200 s front-5000 > a: IAM on circuit 3",
                        "0.000300 s front-5000 > a: REL cause 102 on circuit 3",
                        "0.000400 s front:53 > callers:1: answer SERVFAIL"),
                trace);
        assertEquals(List.of(), CallTrace.forFinding(folder, new Finding(4, 300, "all", "calculator a")));
    }

    private static byte[] encodeData(IsupMessage message) {
        return new ProtocolData(5_000, 1_000, 0, message.encode()).toMessage().encode();
    }
}
