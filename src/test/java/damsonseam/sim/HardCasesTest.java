package damsonseam.sim;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.RoutingPolicy.ServerState;
import damsonseam.sim.SimulatedFront.Mode;
import damsonseam.sim.SimulatedFront.Reply;
import damsonseam.sim.SimulatedFront.Sent;
import damsonseam.ss7.IsupMessage;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/** The hard cases of a whole front, each on a clock of its own. */
class HardCasesTest {
    private static final String TO_S0 = "59821000000001";
    private static final String SIGNING = "59828000000001";
    private static final double PATIENCE = 3_000;
    private static final double SLACK = 20;
    private final SimulatedFront front = new SimulatedFront();

    private String only() {
        assertEquals(1, front.replies.size(), "answers");
        return SimulatedFront.kind(front.replies.get(0));
    }

    /** Fills the module's knowledge of the servers, so that it does not hold them for new ones. */
    private void warm(int calls) {
        for (int i = 0; i < calls; i++) {
            front.ask("warm", i, "598210" + String.format("%08d", i));
            front.run(20);
        }
        front.replies.clear();
        front.sent.clear();
    }

    @Test
    void aCallIsLookedUpSetUpAndAnswered() {
        front.start("s0", "s1");
        front.ask("desk", 1, TO_S0);
        front.run(100);
        assertEquals("stands s0", only());
        assertEquals(1, front.setUps(null).size());
    }

    /** The DNS answer comes after the caller's time: the call has failed by then, and nothing is set up. */
    @Test
    void dnsAnswerAfterTheCallersTime() {
        front.dnsDelay = 3_500;
        front.start("s0", "s1");
        double asked = front.now;
        front.ask("desk", 1, TO_S0);
        front.run(5_000);
        assertEquals("failed", only());
        assertTrue(front.replies.get(0).at() <= asked + PATIENCE);
        assertTrue(front.setUps(null).isEmpty());
    }

    /** The DNS answer comes between two retransmissions: one call, one set-up, the same answer for both. */
    @Test
    void dnsAnswerBetweenTwoRetransmissions() {
        front.dnsDelay = 150;
        front.start("s0", "s1");
        front.ask("desk", 1, TO_S0);
        front.later(100, () -> front.ask("desk", 1, TO_S0));
        front.later(400, () -> front.ask("desk", 1, TO_S0));
        front.run(1_000);
        assertEquals(1, front.setUps(null).size());
        assertEquals(2, front.replies.size());
        assertArrayEquals(front.replies.get(0).octets(), front.replies.get(1).octets());
    }

    @Test
    void theSameIdFromAnotherPortIsAnotherCall() {
        front.start("s0", "s1");
        front.ask("desk:1", 1, TO_S0);
        front.ask("desk:2", 1, TO_S0);
        front.run(500);
        assertEquals(2, front.replies.size());
        assertNotEquals(front.replies.get(0).to(), front.replies.get(1).to());
    }

    /** The calculator starts draining after the set-up went out and before its answer: that call stands. */
    @Test
    void drainBetweenSetUpAndAnswer() {
        front.answerDelay = 200;
        front.start("s0", "s1");
        front.ask("desk", 1, TO_S0);
        front.run(100);
        front.news("s0", 0, ServerState.DRAINING, OptionalDouble.empty());
        front.run(200);
        assertEquals("stands s0", only());
        front.ask("desk", 2, "59821000000002");
        front.run(300);
        assertEquals(1, front.setUps("s0").size(), "nothing new goes to a draining calculator");
        assertEquals("stands s1", SimulatedFront.kind(front.replies.get(1)));
    }

    /** Drain news in the same read as an answer: the answer counts, the next call goes elsewhere at once. */
    @Test
    void drainInTheSameTurnAsAnAnswer() {
        front.answerDelay = 50;
        front.start("s0", "s1");
        front.ask("desk", 1, TO_S0);
        front.run(10);
        double answerAt = front.setUps("s0").get(0).at() + 50;
        front.later(answerAt - front.now, () -> front.news("s0", 0, ServerState.DRAINING, OptionalDouble.empty()));
        front.later(answerAt - front.now, () -> front.ask("desk", 2, "59821000000002"));
        front.run(200);
        assertEquals("stands s0", SimulatedFront.kind(front.replies.get(0)));
        assertEquals(1, front.setUps("s0").size());
        assertEquals(1, front.setUps("s1").size());
    }

