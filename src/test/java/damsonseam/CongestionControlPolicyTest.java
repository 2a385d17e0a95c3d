package damsonseam;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.RoutingPolicy.AttemptStatus;
import damsonseam.RoutingPolicy.RejectReason;
import damsonseam.RoutingPolicy.ServerState;
import org.junit.jupiter.api.Test;

/** Tests the policy through its interface on a scripted clock. */
class CongestionControlPolicyTest {
    private static final double QUICK_ANSWER_MS = 20;

    /** Returns a script with two servers that have each answered long enough to be known. */
    private static PolicyScript knownServers() {
        PolicyScript script = new PolicyScript(PolicyScript.settings().build()).listServers("a", "b");
        for (int i = 0; i < 20; i++) {
            script.establishCall(0, QUICK_ANSWER_MS);
            script.establishCall(1, QUICK_ANSWER_MS);
            script.run(200);
        }
        return script;
    }

    @Test
    void callGoesToFirstChoiceWhileItIsOpen() {
        PolicyScript script = knownServers();
        assertEquals("a", script.lastServer(script.offer(0, 0)));
        assertEquals("b", script.lastServer(script.offer(0, 1)));
    }

    @Test
    void silentServerIsTestedOnceAndCallsGoElsewhere() {
        PolicyScript script = knownServers();
        script.offer(0, 0);
        script.run(400);
        assertEquals("a", script.lastServer(script.offer(0, 0)));
        script.run(20);
        assertEquals("b", script.lastServer(script.offer(0, 0)));
    }

    @Test
    void longWaitStopsLowerRanksFirst() {
        PolicyScript script = knownServers();
        script.establishAfterWait("a", 330);
        script.establishAfterWait("b", 330);
        assertFalse(script.isAttemptPending(script.offer(0, 0)));
        assertTrue(script.isAttemptPending(script.offer(1, 0)));
    }

    @Test
    void stoppedServerReopensAtAbatement() {
        PolicyScript script = knownServers();
        script.establishAfterWait("a", 600);
        assertEquals("b", script.lastServer(script.offer(0, 0)));
        script.establish(script.lastCallId(), QUICK_ANSWER_MS);
        script.run(1500);
        assertEquals("a", script.lastServer(script.offer(0, 0)));
    }

    @Test
    void callIsRefusedAtOnceWhenAllServersArePastDiscard() {
        PolicyScript script = knownServers();
        script.establishAfterWait("a", 3000);
        script.establishAfterWait("b", 3000);
        assertTrue(script.isRefused(script.offer(0, 0)));
    }

    @Test
    void callIsHeldBetweenOnsetAndDiscardAndThenSent() {
        PolicyScript script = knownServers();
        script.establishAfterWait("a", 300);
        script.establishAfterWait("b", 300);
        long held = script.offer(0, 0);
        assertFalse(script.isAttemptPending(held) || script.isRefused(held));
        script.run(600);
        assertTrue(script.isAttemptPending(held));
    }

    @Test
    void heldCallsOfHigherWorthGoFirst() {
        PolicyScript script = knownServers();
        script.rejectAsFull("a");
        script.rejectAsFull("b");
        long lowWorth = script.offer(0, 0);
        long highWorth = script.offer(1, 0);
        script.run(3000);
        assertTrue(script.firstSentAt(highWorth) <= script.firstSentAt(lowWorth) || script.isRefused(lowWorth));
    }

    @Test
    void congestedServerHasOneUnansweredSetUp() {
        PolicyScript script = knownServers();
        script.establishAfterWait("a", 330);
        script.establishAfterWait("b", 330);
        script.offer(1, 0);
        script.offer(1, 0);
        script.offer(1, 0);
        script.offer(1, 0);
        assertTrue(script.pendingAttempts("a") <= 1 && script.pendingAttempts("b") <= 1);
    }

    @Test
    void fullServerIsNotTriedAgainAtOnceByTheSameCall() {
        PolicyScript script = knownServers();
        long callId = script.offer(0, 0);
        script.endAttempt(callId, AttemptStatus.FULL, RejectReason.PROCESSOR_FULL);
        assertEquals("b", script.lastServer(callId));
        assertEquals(2, script.attemptCount(callId));
    }

    @Test
    void retryAfterIsHonoured() {
        PolicyScript script = knownServers();
        script.rejectWithRetryAfter(script.offer(1, 0), 5000);
        script.establish(script.lastCallId(), QUICK_ANSWER_MS);
        script.run(3000);
        assertEquals("b", script.lastServer(script.offer(1, 0)));
    }

