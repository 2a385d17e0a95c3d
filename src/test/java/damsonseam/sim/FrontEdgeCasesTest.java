package damsonseam.sim;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.RoutingPolicy.ServerState;
import damsonseam.sim.SimulatedFront.Reply;
import damsonseam.sim.SimulatedFront.SentMessage;
import damsonseam.sim.SimulatedFront.ServerBehaviour;
import damsonseam.ss7.IsupMessage;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/** Guards edge cases of timing and failure in a complete front, each on a simulated clock. */
class FrontEdgeCasesTest {
    private static final String NUMBER_WITH_FIRST_CHOICE_S0 = "59821000000001";
    private static final String HIGH_WORTH_NUMBER = "59828000000001";
    private static final double PATIENCE_MS = 3_000;
    private static final double ANSWER_SLACK_MS = 20;
    private final SimulatedFront front = new SimulatedFront();

    private String onlyReply() {
        assertEquals(1, front.replies.size(), "answers");
        return SimulatedFront.describe(front.replies.get(0));
    }

    /** Establishes calls until the policy knows the servers and no longer treats them as new. */
    private void warmUp(int calls) {
        for (int i = 0; i < calls; i++) {
            front.sendQuery("warm", i, "598210" + String.format("%08d", i));
            front.run(20);
        }
        front.replies.clear();
        front.sent.clear();
    }

    @Test
    void callIsLookedUpSetUpAndAnswered() {
        front.start("s0", "s1");
        front.sendQuery("desk", 1, NUMBER_WITH_FIRST_CHOICE_S0);
        front.run(100);
        assertEquals("established s0", onlyReply());
        assertEquals(1, front.setUps(null).size());
    }

    /** If the DNS answer comes after the caller's patience, the call has failed and no set-up may follow. */
    @Test
    void callFailsWhenDnsAnswerComesAfterCallersPatience() {
        front.dnsDelayMs = 3_500;
        front.start("s0", "s1");
        double askedAt = front.now;
        front.sendQuery("desk", 1, NUMBER_WITH_FIRST_CHOICE_S0);
        front.run(5_000);
        assertEquals("failed", onlyReply());
        assertTrue(front.replies.get(0).at() <= askedAt + PATIENCE_MS);
        assertTrue(front.setUps(null).isEmpty());
    }

    /** If the DNS answer comes between two retransmissions, both are one call with one set-up and the same answer. */
    @Test
    void retransmittedQueriesGetSameAnswerFromOneSetUp() {
        front.dnsDelayMs = 150;
        front.start("s0", "s1");
        front.sendQuery("desk", 1, NUMBER_WITH_FIRST_CHOICE_S0);
        front.schedule(100, () -> front.sendQuery("desk", 1, NUMBER_WITH_FIRST_CHOICE_S0));
        front.schedule(400, () -> front.sendQuery("desk", 1, NUMBER_WITH_FIRST_CHOICE_S0));
        front.run(1_000);
        assertEquals(1, front.setUps(null).size());
        assertEquals(2, front.replies.size());
        assertArrayEquals(front.replies.get(0).bytes(), front.replies.get(1).bytes());
    }

    @Test
    void sameIdFromAnotherPortIsAnotherCall() {
        front.start("s0", "s1");
        front.sendQuery("desk:1", 1, NUMBER_WITH_FIRST_CHOICE_S0);
        front.sendQuery("desk:2", 1, NUMBER_WITH_FIRST_CHOICE_S0);
        front.run(500);
        assertEquals(2, front.replies.size());
        assertNotEquals(front.replies.get(0).caller(), front.replies.get(1).caller());
    }

