package damsonseam.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.directory.wire.Entry;
import damsonseam.directory.wire.State;
import damsonseam.directory.wire.Update;
import damsonseam.dns.E164Name;
import damsonseam.ss7.IsupMessage;
import damsonseam.ss7.IsupMessages;
import damsonseam.ss7.ProtocolData;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.NAPTRRecord;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/** Each checker is fed a run that breaks its rule, and a like one that keeps it. */
class AuditorTest {
    private static final Name SUFFIX = E164Name.parseSuffix("e164.example.org");
    private static final String NUMBER = "59821000000001";
    private static final int FRONT = 5_000;
    private final List<WireLog.Line> lines = new ArrayList<>();

    private static RunParameters world() {
        return new RunParameters(
                "e164.example.org",
                List.of(new RunParameters.NumberRange("59821", 3_000)),
                List.of(
                        new RunParameters.FrontAddress("front-5000", 53),
                        new RunParameters.FrontAddress("front-5001", 54)),
                List.of(new RunParameters.Calculator("a", 1_000, 10), new RunParameters.Calculator("b", 1_001, 10)),
                250,
                0.4,
                12_000,
                3,
                1_000,
                300);
    }

    private void at(double ms, String from, String to, String proto, byte[] octets) {
        lines.add(new WireLog.Line((long) (ms * 1_000), from, to, proto, octets));
    }

    private static Message question(String number) {
        Message m = new Message(7);
        m.addRecord(Record.newRecord(E164Name.toName(number, SUFFIX), Type.NAPTR, DClass.IN), Section.QUESTION);
        return m;
    }

    private void ask(double ms, String number) {
        at(ms, "callers:1", "front:53", WireLog.DNS, question(number).toWire());
    }

    private void answer(double ms, String number, int rcode, String server) {
        Message m = question(number);
        m.getHeader().setFlag(Flags.QR);
        m.getHeader().setRcode(rcode);
        if (server != null) {
            m.addRecord(
                    new NAPTRRecord(
                            E164Name.toName(number, SUFFIX),
                            DClass.IN,
                            0,
                            1,
                            1,
                            "u",
                            "E2U+sip",
                            "!^.*$!sip:1@" + server + "!",
                            Name.root),
                    Section.ANSWER);
        }
        at(ms, "front:53", "callers:1", WireLog.DNS, m.toWire());
    }

    private void signal(double ms, int server, boolean toServer, IsupMessage message) {
        int opc = toServer ? FRONT : server;
        int dpc = toServer ? server : FRONT;
        String name = server == 1_000 ? "a" : "b";
        at(
                ms,
                toServer ? "front-5000" : name,
                toServer ? name : "front-5000",
                WireLog.M3UA,
                new ProtocolData(opc, dpc, 0, message.encode()).toMessage().encode());
    }

    private void setUp(double ms, int server, int circuit, String number) {
        signal(ms, server, true, IsupMessages.initialAddress(circuit, number, 10, 1, FRONT));
    }

    private void tell(double ms, String front, boolean full, String server, State state, long age) {
        Entry.Builder entry = Entry.newBuilder().setServer(server).setState(state);
        if (age >= 0) {
            entry.setAgeMs(age);
        }
        at(
                ms,
                "directory",
                front,
                WireLog.DIRECTORY,
                Update.newBuilder()
                        .setVersion(1)
                        .setFull(full)
                        .addEntries(entry)
                        .build()
                        .toByteArray());
    }

    private AuditReport audit() {
        Auditor auditor = new Auditor(world());
        lines.sort(Comparator.comparingLong(WireLog.Line::timeUs));
        lines.forEach(auditor::accept);
        return auditor.finish();
    }

    private void breaks(int rule, long times) {
        AuditReport report = audit();
        assertEquals(times, report.perRule().get(rule), report.findings().toString());
        assertEquals(times, report.violations(), report.findings().toString());
        assertEquals(times == 0, report.findings().isEmpty());
    }

    private void standing() {
        ask(100, NUMBER);
        setUp(110, 1_000, 1, NUMBER);
        signal(150, 1_000, false, IsupMessage.of(1, IsupMessage.Type.ANM));
        answer(151, NUMBER, Rcode.NOERROR, "a");
    }