    @Test
    void resetCallIsRetriedOnlyAfterReleaseGuard() {
        PolicyScript script = knownServers();
        long callId = script.offer(0, 0);
        script.endAttempt(callId, AttemptStatus.RESET, RejectReason.NONE);
        assertEquals(1, script.attemptCount(callId));
        script.run(295);
        assertEquals(1, script.attemptCount(callId));
        script.run(100);
        assertEquals(2, script.attemptCount(callId));
    }

    @Test
    void callNeverHasTwoPendingAttempts() {
        PolicyScript script = knownServers();
        for (int i = 0; i < 200; i++) {
            script.offer(i % 2, i % 2);
            script.run(37);
        }
        script.run(10_000);
        assertTrue(script.maxAttemptsPerCall() <= 1);
        assertTrue(script.overdueCalls().isEmpty(), () -> "unanswered: " + script.overdueCalls());
    }

    @Test
    void everyCallIsAnsweredInTimeWhenNoServerAnswers() {
        PolicyScript script = new PolicyScript(PolicyScript.settings().build()).listServers("a", "b");
        for (int i = 0; i < 100; i++) {
            script.offer(i % 2, i % 2);
            script.run(50);
        }
        script.run(5_000);
        assertTrue(script.overdueCalls().isEmpty(), () -> "unanswered: " + script.overdueCalls());
    }

    @Test
    void callIsRefusedAtOnceWithoutServers() {
        PolicyScript script = new PolicyScript(PolicyScript.settings().build());
        assertTrue(script.isRefused(script.offer(0, 0)));
    }

    @Test
    void drainingAndGoneServersGetNoCalls() {
        PolicyScript script = knownServers();
        script.updateServer("a", ServerState.DRAINING);
        assertEquals("b", script.lastServer(script.offer(0, 0)));
        script.establish(script.lastCallId(), QUICK_ANSWER_MS);
        script.updateServer("b", ServerState.GONE);
        assertTrue(script.isRefused(script.offer(0, 1)));
    }

    @Test
    void coldServerGetsOneUnansweredSetUpAtATime() {
        PolicyScript script = knownServers();
        script.restartServer("a");
        for (int i = 0; i < 10; i++) {
            script.offer(1, 0);
            script.run(20);
            assertTrue(script.pendingAttempts("a") <= 1);
        }
    }

    @Test
    void unreachableServerIsAvoidedBeforeServerListUpdate() {
        PolicyScript script = knownServers();
        script.endAttempt(script.offer(0, 0), AttemptStatus.UNREACHABLE, RejectReason.NONE);
        script.endAttempt(script.offer(0, 0), AttemptStatus.UNREACHABLE, RejectReason.NONE);
        assertEquals("b", script.lastServer(script.offer(0, 0)));
    }

    @Test
    void serverThatAnswersAgainIsTreatedAsCold() {
        PolicyScript script = knownServers();
        for (int i = 0; i < 3; i++) {
            script.endAttempt(script.offer(0, 0), AttemptStatus.UNREACHABLE, RejectReason.NONE);
        }
        script.run(1500);
        script.answerProbe("a");
        for (int i = 0; i < 10; i++) {
            script.offer(1, 0);
        }
        assertTrue(script.pendingAttempts("a") <= 1);
    }

    @Test
    void resetsOfOvertakenSetUpsDoNotCloseServer() {
        PolicyScript script = knownServers();
        long first = script.offer(1, 0);
        long second = script.offer(1, 0);
        script.run(5);
        script.establish(script.offer(0, 0), QUICK_ANSWER_MS);
        script.endAttempt(first, AttemptStatus.RESET, RejectReason.NONE);
        script.endAttempt(second, AttemptStatus.RESET, RejectReason.NONE);
        for (int i = 0; i < 4; i++) {
            assertEquals("a", script.lastServer(script.offer(0, 0)));
        }
    }

    @Test
    void overtakenSetUpIsCancelledAsLost() {
        PolicyScript script = knownServers();
        long lost = script.offer(0, 0);
        script.run(60);
        script.establish(script.offer(0, 0), QUICK_ANSWER_MS);
        script.run(40);
        assertTrue(script.isCancelled(lost));
        assertEquals("a", script.lastServer(script.offer(0, 0)));
    }

    @Test
    void waitProvedBySilenceRemainsAfterTimeout() {
        PolicyScript script = knownServers();
        long callId = script.offer(1, 0);
        script.run(900);
        script.endAttempt(callId, AttemptStatus.TIMED_OUT, RejectReason.NONE);
        assertNotEquals("a", script.lastServer(script.offer(0, 0)));
    }