    /** If a calculator starts to drain between a set-up and its answer, that call is still established. */
    @Test
    void callIsEstablishedWhenServerDrainsAfterSetUp() {
        front.answerDelayMs = 200;
        front.start("s0", "s1");
        front.sendQuery("desk", 1, NUMBER_WITH_FIRST_CHOICE_S0);
        front.run(100);
        front.updateServer("s0", 0, ServerState.DRAINING, OptionalDouble.empty());
        front.run(200);
        assertEquals("established s0", onlyReply());
        front.sendQuery("desk", 2, "59821000000002");
        front.run(300);
        assertEquals(1, front.setUps("s0").size(), "set-ups to the draining calculator");
        assertEquals("established s1", SimulatedFront.describe(front.replies.get(1)));
    }

    /** If an answer and the drain update come in one batch, the answer counts and the next call goes elsewhere. */
    @Test
    void drainInSameBatchAsAnswerDivertsNextCall() {
        front.answerDelayMs = 50;
        front.start("s0", "s1");
        front.sendQuery("desk", 1, NUMBER_WITH_FIRST_CHOICE_S0);
        front.run(10);
        double answerAt = front.setUps("s0").get(0).at() + 50;
        front.schedule(
                answerAt - front.now, () -> front.updateServer("s0", 0, ServerState.DRAINING, OptionalDouble.empty()));
        front.schedule(answerAt - front.now, () -> front.sendQuery("desk", 2, "59821000000002"));
        front.run(200);
        assertEquals("established s0", SimulatedFront.describe(front.replies.get(0)));
        assertEquals(1, front.setUps("s0").size());
        assertEquals(1, front.setUps("s1").size());
    }

    /** If the connection is lost with a pending set-up, the call is tried elsewhere, but not within the guard time. */
    @Test
    void connectionResetMovesCallAfterReleaseGuard() {
        front.behaviours.put("s0", ServerBehaviour.SILENT);
        front.start("s0", "s1");
        front.sendQuery("desk", 1, NUMBER_WITH_FIRST_CHOICE_S0);
        front.run(50);
        assertEquals(1, front.setUps("s0").size());
        double disconnectedAt = front.now;
        front.disconnect("s0");
        front.run(1_000);
        assertEquals("established s1", onlyReply());
        assertTrue(front.setUps("s1").get(0).at() >= disconnectedAt + 300);
    }

    /** If the release complete is lost, the call is answered all the same and its circuit stays busy. */
    @Test
    void lostReleaseCompleteKeepsCircuitBusyUntilRepeatedRelease() {
        front.behaviours.put("s0", ServerBehaviour.SILENT);
        front.losesReleaseCompletes = true;
        front.start("s0");
        front.sendQuery("desk", 1, NUMBER_WITH_FIRST_CHOICE_S0);
        front.run(3_100);
        assertEquals("failed", onlyReply());
        assertEquals(0, front.router().openCalls());
        assertEquals(1, front.trunkGroup("s0").busyCircuits());
        front.losesReleaseCompletes = false;
        front.run(15_100);
        assertEquals(0, front.trunkGroup("s0").busyCircuits(), "circuits busy after the repeated release");
    }

    @Test
    void releaseByCalculatorEndsEstablishedCall() {
        front.start("s0");
        front.sendQuery("desk", 1, NUMBER_WITH_FIRST_CHOICE_S0);
        front.run(50);
        assertEquals(1, front.trunkGroup("s0").busyCircuits());
        front.receive(
                "s0",
                damsonseam.ss7.IsupMessages.release(
                        front.setUps("s0").get(0).message().circuit(), IsupMessage.NORMAL_CLEARING));
        front.run(10);
        assertEquals(0, front.trunkGroup("s0").busyCircuits());
        assertEquals(0, front.router().openCalls());
        assertEquals("established s0", onlyReply());
    }

