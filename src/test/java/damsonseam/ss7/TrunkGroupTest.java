package damsonseam.ss7;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.RoutingPolicy.AttemptStatus;
import damsonseam.RoutingPolicy.RejectReason;
import damsonseam.RoutingPolicy.ServerLoadReport;
import damsonseam.core.CircuitAllocator;
import damsonseam.core.TimerWheel;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class TrunkGroupTest {
    private static final String NUMBER = "59821000000001";
    private final TimerWheel timers = new TimerWheel(0);
    private final List<IsupMessage> sent = new ArrayList<>();
    private final List<String> told = new ArrayList<>();
    private final List<String> releases = new ArrayList<>();
    private final TrunkGroup group = group(4, true);

    private TrunkGroup group(int size, boolean controlsEven) {
        TrunkGroup made = new TrunkGroup(
                new CircuitAllocator(size, controlsEven),
                timers,
                new TrunkGroup.TimerValues(1_000, 5_000, 2_000),
                9,
                new TrunkGroup.Output() {
                    @Override
                    public void send(IsupMessage message) {
                        sent.add(message);
                    }

                    @Override
                    public void onAnswered(double now, long call, int attempt, ServerLoadReport report) {
                        told.add("stands " + call + "/" + attempt);
                    }

                    @Override
                    public void onOutcome(
                            double now,
                            long call,
                            int attempt,
                            AttemptStatus result,
                            RejectReason reason,
                            OptionalDouble toldWait,
                            ServerLoadReport report) {
                        told.add("ended " + call + "/" + attempt + " " + result + " " + reason);
                    }

                    @Override
                    public void onReleaseComplete(double now, long call, int attempt) {
                        releases.add(call + "/" + attempt);
                    }
                });
        made.onConnectionUp(0);
        return made;
    }

    private IsupMessage last() {
        return sent.get(sent.size() - 1);
    }

    private String lastSent() {
        return last().type() + " " + last().circuit();
    }

    private int setUp(long call) {
        assertTrue(group.setUp(call, 0, NUMBER, 10));
        return last().circuit();
    }

    private void from(int circuit, IsupMessage.Type type) {
        group.onMessage(1, IsupMessage.of(circuit, type));
    }

    @Test
    void aCircuitIsTakenFromItsSetUpUntilItsReleaseIsComplete() {
        int circuit = setUp(1);
        from(circuit, IsupMessage.Type.ANM);
        group.onMessage(2, IsupMessages.release(circuit, IsupMessage.NORMAL_CLEARING));
        assertEquals(List.of("stands 1/0", "ended 1/0 COMPLETED NONE"), told);
        assertEquals("RLC " + circuit, lastSent());
        assertEquals(4, group.freeCircuits());
    }

    @Test
    void causesBecomeTheModulesResults() {
        int[][] causes = {
            {IsupMessage.NO_CIRCUIT_AVAILABLE},
            {IsupMessage.SWITCHING_EQUIPMENT_CONGESTION},
            {IsupMessage.USER_BUSY},
            {IsupMessage.TEMPORARY_FAILURE}
        };
        String[] results = {"FULL NO_LINE", "FULL PROCESSOR_FULL", "ERROR NUMBER_BUSY", "ERROR NONE"};
        for (int i = 0; i < causes.length; i++) {
            int circuit = setUp(i);
            group.onMessage(2, IsupMessages.release(circuit, causes[i][0]));
            assertEquals("ended " + i + "/0 " + results[i], told.get(i));
        }
    }

    @Test
    void aCongestionLevelMakesAFaultANoticeOfPressureButNotAShortLine() {
        int circuit = setUp(1);
        group.onMessage(
                2,
                IsupMessages.release(circuit, IsupMessage.TEMPORARY_FAILURE, IsupMessages.automaticCongestionLevel(1)));
        circuit = setUp(2);
        group.onMessage(
                2,
                IsupMessages.release(
                        circuit, IsupMessage.NO_CIRCUIT_AVAILABLE, IsupMessages.automaticCongestionLevel(2)));
        assertEquals(List.of("ended 1/0 FULL PROCESSOR_FULL", "ended 2/0 FULL NO_LINE"), told);
    }

    /** Hard case: an answer that comes after our release changes nothing, and the circuit waits for its RLC. */
    @Test
    void anAnswerAfterOurReleaseIsPassedOver() {
        int circuit = setUp(1);
        group.release(5, 1, 0, IsupMessage.RECOVERY_ON_TIMER_EXPIRY);
        assertEquals("REL " + circuit, lastSent());
        from(circuit, IsupMessage.Type.ANM);
        assertTrue(told.isEmpty());
        assertEquals(1, group.lateAnswers());
        assertEquals(3, group.freeCircuits());
        from(circuit, IsupMessage.Type.RLC);
        assertEquals(4, group.freeCircuits());
    }

    /** Hard case: the RLC is lost. The release goes out again, then the circuit is reset, then it is idle. */
    @Test
    void aLostReleaseCompleteIsAskedForAgainAndThenReset() {
        int circuit = setUp(1);
        group.release(0, 1, 0, IsupMessage.NORMAL_CLEARING);
        int before = sent.size();
        timers.poll(1_010);
        assertEquals("REL " + circuit, lastSent());
        assertEquals(before + 1, sent.size());
        for (double now = 1_500; now <= 7_000; now += 100) {
            timers.poll(now);
        }
        assertEquals("RSC " + circuit, lastSent());
        assertEquals(3, group.freeCircuits());
        from(circuit, IsupMessage.Type.RLC);
        assertEquals(4, group.freeCircuits());
        assertEquals(0, timers.size());
    }

    @Test
    void releasesThatCrossLeaveTheCircuitIdle() {
        int circuit = setUp(1);
        group.release(0, 1, 0, IsupMessage.NORMAL_CLEARING);
        group.onMessage(1, IsupMessages.release(circuit, IsupMessage.USER_BUSY));
        assertTrue(told.isEmpty());
        assertEquals(4, group.freeCircuits());
        from(circuit, IsupMessage.Type.RLC);
        assertEquals(4, group.freeCircuits());
    }

    /** Hard case: the connection dies with set-ups out. Each is told once, and its circuit is reset first. */
    @Test
    void aLostConnectionEndsEachAttemptOnceAndResetsItsCircuits() {
        int one = setUp(1);
        int two = setUp(2);
        from(two, IsupMessage.Type.ANM);
        told.clear();
        group.onConnectionLost(10);
        assertEquals(2, told.size());
        assertTrue(told.stream().allMatch(t -> t.endsWith("RESET NONE")));
        assertEquals(2, group.freeCircuits());
        sent.clear();
        group.onConnectionUp(500);
        assertEquals(
                2, sent.stream().filter(m -> m.type() == IsupMessage.Type.RSC).count());
        assertEquals(2, group.freeCircuits());
        from(one, IsupMessage.Type.RLC);
        from(two, IsupMessage.Type.RLC);
        assertEquals(4, group.freeCircuits());
    }

    @Test
    void resetsAfterALostConnectionComeInAWindow() {
        TrunkGroup large = group(200, false);
        for (int call = 0; call < 150; call++) {
            large.setUp(call, 0, NUMBER, 10);
        }
        large.onConnectionLost(10);
        sent.clear();
        large.onConnectionUp(20);
        assertEquals(32, sent.size());
        for (int i = 0; i < sent.size(); i++) {
            large.onMessage(30, IsupMessage.of(sent.get(i).circuit(), IsupMessage.Type.RLC));
        }
        assertEquals(150, sent.size());
        assertEquals(200, large.freeCircuits());
    }

    /** Both ends seize: the end that controls the circuit goes on, the other gives way (Q.764 2.9.1.4). */
    @Test
    void dualSeizureIsWonByTheControllingEnd() {
        int own = setUp(1);
        assertEquals(0, own % 2);
        group.onMessage(1, IsupMessages.initialAddress(own, NUMBER, 10, 5, 1));
        assertTrue(told.isEmpty());
        setUp(2);
        int theirs = setUp(3);
        assertEquals(1, theirs % 2);
        group.onMessage(1, IsupMessages.initialAddress(theirs, NUMBER, 10, 6, 1));
        assertEquals(List.of("ended 3/0 FULL NO_LINE"), told);
        assertEquals("REL " + theirs, lastSent());
        assertEquals(2, group.dualSeizures());
    }

    @Test
    void theFarEndsResetCutsTheCallAndFreesTheCircuit() {
        int circuit = setUp(1);
        from(circuit, IsupMessage.Type.ANM);
        from(circuit, IsupMessage.Type.RSC);
        assertEquals("ended 1/0 RESET NONE", told.get(1));
        assertEquals("RLC " + circuit, lastSent());
        assertEquals(4, group.freeCircuits());
    }

    @Test
    void aGroupResetIsAcknowledgedOnceAndCutsItsRange() {
        setUp(1);
        setUp(2);
        sent.clear();
        group.onMessage(
                2,
                IsupMessage.of(
                        1, IsupMessage.Type.GRS, new IsupMessage.Parameter(IsupMessage.RANGE_AND_STATUS, new byte[] {3
                        })));
        assertEquals(2, told.size());
        assertEquals("GRA 1", lastSent());
        assertEquals(4, group.freeCircuits());
    }

    @Test
    void blockedCircuitsAreNotTaken() {
        for (int c = 1; c <= 4; c++) {
            from(c, IsupMessage.Type.BLO);
        }
        assertFalse(group.setUp(1, 0, NUMBER, 10));
        from(3, IsupMessage.Type.UBL);
        assertEquals(3, setUp(1));
    }

    /** Whatever comes in whatever order: no circuit leaks, and each attempt ends at most once. */
    @Property(tries = 400)
    void anyTenMessagesLeaveNoCircuitBehind(@ForAll @Size(max = 10) List<@IntRange(max = 199) Integer> events) {
        TrunkGroupTest t = new TrunkGroupTest();
        long call = 0;
        for (int event : events) {
            int circuit = event % 4 + 1;
            IsupMessage.Type type = IsupMessage.Type.values()[event / 4 % IsupMessage.Type.values().length];
            switch (event % 5) {
                case 0 -> t.group.setUp(call++, 0, NUMBER, 10);
                case 1 -> t.group.release(1, event % 3, 0, IsupMessage.NORMAL_CLEARING);
                default -> t.group.onMessage(1, message(circuit, type));
            }
        }
        for (int c = 1; c <= 4; c++) {
            t.group.onMessage(2, IsupMessage.of(c, IsupMessage.Type.UBL));
            t.group.onMessage(2, IsupMessage.of(c, IsupMessage.Type.RSC));
            t.group.onMessage(2, IsupMessage.of(c, IsupMessage.Type.RLC));
        }
        assertEquals(4, t.group.freeCircuits());
        assertEquals(0, t.group.busyCircuits());
        long ends =
                t.told.stream().filter(s -> s.startsWith("ended")).distinct().count();
        assertEquals(ends, t.told.stream().filter(s -> s.startsWith("ended")).count());
    }

    private static IsupMessage message(int circuit, IsupMessage.Type type) {
        return switch (type) {
            case IAM -> IsupMessages.initialAddress(circuit, NUMBER, 10, 1, 1);
            case REL, CFN -> IsupMessages.release(circuit, IsupMessage.NORMAL_CLEARING);
            default -> IsupMessage.of(circuit, type);
        };
    }
}