    @Test
    void heldCallLosesItsRankPastItsAim() {
        PolicyScript script = knownServers();
        script.establishAfterWait("a", 400);
        script.establishAfterWait("b", 400);
        long pastAim = script.offer(0, 0);
        script.run(1200);
        long beforeAim = script.offer(0, 1);
        script.run(1500);
        assertTrue(
                script.firstSentAt(beforeAim) < script.firstSentAt(pastAim),
                script.firstSentAt(beforeAim) + " " + script.firstSentAt(pastAim));
    }

    @Test
    void newServerGetsOneSetUpAtATime() {
        PolicyScript script = knownServers().listServers("a", "b", "c");
        for (int i = 0; i < 6; i++) {
            script.offer(1, 2);
        }
        assertEquals(1, script.pendingAttempts("c"));
    }

    @Test
    void serverThatRejectsEverythingAttractsFewCalls() {
        PolicyScript script = knownServers();
        int rejected = 0;
        for (int i = 0; i < 40; i++) {
            long callId = script.offer(0, 0);
            if ("a".equals(script.lastServer(callId))) {
                script.endAttempt(callId, AttemptStatus.FULL, RejectReason.PROCESSOR_FULL);
                rejected++;
            }
            script.establish(callId, QUICK_ANSWER_MS);
            script.run(100);
        }
        assertTrue(rejected >= 1 && rejected <= 5, rejected + " of 40");
    }

    @Test
    void lastFreeLinesAreReservedForCallsOfHigherWorth() {
        PolicyScript script = knownServers();
        script.reportLines("a", 3, 100);
        assertEquals("b", script.lastServer(script.offer(0, 0)));
        assertEquals("a", script.lastServer(script.offer(1, 0)));
    }

    @Test
    void serverWithoutFreeLinesIsAvoidedUntilNextReport() {
        PolicyScript script = knownServers();
        script.endAttempt(script.offer(1, 0), AttemptStatus.FULL, RejectReason.NO_LINE);
        assertEquals("b", script.lastServer(script.offer(1, 0)));
        script.establish(script.lastCallId(), QUICK_ANSWER_MS);
        script.reportLines("a", 50, 100);
        assertEquals("a", script.lastServer(script.offer(1, 0)));
    }

    @Test
    void estimateAboveWaitBudgetDecaysMoreSlowly() {
        PolicyScript script = knownServers();
        script.establishAfterWait("a", 2000);
        script.run(2100);
        assertEquals("b", script.lastServer(script.offer(0, 0)));
        script.establish(script.lastCallId(), QUICK_ANSWER_MS);
        script.run(4000);
        assertEquals("a", script.lastServer(script.offer(0, 0)));
    }

    @Test
    void failedServerListRequestIsRepeatedAfterDelay() {
        PolicyScript script = new PolicyScript(PolicyScript.settings().build());
        script.failServerList();
        assertFalse(script.log().contains("follow"));
        script.run(1100);
        assertTrue(script.log().contains("follow"));
    }

    @Test
    void sourceKeepsLimitsOfLineCountAndLength() throws java.io.IOException {
        java.nio.file.Path source = java.nio.file.Path.of("src/main/java/damsonseam/CongestionControlPolicy.java");
        long lines = java.nio.file.Files.readAllLines(source).size();
        assertTrue(lines <= 1_300, lines + " lines");
        assertTrue(java.nio.file.Files.readAllLines(source).stream().allMatch(l -> l.length() <= 120));
    }

    @Test
    void oneSetUpIsSentAfterAbatementUntilAShortWaitIsSeen() {
        PolicyScript script = knownServers();
        script.establishAfterWait("a", 300);
        assertEquals("b", script.lastServer(script.offer(0, 0)));
        script.establish(script.lastCallId(), QUICK_ANSWER_MS);
        script.run(1500);
        long first = script.offer(1, 0);
        script.offer(1, 0);
        assertEquals(1, script.pendingAttempts("a"));
        script.establish(first, QUICK_ANSWER_MS);
        assertTrue(script.isAttemptPending(script.offer(1, 0)));
    }

    @Test
    void busyNumberIsRefusedForLimitedTime() {
        PolicyScript script = knownServers();
        script.endAttempt(script.offerForNumber("7", 0), AttemptStatus.ERROR, RejectReason.NUMBER_BUSY);
        assertTrue(script.isRefused(script.offerForNumber("7", 0)));
        assertFalse(script.isRefused(script.offerForNumber("8", 0)));
        script.run(3000);
        assertFalse(script.isRefused(script.offerForNumber("7", 0)));
    }