    /** An answer after the front's own release must not establish a call that the caller knows to have failed. */
    @Test
    void answerAfterOwnReleaseIsIgnored() {
        front.behaviours.put("s0", ServerBehaviour.SILENT);
        front.start("s0");
        front.sendQuery("desk", 1, NUMBER_WITH_FIRST_CHOICE_S0);
        front.run(3_100);
        assertEquals("failed", onlyReply());
        SentMessage setUp = front.setUps("s0").get(0);
        assertEquals(
                1,
                front.sent.stream()
                        .filter(s -> s.message().type() == IsupMessage.Type.REL)
                        .count());
        front.receive("s0", IsupMessage.of(setUp.message().circuit(), IsupMessage.Type.ANM));
        front.run(500);
        assertEquals(1, front.replies.size());
    }

    /** A calculator restarted at the same address gets no more than its cold share, whatever the load. */
    @Test
    void restartedServerAtSameAddressIsTreatedAsCold() {
        front.start("s0", "s1");
        warmUp(60);
        front.updateServer("s0", 0, ServerState.RUNNING, OptionalDouble.of(front.now));
        double restartedAt = front.now;
        for (int i = 0; i < 200; i++) {
            front.sendQuery("desk", i, String.format("598210%08d", 1_000 + i));
            front.run(2);
        }
        long setUpsAfterRestart = front.setUps("s0").stream()
                .filter(s -> s.at() < restartedAt + 50)
                .count();
        assertTrue(setUpsAfterRestart <= 2, setUpsAfterRestart + " set-ups in the first 50 ms after a restart");
        assertTrue(front.setUps("s1").size() > front.setUps("s0").size());
    }

    /** If a server is listed as running but has no connection, its calls go elsewhere and each is answered. */
    @Test
    void listedServerWithoutConnectionGetsNoCalls() {
        front.start("s0", "s1");
        front.disconnect("s0");
        for (int i = 0; i < 20; i++) {
            front.sendQuery("desk", i, String.format("598210%08d", i));
            front.run(100);
        }
        front.run(3_000);
        assertEquals(20, front.replies.size());
        assertTrue(front.setUps("s0").isEmpty());
        assertTrue(front.replies.stream()
                        .filter(r -> SimulatedFront.describe(r).equals("established s1"))
                        .count()
                >= 18);
    }

    /** If a server is listed as gone but its connection is up, it gets no new calls and keeps the present ones. */
    @Test
    void unlistedServerWithConnectionKeepsItsCallsButGetsNoNewOnes() {
        front.start("s0", "s1");
        front.sendQuery("desk", 1, NUMBER_WITH_FIRST_CHOICE_S0);
        front.run(50);
        front.updateServer("s0", 0, ServerState.GONE, OptionalDouble.empty());
        front.run(10);
        front.sendQuery("desk", 2, "59821000000002");
        front.run(100);
        assertEquals(1, front.setUps("s0").size());
        assertEquals(2, front.router().openCalls());
    }

    /**
     * After a pause of two seconds, all events of the pause arrive at once. Callers who still wait must be answered in
     * time, a caller who has given up gets no set-up, and an answer after its caller's patience establishes no call.
     */
    @Test
    void callsAreAnsweredInTimeAfterPauseOfTwoSeconds() {
        front.behaviours.put("s0", ServerBehaviour.SILENT);
        front.start("s0", "s1");
        front.sendQuery("early", 1, HIGH_WORTH_NUMBER);
        front.run(300);
        int setUpsBeforePause = front.setUps(null).size();
        assertEquals(1, setUpsBeforePause);
        SentMessage early = front.setUps(null).get(0);
        double pauseStart = front.now;
        front.schedule(
                1_950,
                () -> front.receive(
                        early.serverId(), IsupMessage.of(early.message().circuit(), IsupMessage.Type.ANM)));
        for (int i = 0; i < 50; i++) {
            int id = 100 + i;
            front.schedule(i * 39, () -> front.sendQuery("late", id, String.format("598211%08d", id)));
        }
        front.pause(2_000);
        front.run(3_000);
        assertEquals(51, front.replies.size());
        for (Reply reply : front.replies) {
            boolean late = reply.caller().equals("late");
            // The first query of the pause is given up three seconds later.
            double givesUp = late ? pauseStart + PATIENCE_MS : Double.MAX_VALUE;
            assertTrue(reply.at() <= givesUp + ANSWER_SLACK_MS, SimulatedFront.describe(reply) + " at " + reply.at());
        }
    }

