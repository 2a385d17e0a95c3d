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

/**
 * Feeds the auditor synthetic wire logs that break a rule, and similar ones that keep it. Guards against an audit that
 * misses violations, and against one that reports correct behaviour such as a retransmission or a pause.
 */
class AuditorTest {
    private static final Name SUFFIX = E164Name.parseSuffix("e164.example.org");
    private static final String NUMBER = "59821000000001";
    private static final int FRONT_POINT_CODE = 5_000;
    private final List<WireLog.Line> lines = new ArrayList<>();

    private static RunParameters parameters() {
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

    private void log(double atMs, String from, String to, String proto, byte[] payload) {
        lines.add(new WireLog.Line((long) (atMs * 1_000), from, to, proto, payload));
    }

    private static Message queryMessage(String number) {
        Message message = new Message(7);
        message.addRecord(Record.newRecord(E164Name.toName(number, SUFFIX), Type.NAPTR, DClass.IN), Section.QUESTION);
        return message;
    }

    private void logQuery(double atMs, String number) {
        log(atMs, "callers:1", "front:53", WireLog.DNS, queryMessage(number).toWire());
    }

    private void logAnswer(double atMs, String number, int rcode, String server) {
        Message message = queryMessage(number);
        message.getHeader().setFlag(Flags.QR);
        message.getHeader().setRcode(rcode);
        if (server != null) {
            message.addRecord(
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
        log(atMs, "front:53", "callers:1", WireLog.DNS, message.toWire());
    }

    private void logIsup(double atMs, int server, boolean toServer, IsupMessage message) {
        int opc = toServer ? FRONT_POINT_CODE : server;
        int dpc = toServer ? server : FRONT_POINT_CODE;
        String name = server == 1_000 ? "a" : "b";
        log(
                atMs,
                toServer ? "front-5000" : name,
                toServer ? name : "front-5000",
                WireLog.M3UA,
                new ProtocolData(opc, dpc, 0, message.encode()).toMessage().encode());
    }

    private void logSetUp(double atMs, int server, int circuit, String number) {
        logIsup(atMs, server, true, IsupMessages.initialAddress(circuit, number, 10, 1, FRONT_POINT_CODE));
    }

    private void logUpdate(double atMs, String front, boolean full, String server, State state, long ageMs) {
        Entry.Builder entry = Entry.newBuilder().setServer(server).setState(state);
        if (ageMs >= 0) {
            entry.setAgeMs(ageMs);
        }
        log(
                atMs,
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
        Auditor auditor = new Auditor(parameters());
        lines.sort(Comparator.comparingLong(WireLog.Line::timeUs));
        lines.forEach(auditor::accept);
        return auditor.finish();
    }

    /** Asserts that the audit found this number of violations of the rule and none of any other rule. */
    private void assertViolations(int rule, long expected) {
        AuditReport report = audit();
        assertEquals(expected, report.perRule().get(rule), report.findings().toString());
        assertEquals(expected, report.violations(), report.findings().toString());
        assertEquals(expected == 0, report.findings().isEmpty());
    }

    /** Logs a call that is queried at 100 ms, established at 150 ms and answered at 151 ms. */
    private void logEstablishedCall() {
        logQuery(100, NUMBER);
        logSetUp(110, 1_000, 1, NUMBER);
        logIsup(150, 1_000, false, IsupMessage.of(1, IsupMessage.Type.ANM));
        logAnswer(151, NUMBER, Rcode.NOERROR, "a");
    }

    @Test
    void establishedAndReleasedCallBreaksNoRule() {
        logEstablishedCall();
        logIsup(900, 1_000, false, IsupMessages.release(1, IsupMessage.NORMAL_CLEARING));
        AuditReport report = audit();
        assertEquals(0, report.violations());
        assertEquals(1, report.calls());
        assertEquals(1, report.stood());
        assertEquals(1, report.setUps());
    }

    @Test
    void reportsMinimumTimeLeftForAnswersAndGuard() {
        logEstablishedCall();
        AuditReport report = audit();
        assertEquals(2_949, report.leastAnswerLeftMs(), 0.01);
        assertTrue(report.leastGuardLeftMs() > 1e6, "no guard time without an unsuccessful attempt");
    }

    @Test
    void rule1UnansweredQueryIsAViolation() {
        logQuery(100, NUMBER);
        logSetUp(110, 1_000, 1, NUMBER);
        assertViolations(1, 1);
    }

    @Test
    void rule1AnswerAfterCallerAbandonedIsAViolation() {
        logQuery(100, NUMBER);
        logAnswer(3_200, NUMBER, Rcode.SERVFAIL, null);
        assertViolations(1, 1);
    }

    @Test
    void rule1SecondDifferentAnswerIsAViolation() {
        logEstablishedCall();
        logAnswer(160, NUMBER, Rcode.REFUSED, null);
        assertViolations(1, 1);
    }

    @Test
    void rule1RepeatedAnswerToRetransmittedQueryIsAllowed() {
        logEstablishedCall();
        logQuery(1_100, NUMBER);
        logAnswer(1_101, NUMBER, Rcode.NOERROR, "a");
        assertViolations(1, 0);
    }

    @Test
    void rule1SetUpAfterFinalAnswerIsAViolation() {
        logQuery(100, NUMBER);
        logAnswer(120, NUMBER, Rcode.REFUSED, null);
        logSetUp(200, 1_000, 1, NUMBER);
        assertViolations(1, 1);
    }

    @Test
    void rule1SetUpWithoutQueryIsAViolation() {
        logSetUp(200, 1_000, 1, NUMBER);
        assertViolations(1, 1);
    }

    @Test
    void rule1CallEstablishedAfterPauseOutlastedPatienceIsAViolation() {
        logQuery(100, NUMBER);
        logSetUp(110, 1_000, 1, NUMBER);
        log(2_000, "scenario", "front-5000", WireLog.PAUSED, "2000".getBytes());
        logIsup(3_500, 1_000, false, IsupMessage.of(1, IsupMessage.Type.ANM));
        logAnswer(4_010, NUMBER, Rcode.NOERROR, "a");
        assertViolations(1, 1);
    }

    @Test
    void rule1FailureAnswerRightAfterPauseOutlastedPatienceIsAllowed() {
        logQuery(100, NUMBER);
        log(2_000, "scenario", "front-5000", WireLog.PAUSED, "2000".getBytes());
        logAnswer(4_010, NUMBER, Rcode.SERVFAIL, null);
        assertViolations(1, 0);
        assertEquals(1, audit().overtaken());
    }

    @Test
    void rule1PauseOfAnotherFrontDoesNotExcuseLateAnswer() {
        logQuery(100, NUMBER);
        log(2_000, "scenario", "front-5001", WireLog.PAUSED, "2000".getBytes());
        logAnswer(4_010, NUMBER, Rcode.SERVFAIL, null);
        assertViolations(1, 1);
    }

    @Test
    void rule2SetUpWhileAttemptPendingIsAViolation() {
        logQuery(100, NUMBER);
        logSetUp(110, 1_000, 1, NUMBER);
        logSetUp(500, 1_001, 1, NUMBER);
        logAnswer(600, NUMBER, Rcode.SERVFAIL, null);
        assertViolations(2, 1);
    }

    @Test
    void rule2SetUpAfterRejectedAttemptIsAllowed() {
        logQuery(100, NUMBER);
        logSetUp(110, 1_000, 1, NUMBER);
        logIsup(120, 1_000, false, IsupMessages.release(1, IsupMessage.SWITCHING_EQUIPMENT_CONGESTION));
        logSetUp(121, 1_001, 1, NUMBER);
        logAnswer(600, NUMBER, Rcode.SERVFAIL, null);
        assertViolations(2, 0);
    }

    @Test
    void rule3SetUpToDrainingServerAfterGraceIsAViolation() {
        logUpdate(50, "front-5000", true, "a", State.RUNNING, -1);
        logUpdate(100, "front-5000", false, "a", State.DRAINING, -1);
        logQuery(380, NUMBER);
        logSetUp(400, 1_000, 1, NUMBER);
        logAnswer(600, NUMBER, Rcode.SERVFAIL, null);
        assertViolations(3, 1);
    }

    @Test
    void rule3SetUpToServerMissingFromFullListIsAViolation() {
        logUpdate(50, "front-5000", true, "a", State.RUNNING, -1);
        logUpdate(100, "front-5000", true, "b", State.RUNNING, -1);
        logQuery(380, NUMBER);
        logSetUp(400, 1_000, 1, NUMBER);
        logAnswer(600, NUMBER, Rcode.SERVFAIL, null);
        assertViolations(3, 1);
    }

    @Test
    void rule3SetUpWithinGraceOrAfterRunningAgainOrUnnotifiedIsAllowed() {
        logUpdate(100, "front-5000", false, "a", State.DRAINING, -1);
        logQuery(280, NUMBER);
        logSetUp(300, 1_000, 1, NUMBER);
        logIsup(310, 1_000, false, IsupMessages.release(1, IsupMessage.NO_CIRCUIT_AVAILABLE));
        logUpdate(320, "front-5000", false, "a", State.RUNNING, -1);
        logUpdate(330, "front-5001", false, "a", State.GONE, -1);
        logSetUp(900, 1_000, 1, NUMBER);
        logAnswer(1_000, NUMBER, Rcode.SERVFAIL, null);
        assertViolations(3, 0);
    }

    /** A warm server handles 10 set-ups per second and a cold one 4; the limit is 3 times that, 12, plus tolerance. */
    private void logColdBurst(int count, boolean notified) {
        log(1_000, "scenario", "a", WireLog.STARTED, new byte[0]);
        if (notified) {
            logUpdate(1_010, "front-5000", false, "a", State.RUNNING, 10);
        }
        for (int i = 0; i < count; i++) {
            String number = String.format("598210%08d", i);
            logQuery(1_100, number);
            logSetUp(1_200 + i, 1_000, i + 1, number);
            logAnswer(1_900, number, Rcode.SERVFAIL, null);
        }
    }

    @Test
    void rule4OverloadOfColdServerIsAViolation() {
        logColdBurst(60, true);
        assertViolations(4, 1);
    }

    @Test
    void rule4SetUpsWithinLimitOrFromUnnotifiedFrontsAreAllowed() {
        logColdBurst(12, true);
        assertViolations(4, 0);
        lines.clear();
        logColdBurst(60, false);
        assertViolations(4, 0);
    }

    @Test
    void rule5SetUpWithinGuardAfterTimeoutIsAViolation() {
        logQuery(100, NUMBER);
        logSetUp(110, 1_000, 1, NUMBER);
        logIsup(700, 1_000, true, IsupMessages.release(1, IsupMessage.RECOVERY_ON_TIMER_EXPIRY));
        logSetUp(990, 1_001, 1, NUMBER);
        logAnswer(1_500, NUMBER, Rcode.SERVFAIL, null);
        assertViolations(5, 1);
    }

    @Test
    void rule5SetUpWithinGuardAfterConnectionLossIsAViolation() {
        logQuery(100, NUMBER);
        logSetUp(110, 1_000, 1, NUMBER);
        log(700, "front-5000", "a", WireLog.CLOSED, new byte[0]);
        logSetUp(720, 1_001, 1, NUMBER);
        logAnswer(1_500, NUMBER, Rcode.SERVFAIL, null);
        assertViolations(5, 1);
    }

    @Test
    void rule5SetUpAfterGuardIsAllowed() {
        logQuery(100, NUMBER);
        logSetUp(110, 1_000, 1, NUMBER);
        logIsup(700, 1_000, true, IsupMessages.release(1, IsupMessage.RECOVERY_ON_TIMER_EXPIRY));
        logSetUp(1_001, 1_001, 1, NUMBER);
        logAnswer(1_500, NUMBER, Rcode.SERVFAIL, null);
        assertViolations(5, 0);
    }

    @Test
    void malformedMessagesAreIgnored() {
        log(1, "x", "y", WireLog.DNS, new byte[] {1});
        log(2, "x", "y", WireLog.M3UA, new byte[] {1, 0, 1, 1, 0, 0, 0, 8});
        log(3, "x", "y", WireLog.DIRECTORY, new byte[] {(byte) 0xff});
        AuditReport report = audit();
        assertEquals(0, report.calls());
        assertTrue(report.findings().isEmpty());
    }
}
