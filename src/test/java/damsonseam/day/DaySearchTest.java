package damsonseam.day;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.audit.AuditReport;
import damsonseam.audit.CallStory;
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

class DaySearchTest {

    private static Scenario standard() throws Exception {
        try (var in = DaySearchTest.class.getResourceAsStream("/bad-day.yaml")) {
            return Yaml.parse("bad-day.yaml", new String(in.readAllBytes(), StandardCharsets.UTF_8), Scenario.class);
        }
    }

    private static AuditReport left(double answer, double guard) {
        return new AuditReport(1, 0, 0, 1, 1, 0, 0, 1, 0, Map.of(), List.of(), answer, guard);
    }

    @Test
    void theFirstDayIsTheGivenOneAndAllAreDrawnBySeedWithinBounds() throws Exception {
        DaySearch one = new DaySearch(standard());
        DaySearch other = new DaySearch(standard());
        Scenario first = one.next();
        assertEquals(standard(), first);
        other.next();
        for (int i = 1; i < 300; i++) {
            Scenario day = one.next();
            assertEquals(day, other.next(), "the same seed, the same days");
            assertNotEquals(first.seed(), day.seed());
            assertTrue(day.fronts() >= 2 && day.fronts() <= 24);
            assertTrue(day.load().callsPerS() <= 2_000);
            assertTrue(day.troubles().stream().allMatch(t -> t.part() <= 1 && t.size() > 0));
            one.played(day, left(1_000 - i, 500));
            other.played(day, left(1_000 - i, 500));
        }
        assertEquals(500, one.leastLeft());
    }

    /** Most days go on from the one that came nearest to a broken rule. */
    @Test
    void goesOnFromTheHardest() throws Exception {
        DaySearch search = new DaySearch(standard());
        search.played(search.next(), left(900, 900));
        Scenario hard = null;
        for (int i = 0; i < 50 && hard == null; i++) {
            Scenario day = search.next();
            hard = day.fronts() > 10 ? day : null;
        }
        search.played(hard, left(3, 900));
        int from = 0;
        for (int i = 0; i < 100; i++) {
            from += search.next().name().startsWith(hard.name() + "-") ? 1 : 0;
        }
        assertTrue(from > 40 && from < 80, from + " of 100 from the hardest");
        assertEquals(3, search.leastLeft());
    }

    @Test
    void tellsTheStoryOfTheCallThatAFindingNames(@TempDir Path folder) throws Exception {
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
                    200, "front-5000", "a", WireLog.M3UA, signal(IsupMessages.initialAddress(3, number, 10, 1, 5_000)));
            log.write(
                    210,
                    "front-5000",
                    "a",
                    WireLog.M3UA,
                    signal(IsupMessages.initialAddress(4, "59821000000008", 10, 1, 5_000)));
            log.write(300, "front-5000", "a", WireLog.M3UA, signal(IsupMessages.release(3, 102)));
            log.write(310, "front-5000", "a", WireLog.M3UA, signal(IsupMessages.release(4, 102)));
            log.write(400, "front:53", "callers:1", WireLog.DNS, answer.toWire());
        }
        List<String> story = CallStory.of(folder, new Finding(5, 300, "front-5000", "set-up for " + number));
        assertEquals(
                List.of(
                        "0.000100 s callers:1 > front:53: question 7",
                        "0.000200 s front-5000 > a: IAM on circuit 3",
                        "0.000300 s front-5000 > a: REL cause 102 on circuit 3",
                        "0.000400 s front:53 > callers:1: answer SERVFAIL"),
                story);
        assertEquals(List.of(), CallStory.of(folder, new Finding(4, 300, "all", "calculator a")));
    }

    private static byte[] signal(IsupMessage message) {
        return new ProtocolData(5_000, 1_000, 0, message.encode()).toMessage().encode();
    }
}