    @Test
    void callCancelledAfterItWasEstablishedIsFailed() {
        PolicyScript script = knownServers();
        long callId = script.offer(0, 0);
        script.establishThenCancel(callId);
        assertTrue(script.isFailed(callId));
    }

    @Test
    void noAttemptIsCancelledBeforeTheBatchEnds() {
        PolicyScript script = knownServers();
        long lost = script.offer(0, 0);
        script.run(60);
        script.establishTogether(script.offer(0, 0), lost);
        script.run(40);
        assertFalse(script.isCancelled(lost));
    }

    @Test
    void pauseOfTheFrontIsNotCountedAsServerWait() {
        PolicyScript script = knownServers();
        long callId = script.offer(0, 0);
        script.pause(1500);
        script.establish(callId, 1500);
        assertEquals("a", script.lastServer(script.offer(0, 0)));
    }

    @Test
    void cancelledSetUpOfAbandonedCallLeavesNoState() {
        PolicyScript script = knownServers();
        script.abandonThenEnd(script.offer(0, 0), AttemptStatus.CANCELLED);
        script.run(5000);
        assertEquals("a", script.lastServer(script.offer(0, 0)));
        assertEquals("a", script.lastServer(script.offer(0, 0)));
    }

    @Test
    void unmarkedRedialOfRefusedCallCountsAsLate() {
        PolicyScript script = knownServers();
        script.establishAfterWait("a", 700);
        script.establishAfterWait("b", 700);
        assertTrue(script.isRefused(script.offerForNumber("7", 0)));
        for (int i = 0; i < 6; i++) {
            script.run(1000);
            script.establishCall(0, QUICK_ANSWER_MS);
            script.establishCall(1, QUICK_ANSWER_MS);
        }
        script.run(1500);
        script.reportLines("a", 22, 1000);
        script.reportLines("b", 22, 1000);
        assertFalse(script.isAttemptPending(script.offerForNumber("7", 0)));
        assertTrue(script.isAttemptPending(script.offerForNumber("8", 0)));
    }

    @Test
    void overflowGoesToLargeServersBeforeSmallOnes() {
        PolicyScript script = new PolicyScript(PolicyScript.settings().build()).listServers("full", "large", "small");
        script.reportLines("full", 0, 1000);
        script.reportLines("large", 200, 1000);
        script.reportLines("small", 40, 50);
        for (int i = 0; i < 60; i++) {
            for (int server = 1; server < 3; server++) {
                script.establishCall(server, QUICK_ANSWER_MS);
            }
        }
        int sentToLarge = 0;
        for (int i = 0; i < 40; i++) {
            script.reportLines("full", 0, 1000);
            script.reportLines("large", 200, 1000);
            script.reportLines("small", 40, 50);
            long callId = script.offer(1, 0);
            sentToLarge += "large".equals(script.lastServer(callId)) ? 1 : 0;
            script.run(QUICK_ANSWER_MS);
            script.establish(callId, QUICK_ANSWER_MS);
        }
        assertTrue(sentToLarge >= 35, sentToLarge + " of 40");
    }

    @Test
    void attemptsPerCallAreLimited() {
        PolicyScript script = knownServers();
        long callId = script.offer(0, 0);
        for (int i = 0; i < 3; i++) {
            script.endAttempt(callId, AttemptStatus.NOT_SENT, RejectReason.NONE);
            script.run(100);
        }
        assertTrue(script.attemptCount(callId) <= 3);
        assertTrue(script.isFailed(callId));
    }

    @Test
    void sameEventsCauseSameActions() {
        assertEquals(runMixedTraffic(1).log(), runMixedTraffic(1).log());
        assertNotEquals("", runMixedTraffic(1).log());
    }

    @Test
    void callsAreAnsweredInTimeWithEmptySettings() {
        PolicyScript script = new PolicyScript(PolicyScript.settings().buildEmpty()).listServers("a");
        for (int i = 0; i < 50; i++) {
            script.offer(0, 0);
            script.run(100);
        }
        script.run(5_000);
        assertTrue(script.overdueCalls().isEmpty());
    }

    private static PolicyScript runMixedTraffic(int seed) {
        PolicyScript script = new PolicyScript(PolicyScript.settings().buildWithSeed(seed)).listServers("a", "b", "c");
        for (int i = 0; i < 300; i++) {
            long callId = script.offer(i % 2, i % 3);
            if (i % 4 != 0 && script.isAttemptPending(callId)) {
                script.establish(callId, 30 + i % 50);
            }
            script.run(11);
        }
        return script;
    }
}