    /** The connection is reset with the set-up out: it is tried elsewhere, not before the guard has passed. */
    @Test
    void connectionResetWithASetUpOut() {
        front.modes.put("s0", Mode.SILENT);
        front.start("s0", "s1");
        front.ask("desk", 1, TO_S0);
        front.run(50);
        assertEquals(1, front.setUps("s0").size());
        double cutAt = front.now;
        front.cut("s0");
        front.run(1_000);
        assertEquals("stands s1", only());
        assertTrue(front.setUps("s1").get(0).at() >= cutAt + 300);
    }

    /** The release complete is lost: the call is answered all the same, and its circuit stays taken. */
    @Test
    void releaseCompleteLost() {
        front.modes.put("s0", Mode.SILENT);
        front.losesCompletes = true;
        front.start("s0");
        front.ask("desk", 1, TO_S0);
        front.run(3_100);
        assertEquals("failed", only());
        assertEquals(0, front.router().openCalls());
        assertEquals(1, front.trunks("s0").busyCircuits());
        front.losesCompletes = false;
        front.run(15_100);
        assertEquals(0, front.trunks("s0").busyCircuits(), "released when asked for again");
    }

    @Test
    void theCalculatorsReleaseEndsAStandingCall() {
        front.start("s0");
        front.ask("desk", 1, TO_S0);
        front.run(50);
        assertEquals(1, front.trunks("s0").busyCircuits());
        front.from(
                "s0",
                damsonseam.ss7.IsupMessages.release(
                        front.setUps("s0").get(0).message().circuit(), IsupMessage.NORMAL_CLEARING));
        front.run(10);
        assertEquals(0, front.trunks("s0").busyCircuits());
        assertEquals(0, front.router().openCalls());
        assertEquals("stands s0", only());
    }

    /** An answer that comes after our release does not make a call stand that its caller was told has failed. */
    @Test
    void answerAfterOurRelease() {
        front.modes.put("s0", Mode.SILENT);
        front.start("s0");
        front.ask("desk", 1, TO_S0);
        front.run(3_100);
        assertEquals("failed", only());
        Sent setUp = front.setUps("s0").get(0);
        assertEquals(
                1,
                front.sent.stream()
                        .filter(s -> s.message().type() == IsupMessage.Type.REL)
                        .count());
        front.from("s0", IsupMessage.of(setUp.message().circuit(), IsupMessage.Type.ANM));
        front.run(500);
        assertEquals(1, front.replies.size());
    }

    /** A calculator restarted behind the same address gets no more than its cold share, whatever is offered. */
    @Test
    void aRestartBehindTheSameAddressIsTreatedAsCold() {
        front.start("s0", "s1");
        warm(60);
        front.news("s0", 0, ServerState.RUNNING, OptionalDouble.of(front.now));
        double restarted = front.now;
        for (int i = 0; i < 200; i++) {
            front.ask("desk", i, String.format("598210%08d", 1_000 + i));
            front.run(2);
        }
        long firstMoment =
                front.setUps("s0").stream().filter(s -> s.at() < restarted + 50).count();
        assertTrue(firstMoment <= 2, firstMoment + " set-ups in the first 50 ms after a restart");
        assertTrue(front.setUps("s1").size() > front.setUps("s0").size());
    }

    /** The directory says running, but there is no connection: calls go elsewhere and each is answered. */
    @Test
    void directoryAndConnectionDisagree() {
        front.start("s0", "s1");
        front.cut("s0");
        for (int i = 0; i < 20; i++) {
            front.ask("desk", i, String.format("598210%08d", i));
            front.run(100);
        }
        front.run(3_000);
        assertEquals(20, front.replies.size());
        assertTrue(front.setUps("s0").isEmpty());
        assertTrue(front.replies.stream()
                        .filter(r -> SimulatedFront.kind(r).equals("stands s1"))
                        .count()
                >= 18);
    }

