package damsonseam.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import java.io.StringWriter;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the adapter with batches of events as text, malformed ones included. */
class WireAdapterTest {
    private static final String BOOT = "boot 0 11 Balancers=2 Caps.MaxAttempts=3 Caps.MayCancel=true"
            + " Caps.MayProbe=true Caps.RetryAfter=true Caps.MaxRetryAfter=2000.0 Discovery=push"
            + " FamilyInfo.Guard=300.0 FamilyInfo.SelfNo=-1 FamilyInfo.SkilledPools.count=1"
            + " FamilyInfo.SkilledPools.0=0,1 Odd.Setting=x Report.Fields=spare,total,cpu_share,pending"
            + " RequestClasses.count=1 RequestClasses.0.Aim=1500.0 RequestClasses.0.HardLimit=9000.0"
            + " RequestClasses.0.LateValue=0.25 RequestClasses.0.Worth=1.0 Tick=5.0\n";
    private static final String SERVER_LIST =
            "manifest 3 2\nitem server.a - 0 0 0 1 on\n" + "item server.b - 0 1 0 1 on\nroster_change 0 disk 4 3\n";

    private static String run(String input) {
        StringWriter out = new StringWriter();
        try {
            new WireAdapter(new BufferedReader(new StringReader(input)), out).run();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        return out.toString();
    }

    private static String runAfterBoot(String events) {
        return run("turn 10.0\n" + BOOT + SERVER_LIST + events + "flush\n");
    }

    private static void assertMalformed(String event, String expected) {
        WireFormatException e = assertThrows(WireFormatException.class, () -> runAfterBoot(event + "\n"));
        assertTrue(e.getMessage().startsWith("line 7: expected " + expected), e.getMessage());
    }

    private static String offerCall(long callId, int firstChoiceIndex) {
        return "order 0 " + callId + " 0 line-k 1 - 0 -1 3000.0 0 " + firstChoiceIndex + "\n";
    }

    @Test
    void emptyBatchGetsEmptyReply() {
        assertEquals("done\n", run("turn 8412.25\nflush\n"));
    }

    @Test
    void callGoesToItsFirstChoice() {
        assertTrue(runAfterBoot(offerCall(7, 1)).startsWith("issue 0 7 server.b "));
        assertTrue(runAfterBoot(offerCall(8, 0)).startsWith("issue 0 8 server.a "));
    }

    @Test
    void attemptIsAbandonedBeforeTheCallerGivesUp() {
        String[] parts = runAfterBoot(offerCall(7, 1)).split("\n")[0].split(" ");
        double abandonAt = Double.parseDouble(parts[4]);
        assertTrue(abandonAt > 2000 && abandonAt < 3010, parts[4]);
    }

    @Test
    void listNumberCanBeReusedInOneBatch() {
        String addServer = "manifest 3 1\nitem server.c - 0 1 0 1 on\nroster_change 0 diff 5 3\n";
        String removeServer = "manifest 3 1\nitem server.a - 0 0 0 1 off\nroster_change 0 diff 6 3\n";
        String reply = runAfterBoot(addServer + removeServer + offerCall(7, 0));
        assertTrue(reply.startsWith("issue 0 7 server.b ") || reply.startsWith("issue 0 7 server.c "), reply);
        assertEquals(
                2,
                runAfterBoot(addServer + removeServer + offerCall(7, 0) + offerCall(8, 0))
                                .split("issue")
                                .length
                        - 1);
    }

    @Test
    void stopAndBootInOneBatchDiscardState() {
        String reply = runAfterBoot("stop 0\n" + BOOT.replace("boot 0 11", "boot 0 12") + offerCall(7, 0));
        assertTrue(reply.startsWith("overload_reply 0 7 "), reply);
    }

    @Test
    void eventsOfUnknownCallsAreIgnored() {
        String reply = runAfterBoot("result 0 99 0 18.5 - server.a 1 ok spare:4,total:9,cpu_share:0.6,pending:3\n"
                + "gone 0 99\ntick_due 0 77\n"
                + "pong 0 server.a ok 0.0 spare:4,total:9,cpu_share:-1,pending:-1\ndatagram 0 1 6869\n");
        assertEquals("done\n", reply);
    }

    @Test
    void entryWithoutOptionalValuesIsAccepted() {
        String serverWithoutOptionalValues = "manifest 3 1\nitem server.c - - - - - on\nroster_change 0 snapshot 5 3\n";
        String bootWithoutSkilledPools = BOOT.replace(" FamilyInfo.SkilledPools.0=0,1", "");
        String reply = run(
                "turn 10.0\n" + bootWithoutSkilledPools + serverWithoutOptionalValues + offerCall(7, 0) + "flush\n");
        assertTrue(reply.startsWith("issue 0 7 server.c "), reply);
    }

    @Test
    void loadReportWithMissingFiguresIsAccepted() {
        for (String report : List.of("spare:4,total:9,pending:3", "cpu_share:0.5", "pending:-", "-")) {
            String reply = runAfterBoot(offerCall(7, 0) + "result 0 7 0 18.5 - server.a 1 ok " + report + "\n");
            assertTrue(reply.startsWith("issue 0 7 ") && reply.endsWith("done\n"), report);
        }
    }

    @Test
    void clockThatJumpsAheadBySecondsIsAccepted() {
        String reply = run("turn 10.0\n" + BOOT + SERVER_LIST + offerCall(7, 0) + "flush\nturn 5010.0\ntick_due 0 1\n"
                + "result 0 7 0 2990.0 - server.a 0 timeout -\n" + offerCall(8, 1) + "flush\n");
        assertTrue(reply.contains("fail 0 7") && reply.contains("issue 0 8 server.b "), reply);
    }

    @Test
    void callIsSentElsewhereAtOnceWhenProcessorIsFull() {
        String reply = run("turn 10.0\n" + BOOT + SERVER_LIST + offerCall(7, 0)
                + "flush\nturn 40.0\nresult 0 7 0 30.0 3 server.a 0 full spare:4,later:x\nflush\n");
        assertTrue(reply.contains("issue 0 7 server.b "), reply);
    }

    @Test
    void errorOfMalformedLineNamesLineAndExpectation() {
        assertMalformed("ordre 0 1", "a known event");
        assertMalformed("order 0 x", "the call as a whole number");
        assertMalformed("order 0 7 0 line-k 1 - 0 -1 3000.0 0", "the destination");
        assertMalformed("gone 0 7 8", "the end of the line");
        assertMalformed("gone 5 7", "a running instance");
        assertMalformed("roster_change 0 diff 1 9", "the number of a known list");
        assertMalformed("result 0 7 0 18.5 - server.a 1 fine -", "a known outcome");
        assertMalformed("datagram 0 1 6g", "bytes as hex digits");
        assertThrows(WireFormatException.class, () -> run("turn 5\nflush\nturn 4\nflush\n"));
        assertThrows(WireFormatException.class, () -> run("turn 5\n"));
        assertThrows(WireFormatException.class, () -> run("flush\n"));
    }
}