    /** An answer read after a pause that exceeded the caller's patience must be released, not established. */
    @Test
    void answerReadAfterCallersPatienceIsReleased() {
        front.behaviours.put("s0", ServerBehaviour.SILENT);
        front.start("s0");
        front.sendQuery("early", 1, HIGH_WORTH_NUMBER);
        front.run(1_000);
        SentMessage setUp = front.setUps(null).get(0);
        front.schedule(
                1_900, () -> front.receive("s0", IsupMessage.of(setUp.message().circuit(), IsupMessage.Type.ANM)));
        front.pause(2_000);
        front.run(100);
        assertEquals("failed", onlyReply());
        assertEquals(
                IsupMessage.Type.REL,
                front.sent.get(front.sent.size() - 1).message().type());
    }

    /** Two thousand calls in one batch must each get one final answer in time. */
    @Test
    void twoThousandCallsInOneBatchGetOneAnswerEach() {
        front.start("s0", "s1", "s2");
        double askedAt = front.now;
        for (int i = 0; i < 2_000; i++) {
            front.sendQuery("desk:" + i, i, String.format("59821%d%08d", i % 3, i));
        }
        front.run(3_200);
        assertEquals(2_000, front.replies.size());
        Map<Object, Integer> answersByCaller = new HashMap<>();
        front.replies.forEach(r -> answersByCaller.merge(r.caller(), 1, Integer::sum));
        assertTrue(answersByCaller.values().stream().allMatch(n -> n == 1));
        assertTrue(front.replies.stream().allMatch(r -> r.at() <= askedAt + PATIENCE_MS));
        assertTrue(
                front.replies.stream().anyMatch(r -> SimulatedFront.describe(r).startsWith("established")));
    }

    /** A full call table refuses the next call at once and accepts calls again when one has ended. */
    @Test
    void fullCallTableRefusesNewCallsUntilOneEnds() {
        front.maxCalls = 3;
        front.behaviours.put("s0", ServerBehaviour.SILENT);
        front.start("s0");
        for (int i = 0; i < 4; i++) {
            front.sendQuery("desk", i, String.format("598210%08d", i));
        }
        assertEquals("refused", onlyReply());
        assertEquals(1, front.router().counters().refusedTableFull);
        front.run(3_100);
        assertEquals(4, front.replies.size());
        front.sendQuery("desk", 9, NUMBER_WITH_FIRST_CHOICE_S0);
        front.run(1);
        assertEquals(4, front.replies.size(), "the call is accepted, not refused");
    }

    /** Under congestion, calls of low worth must be stopped before those of high worth. */
    @Test
    void highWorthCallsGoFirstWhenAnswersAreSlow() {
        front.start("s0");
        warmUp(60);
        front.answerDelayMs = 450;
        for (int i = 0; i < 40; i++) {
            front.sendQuery("low-worth", i, String.format("598210%08d", 5_000 + i));
            front.sendQuery("high-worth", i, String.format("598280%08d", 5_000 + i));
            front.run(25);
        }
        long lowWorth = front.setUps(null).stream()
                .filter(s -> SimulatedFront.calledNumber(s).startsWith("59821"))
                .count();
        long highWorth = front.setUps(null).stream()
                .filter(s -> SimulatedFront.calledNumber(s).startsWith("59828"))
                .count();
        assertTrue(highWorth > lowWorth, highWorth + " of high worth, " + lowWorth + " of low worth");
    }