    /** The directory says gone, but the connection lives: nothing new goes there, calls run on. */
    @Test
    void goneByTheDirectoryWhileTheConnectionLives() {
        front.start("s0", "s1");
        front.ask("desk", 1, TO_S0);
        front.run(50);
        front.news("s0", 0, ServerState.GONE, OptionalDouble.empty());
        front.run(10);
        front.ask("desk", 2, "59821000000002");
        front.run(100);
        assertEquals(1, front.setUps("s0").size());
        assertEquals(2, front.router().openCalls());
    }

    /**
     * The front stands still for two seconds and then everything comes at once: who still waits is answered in
     * time, who has gone is not set up, and an answer that ran past its caller's time does not stand.
     */
    @Test
    void stalledTwoSecondsThenEverythingAtOnce() {
        front.modes.put("s0", Mode.SILENT);
        front.start("s0", "s1");
        front.ask("early", 1, SIGNING);
        front.run(300);
        int before = front.setUps(null).size();
        assertEquals(1, before);
        Sent early = front.setUps(null).get(0);
        double stallFrom = front.now;
        front.later(
                1_950,
                () -> front.from(early.server(), IsupMessage.of(early.message().circuit(), IsupMessage.Type.ANM)));
        for (int i = 0; i < 50; i++) {
            int id = 100 + i;
            front.later(i * 39, () -> front.ask("late", id, String.format("598211%08d", id)));
        }
        front.stall(2_000);
        front.run(3_000);
        assertEquals(51, front.replies.size());
        for (Reply reply : front.replies) {
            boolean late = reply.to().equals("late");
            // Those asked in the first moment of the stall give up three seconds later.
            double givesUp = late ? stallFrom + PATIENCE : Double.MAX_VALUE;
            assertTrue(reply.at() <= givesUp + SLACK, SimulatedFront.kind(reply) + " at " + reply.at());
        }
    }

    /** An answer read after a stall that outlasted its caller is released and does not stand. */
    @Test
    void anAnswerThatOutlastedItsCallerDoesNotStand() {
        front.modes.put("s0", Mode.SILENT);
        front.start("s0");
        front.ask("early", 1, SIGNING);
        front.run(1_000);
        Sent setUp = front.setUps(null).get(0);
        front.later(1_900, () -> front.from("s0", IsupMessage.of(setUp.message().circuit(), IsupMessage.Type.ANM)));
        front.stall(2_000);
        front.run(100);
        assertEquals("failed", only());
        assertEquals(
                IsupMessage.Type.REL,
                front.sent.get(front.sent.size() - 1).message().type());
    }

    /** Two thousand callers in one turn: one final answer each, in time, and never two attempts out. */
    @Test
    void twoThousandCallersInOneTurn() {
        front.start("s0", "s1", "s2");
        double asked = front.now;
        for (int i = 0; i < 2_000; i++) {
            front.ask("desk:" + i, i, String.format("59821%d%08d", i % 3, i));
        }
        front.run(3_200);
        assertEquals(2_000, front.replies.size());
        Map<Object, Integer> each = new HashMap<>();
        front.replies.forEach(r -> each.merge(r.to(), 1, Integer::sum));
        assertTrue(each.values().stream().allMatch(n -> n == 1));
        assertTrue(front.replies.stream().allMatch(r -> r.at() <= asked + PATIENCE));
        assertTrue(front.replies.stream().anyMatch(r -> SimulatedFront.kind(r).startsWith("stands")));
    }

    /** A full call table refuses the next call at once, with advice, and takes calls again when one is over. */
    @Test
    void callTableFull() {
        front.mostCalls = 3;
        front.modes.put("s0", Mode.SILENT);
        front.start("s0");
        for (int i = 0; i < 4; i++) {
            front.ask("desk", i, String.format("598210%08d", i));
        }
        assertEquals("refused", only());
        assertEquals(1, front.router().counters().refusedTableFull);
        front.run(3_100);
        assertEquals(4, front.replies.size());
        front.ask("desk", 9, TO_S0);
        front.run(1);
        assertEquals(4, front.replies.size(), "taken, not refused");
    }