    @Test
    void anOrderlyCallBreaksNothing() {
        standing();
        signal(900, 1_000, false, IsupMessages.release(1, IsupMessage.NORMAL_CLEARING));
        AuditReport report = audit();
        assertEquals(0, report.violations());
        assertEquals(1, report.calls());
        assertEquals(1, report.stood());
        assertEquals(1, report.setUps());
    }

    @Test
    void tellsHowNearARunCame() {
        standing();
        AuditReport report = audit();
        assertEquals(2_949, report.leastAnswerLeftMs(), 0.01);
        assertTrue(report.leastGuardLeftMs() > 1e6, "no bad end, no guard");
    }

    @Test
    void rule1NoAnswer() {
        ask(100, NUMBER);
        setUp(110, 1_000, 1, NUMBER);
        breaks(1, 1);
    }

    @Test
    void rule1AnswerAfterTheCallerGaveUp() {
        ask(100, NUMBER);
        answer(3_200, NUMBER, Rcode.SERVFAIL, null);
        breaks(1, 1);
    }

    @Test
    void rule1TwoAnswersThatDiffer() {
        standing();
        answer(160, NUMBER, Rcode.REFUSED, null);
        breaks(1, 1);
    }

    @Test
    void rule1TheSameAnswerForAQuestionSentAgainIsOne() {
        standing();
        ask(1_100, NUMBER);
        answer(1_101, NUMBER, Rcode.NOERROR, "a");
        breaks(1, 0);
    }

    @Test
    void rule1SetUpAfterTheFinalAnswer() {
        ask(100, NUMBER);
        answer(120, NUMBER, Rcode.REFUSED, null);
        setUp(200, 1_000, 1, NUMBER);
        breaks(1, 1);
    }

    @Test
    void rule1SetUpThatNobodyAskedFor() {
        setUp(200, 1_000, 1, NUMBER);
        breaks(1, 1);
    }

    @Test
    void rule1AStandingAnswerAfterAStallThatOutlastedTheCaller() {
        ask(100, NUMBER);
        setUp(110, 1_000, 1, NUMBER);
        at(2_000, "scenario", "front-5000", WireLog.PAUSED, "2000".getBytes());
        signal(3_500, 1_000, false, IsupMessage.of(1, IsupMessage.Type.ANM));
        answer(4_010, NUMBER, Rcode.NOERROR, "a");
        breaks(1, 1);
    }

    @Test
    void rule1AFrontThatStoodStillAnswersWhenItRunsAgain() {
        ask(100, NUMBER);
        at(2_000, "scenario", "front-5000", WireLog.PAUSED, "2000".getBytes());
        answer(4_010, NUMBER, Rcode.SERVFAIL, null);
        breaks(1, 0);
        assertEquals(1, audit().overtaken());
    }

    @Test
    void rule1AStallIsNoExcuseForAnotherFrontOrForLater() {
        ask(100, NUMBER);
        at(2_000, "scenario", "front-5001", WireLog.PAUSED, "2000".getBytes());
        answer(4_010, NUMBER, Rcode.SERVFAIL, null);
        breaks(1, 1);
    }

    @Test
    void rule2TwoAttemptsOut() {
        ask(100, NUMBER);
        setUp(110, 1_000, 1, NUMBER);
        setUp(500, 1_001, 1, NUMBER);
        answer(600, NUMBER, Rcode.SERVFAIL, null);
        breaks(2, 1);
    }

    @Test
    void rule2OneAfterTheOtherWasTurnedAway() {
        ask(100, NUMBER);
        setUp(110, 1_000, 1, NUMBER);
        signal(120, 1_000, false, IsupMessages.release(1, IsupMessage.SWITCHING_EQUIPMENT_CONGESTION));
        setUp(121, 1_001, 1, NUMBER);
        answer(600, NUMBER, Rcode.SERVFAIL, null);
        breaks(2, 0);
    }