    /** Attempts of one call must not overlap, and after a failure the next one must wait for the guard time. */
    @Test
    void attemptsOfOneCallDoNotOverlapAndKeepReleaseGuard() {
        front.start("s0", "s1", "s2");
        front.behaviours.put("s0", ServerBehaviour.REJECT);
        front.behaviours.put("s1", ServerBehaviour.SILENT);
        for (int i = 0; i < 100; i++) {
            front.sendQuery("desk", i, String.format("59821%d%08d", i % 3, i));
            front.run(11);
            if (i == 50) {
                front.disconnect("s1");
            }
        }
        front.run(3_500);
        assertEquals(100, front.replies.size());
        Map<String, List<SentMessage>> byNumber = new HashMap<>();
        front.setUps(null)
                .forEach(s -> byNumber.computeIfAbsent(SimulatedFront.calledNumber(s), n -> new java.util.ArrayList<>())
                        .add(s));
        for (List<SentMessage> attempts : byNumber.values()) {
            for (int i = 1; i < attempts.size(); i++) {
                boolean rejected = attempts.get(i - 1).serverId().equals("s0");
                double gap = attempts.get(i).at() - attempts.get(i - 1).at();
                assertTrue(gap >= (rejected ? 10 : 300), "sent again after " + gap + " ms");
            }
        }
    }

    /** If a release is slow in the network, the guard time starts when its arrival is confirmed. */
    @Test
    void releaseGuardStartsAtConfirmedRelease() {
        double gap = minGapAfterRelease(40, false);
        assertTrue(gap >= 39 && gap < SimulatedFront.RELEASE_WAIT_MS, "guard and " + gap + " ms");
    }

    /** If no confirmation comes, the guard time starts without it after the release wait. */
    @Test
    void releaseGuardStartsWithoutConfirmationAfterReleaseWait() {
        double gap = minGapAfterRelease(1, true);
        assertTrue(
                gap >= SimulatedFront.RELEASE_WAIT_MS && gap < 2 * SimulatedFront.RELEASE_WAIT_MS,
                "guard and " + gap + " ms");
        assertTrue(front.router().counters().unconfirmedReleases > 0);
    }

    /** Returns the least time from a release to the next set-up of the same call, beyond the guard time. */
    private double minGapAfterRelease(double completeDelay, boolean lost) {
        front.releaseCompleteDelayMs = completeDelay;
        front.losesReleaseCompletes = lost;
        front.behaviours.put("s0", ServerBehaviour.SILENT);
        front.start("s0", "s1");
        for (int i = 0; i < 40; i++) {
            front.sendQuery("desk", i, String.format("598210%08d", i));
            front.run(25);
        }
        front.run(4_000);
        Map<Integer, String> numbers = new HashMap<>();
        Map<String, Double> releasedAt = new HashMap<>();
        double minGap = Double.MAX_VALUE;
        for (SentMessage s : front.sent) {
            if (s.message().type() == IsupMessage.Type.REL && s.serverId().equals("s0")) {
                releasedAt.put(numbers.get(s.message().circuit()), s.at());
            } else if (s.message().type() == IsupMessage.Type.IAM) {
                if (s.serverId().equals("s0")) {
                    numbers.put(s.message().circuit(), SimulatedFront.calledNumber(s));
                }
                Double released = releasedAt.remove(SimulatedFront.calledNumber(s));
                minGap = released == null ? minGap : Math.min(minGap, s.at() - released - 300);
            }
        }
        return minGap;
    }

    @Test
    void drainingFrontRefusesNewCallsAndAnswersOpenOnes() {
        front.answerDelayMs = 100;
        front.start("s0");
        front.sendQuery("desk", 1, NUMBER_WITH_FIRST_CHOICE_S0);
        front.run(20);
        front.router().startDraining();
        front.sendQuery("desk", 2, "59821000000002");
        assertEquals("refused", onlyReply());
        front.run(200);
        assertEquals("established s0", SimulatedFront.describe(front.replies.get(1)));
        assertEquals(0, front.router().countUnansweredCalls());
    }
}