    /** Under pressure the cheap are stopped before the dear. */
    @Test
    void theDearGoFirstWhereAnswersAreSlow() {
        front.start("s0");
        warm(60);
        front.answerDelay = 450;
        for (int i = 0; i < 40; i++) {
            front.ask("cheap", i, String.format("598210%08d", 5_000 + i));
            front.ask("dear", i, String.format("598280%08d", 5_000 + i));
            front.run(25);
        }
        long cheap = front.setUps(null).stream()
                .filter(s -> SimulatedFront.number(s).startsWith("59821"))
                .count();
        long dear = front.setUps(null).stream()
                .filter(s -> SimulatedFront.number(s).startsWith("59828"))
                .count();
        assertTrue(dear > cheap, dear + " dear, " + cheap + " cheap");
    }

    /** No attempt of a call is out while another is, and none follows a bad end within the guard. */
    @Test
    void attemptsOfACallKeepTheirDistance() {
        front.start("s0", "s1", "s2");
        front.modes.put("s0", Mode.TURN_AWAY);
        front.modes.put("s1", Mode.SILENT);
        for (int i = 0; i < 100; i++) {
            front.ask("desk", i, String.format("59821%d%08d", i % 3, i));
            front.run(11);
            if (i == 50) {
                front.cut("s1");
            }
        }
        front.run(3_500);
        assertEquals(100, front.replies.size());
        Map<String, List<Sent>> byNumber = new HashMap<>();
        front.setUps(null)
                .forEach(s -> byNumber.computeIfAbsent(SimulatedFront.number(s), n -> new java.util.ArrayList<>())
                        .add(s));
        for (List<Sent> tries : byNumber.values()) {
            for (int i = 1; i < tries.size(); i++) {
                boolean turnedAway = tries.get(i - 1).server().equals("s0");
                double gap = tries.get(i).at() - tries.get(i - 1).at();
                assertTrue(gap >= (turnedAway ? 10 : 300), "sent again after " + gap + " ms");
            }
        }
    }

    /** A release that is slow on its way: the guard runs from the proof that it has arrived. */
    @Test
    void theGuardRunsFromTheProofOfTheRelease() {
        double gap = leastGapAfterRelease(40, false);
        assertTrue(gap >= 39 && gap < SimulatedFront.RELEASE_WAIT, "guard and " + gap + " ms");
    }

    /** No proof comes: after the time it is waited for the guard runs without it. */
    @Test
    void theGuardRunsWithoutProofAfterTheWait() {
        double gap = leastGapAfterRelease(1, true);
        assertTrue(
                gap >= SimulatedFront.RELEASE_WAIT && gap < 2 * SimulatedFront.RELEASE_WAIT,
                "guard and " + gap + " ms");
        assertTrue(front.router().counters().unconfirmedReleases > 0);
    }

    /** The least time from a release to the next set-up of the same call, beyond the guard. */
    private double leastGapAfterRelease(double completeDelay, boolean lost) {
        front.completeDelay = completeDelay;
        front.losesCompletes = lost;
        front.modes.put("s0", Mode.SILENT);
        front.start("s0", "s1");
        for (int i = 0; i < 40; i++) {
            front.ask("desk", i, String.format("598210%08d", i));
            front.run(25);
        }
        front.run(4_000);
        Map<Integer, String> numbers = new HashMap<>();
        Map<String, Double> releasedAt = new HashMap<>();
        double least = Double.MAX_VALUE;
        for (Sent s : front.sent) {
            if (s.message().type() == IsupMessage.Type.REL && s.server().equals("s0")) {
                releasedAt.put(numbers.get(s.message().circuit()), s.at());
            } else if (s.message().type() == IsupMessage.Type.IAM) {
                if (s.server().equals("s0")) {
                    numbers.put(s.message().circuit(), SimulatedFront.number(s));
                }
                Double released = releasedAt.remove(SimulatedFront.number(s));
                least = released == null ? least : Math.min(least, s.at() - released - 300);
            }
        }
        return least;
    }

    @Test
    void aDrainingFrontRefusesNewCallsAndEndsTheOpenOnes() {
        front.answerDelay = 100;
        front.start("s0");
        front.ask("desk", 1, TO_S0);
        front.run(20);
        front.router().startDraining();
        front.ask("desk", 2, "59821000000002");
        assertEquals("refused", only());
        front.run(200);
        assertEquals("stands s0", SimulatedFront.kind(front.replies.get(1)));
        assertEquals(0, front.router().countUnansweredCalls());
    }
}