    @Test
    void rule3SetUpAfterTheGrace() {
        tell(50, "front-5000", true, "a", State.RUNNING, -1);
        tell(100, "front-5000", false, "a", State.DRAINING, -1);
        ask(380, NUMBER);
        setUp(400, 1_000, 1, NUMBER);
        answer(600, NUMBER, Rcode.SERVFAIL, null);
        breaks(3, 1);
    }

    @Test
    void rule3AServerMissingFromAFullListIsGone() {
        tell(50, "front-5000", true, "a", State.RUNNING, -1);
        tell(100, "front-5000", true, "b", State.RUNNING, -1);
        ask(380, NUMBER);
        setUp(400, 1_000, 1, NUMBER);
        answer(600, NUMBER, Rcode.SERVFAIL, null);
        breaks(3, 1);
    }

    @Test
    void rule3WithinTheGraceOrToldRunningAgainOrToldToAnother() {
        tell(100, "front-5000", false, "a", State.DRAINING, -1);
        ask(280, NUMBER);
        setUp(300, 1_000, 1, NUMBER);
        signal(310, 1_000, false, IsupMessages.release(1, IsupMessage.NO_CIRCUIT_AVAILABLE));
        tell(320, "front-5000", false, "a", State.RUNNING, -1);
        tell(330, "front-5001", false, "a", State.GONE, -1);
        setUp(900, 1_000, 1, NUMBER);
        answer(1_000, NUMBER, Rcode.SERVFAIL, null);
        breaks(3, 0);
    }

    /** A warm one does 10 set-ups a second; cold 4, of which three times are 12 in a second, and some slack. */
    private void coldBurst(int count, boolean told) {
        at(1_000, "scenario", "a", WireLog.STARTED, new byte[0]);
        if (told) {
            tell(1_010, "front-5000", false, "a", State.RUNNING, 10);
        }
        for (int i = 0; i < count; i++) {
            String number = String.format("598210%08d", i);
            ask(1_100, number);
            setUp(1_200 + i, 1_000, i + 1, number);
            answer(1_900, number, Rcode.SERVFAIL, null);
        }
    }

    @Test
    void rule4AColdServerPushedOver() {
        coldBurst(60, true);
        breaks(4, 1);
    }

    @Test
    void rule4WithinTheBudgetOrByFrontsThatDidNotKnow() {
        coldBurst(12, true);
        breaks(4, 0);
        lines.clear();
        coldBurst(60, false);
        breaks(4, 0);
    }

    @Test
    void rule5SentAgainTooSoonAfterATimeOut() {
        ask(100, NUMBER);
        setUp(110, 1_000, 1, NUMBER);
        signal(700, 1_000, true, IsupMessages.release(1, IsupMessage.RECOVERY_ON_TIMER_EXPIRY));
        setUp(990, 1_001, 1, NUMBER);
        answer(1_500, NUMBER, Rcode.SERVFAIL, null);
        breaks(5, 1);
    }

    @Test
    void rule5SentAgainTooSoonAfterAReset() {
        ask(100, NUMBER);
        setUp(110, 1_000, 1, NUMBER);
        at(700, "front-5000", "a", WireLog.CLOSED, new byte[0]);
        setUp(720, 1_001, 1, NUMBER);
        answer(1_500, NUMBER, Rcode.SERVFAIL, null);
        breaks(5, 1);
    }

    @Test
    void rule5AfterTheGuard() {
        ask(100, NUMBER);
        setUp(110, 1_000, 1, NUMBER);
        signal(700, 1_000, true, IsupMessages.release(1, IsupMessage.RECOVERY_ON_TIMER_EXPIRY));
        setUp(1_001, 1_001, 1, NUMBER);
        answer(1_500, NUMBER, Rcode.SERVFAIL, null);
        breaks(5, 0);
    }

    @Test
    void octetsThatAreNothingSetNothingUp() {
        at(1, "x", "y", WireLog.DNS, new byte[] {1});
        at(2, "x", "y", WireLog.M3UA, new byte[] {1, 0, 1, 1, 0, 0, 0, 8});
        at(3, "x", "y", WireLog.DIRECTORY, new byte[] {(byte) 0xff});
        AuditReport report = audit();
        assertEquals(0, report.calls());
        assertTrue(report.findings().isEmpty());
    }
}
