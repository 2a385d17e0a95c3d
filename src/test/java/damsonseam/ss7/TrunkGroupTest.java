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
    private final List<Isup> sent = new ArrayList<>();
    private final List<String> told = new ArrayList<>();
    private final List<String> releases = new ArrayList<>();
    private final TrunkGroup group = group(4, true);

    private TrunkGroup group(int size, boolean controlsEven) {
        TrunkGroup made = new TrunkGroup(
                new CircuitAllocator(size, controlsEven),
                timers,
                new TrunkGroup.Times(1_000, 5_000, 2_000),
                9,
                new TrunkGroup.Output() {
                    @Override
                    public void send(Isup message) {
                        sent.add(message);
                    }

                    @Override
                    public void stands(double now, long call, int attempt, ServerLoadReport report) {
                        told.add("stands " + call + "/" + attempt);
                    }

                    @Override
                    public void ended(
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
                    public void released(double now, long call, int attempt) {
                        releases.add(call + "/" + attempt);
                    }
                });
        made.connectionUp(0);
        return made;
    }

    private Isup last() {
        return sent.get(sent.size() - 1);
    }

    private String lastSent() {
        return last().type() + " " + last().circuit();
    }

    private int setUp(long call) {
        assertTrue(group.setUp(call, 0, NUMBER, 10));
        return last().circuit();
    }

    private void from(int circuit, Isup.Type type) {
        group.received(1, Isup.of(circuit, type));
    }

    @Test
    void aCircuitIsTakenFromItsSetUpUntilItsReleaseIsComplete() {
        int circuit = setUp(1);
        from(circuit, Isup.Type.ANM);
        group.received(2, IsupMessages.release(circuit, Isup.NORMAL_CLEARING));
        assertEquals(List.of("stands 1/0", "ended 1/0 COMPLETED NONE"), told);
        assertEquals("RLC " + circuit, lastSent());
        assertEquals(4, group.free());
    }

    @Test
    void causesBecomeTheModulesResults() {
        int[][] causes = {{Isup.NO_CIRCUIT}, {Isup.SWITCH_CONGESTION}, {Isup.USER_BUSY}, {Isup.TEMPORARY_FAILURE}};
        String[] results = {"FULL NO_LINE", "FULL PROCESSOR_FULL", "ERROR NUMBER_BUSY", "ERROR NONE"};
        for (int i = 0; i < causes.length; i++) {
            int circuit = setUp(i);
            group.received(2, IsupMessages.release(circuit, causes[i][0]));
            assertEquals("ended " + i + "/0 " + results[i], told.get(i));
        }
    }

    @Test
    void aCongestionLevelMakesAFaultANoticeOfPressureButNotAShortLine() {
        int circuit = setUp(1);
        group.received(2, IsupMessages.release(circuit, Isup.TEMPORARY_FAILURE, IsupMessages.congestion(1)));
        circuit = setUp(2);
        group.received(2, IsupMessages.release(circuit, Isup.NO_CIRCUIT, IsupMessages.congestion(2)));
        assertEquals(List.of("ended 1/0 FULL PROCESSOR_FULL", "ended 2/0 FULL NO_LINE"), told);
    }

    /** Hard case: an answer that comes after our release changes nothing, and the circuit waits for its RLC. */
    @Test
    void anAnswerAfterOurReleaseIsPassedOver() {
        int circuit = setUp(1);
        group.release(5, 1, 0, Isup.TIMER_EXPIRED);
        assertEquals("REL " + circuit, lastSent());
        from(circuit, Isup.Type.ANM);
        assertTrue(told.isEmpty());
        assertEquals(1, group.lateAnswers());
        assertEquals(3, group.free());
        from(circuit, Isup.Type.RLC);
        assertEquals(4, group.free());
    }

    /** Hard case: the RLC is lost. The release goes out again, then the circuit is reset, then it is idle. */
    @Test
    void aLostReleaseCompleteIsAskedForAgainAndThenReset() {
        int circuit = setUp(1);
        group.release(0, 1, 0, Isup.NORMAL_CLEARING);
        int before = sent.size();
        timers.poll(1_010);
        assertEquals("REL " + circuit, lastSent());
        assertEquals(before + 1, sent.size());
        for (double now = 1_500; now <= 7_000; now += 100) {
            timers.poll(now);
        }
        assertEquals("RSC " + circuit, lastSent());
        assertEquals(3, group.free());
        from(circuit, Isup.Type.RLC);
        assertEquals(4, group.free());
        assertEquals(0, timers.size());
    }

    @Test
    void releasesThatCrossLeaveTheCircuitIdle() {
        int circuit = setUp(1);
        group.release(0, 1, 0, Isup.NORMAL_CLEARING);
        group.received(1, IsupMessages.release(circuit, Isup.USER_BUSY));
        assertTrue(told.isEmpty());
        assertEquals(4, group.free());
        from(circuit, Isup.Type.RLC);
        assertEquals(4, group.free());
    }

    /** Hard case: the connection dies with set-ups out. Each is told once, and its circuit is reset first. */
    @Test
    void aLostConnectionEndsEachAttemptOnceAndResetsItsCircuits() {
        int one = setUp(1);
        int two = setUp(2);
        from(two, Isup.Type.ANM);
        told.clear();
        group.connectionLost(10);
        assertEquals(2, told.size());
        assertTrue(told.stream().allMatch(t -> t.endsWith("RESET NONE")));
        assertEquals(2, group.free());
        sent.clear();
        group.connectionUp(500);
        assertEquals(2, sent.stream().filter(m -> m.type() == Isup.Type.RSC).count());
        assertEquals(2, group.free());
        from(one, Isup.Type.RLC);
        from(two, Isup.Type.RLC);
        assertEquals(4, group.free());
    }

    @Test
    void resetsAfterALostConnectionComeInAWindow() {
        TrunkGroup large = group(200, false);
        for (int call = 0; call < 150; call++) {
            large.setUp(call, 0, NUMBER, 10);
        }
        large.connectionLost(10);
        sent.clear();
        large.connectionUp(20);
        assertEquals(32, sent.size());
        for (int i = 0; i < sent.size(); i++) {
            large.received(30, Isup.of(sent.get(i).circuit(), Isup.Type.RLC));
        }
        assertEquals(150, sent.size());
        assertEquals(200, large.free());
    }

    /** Both ends seize: the end that controls the circuit goes on, the other gives way (Q.764 2.9.1.4). */
    @Test
    void dualSeizureIsWonByTheControllingEnd() {
        int own = setUp(1);
        assertEquals(0, own % 2);
        group.received(1, IsupMessages.setUp(own, NUMBER, 10, 5, 1));
        assertTrue(told.isEmpty());
        setUp(2);
        int theirs = setUp(3);
        assertEquals(1, theirs % 2);
        group.received(1, IsupMessages.setUp(theirs, NUMBER, 10, 6, 1));
        assertEquals(List.of("ended 3/0 FULL NO_LINE"), told);
        assertEquals("REL " + theirs, lastSent());
        assertEquals(2, group.dualSeizures());
    }

    @Test
    void theFarEndsResetCutsTheCallAndFreesTheCircuit() {
        int circuit = setUp(1);
        from(circuit, Isup.Type.ANM);
        from(circuit, Isup.Type.RSC);
        assertEquals("ended 1/0 RESET NONE", told.get(1));
        assertEquals("RLC " + circuit, lastSent());
        assertEquals(4, group.free());
    }

    @Test
    void aGroupResetIsAcknowledgedOnceAndCutsItsRange() {
        setUp(1);
        setUp(2);
        sent.clear();
        group.received(2, Isup.of(1, Isup.Type.GRS, new Isup.Parameter(Isup.RANGE_AND_STATUS, new byte[] {3})));
        assertEquals(2, told.size());
        assertEquals("GRA 1", lastSent());
        assertEquals(4, group.free());
    }

    @Test
    void blockedCircuitsAreNotTaken() {
        for (int c = 1; c <= 4; c++) {
            from(c, Isup.Type.BLO);
        }
        assertFalse(group.setUp(1, 0, NUMBER, 10));
        from(3, Isup.Type.UBL);
        assertEquals(3, setUp(1));
    }

    /** Whatever comes in whatever order: no circuit leaks, and each attempt ends at most once. */
    @Property(tries = 400)
    void anyTenMessagesLeaveNoCircuitBehind(@ForAll @Size(max = 10) List<@IntRange(max = 199) Integer> events) {
        TrunkGroupTest t = new TrunkGroupTest();
        long call = 0;
        for (int event : events) {
            int circuit = event % 4 + 1;
            Isup.Type type = Isup.Type.values()[event / 4 % Isup.Type.values().length];
            switch (event % 5) {
                case 0 -> t.group.setUp(call++, 0, NUMBER, 10);
                case 1 -> t.group.release(1, event % 3, 0, Isup.NORMAL_CLEARING);
                default -> t.group.received(1, message(circuit, type));
            }
        }
        for (int c = 1; c <= 4; c++) {
            t.group.received(2, Isup.of(c, Isup.Type.UBL));
            t.group.received(2, Isup.of(c, Isup.Type.RSC));
            t.group.received(2, Isup.of(c, Isup.Type.RLC));
        }
        assertEquals(4, t.group.free());
        assertEquals(0, t.group.busy());
        long ends =
                t.told.stream().filter(s -> s.startsWith("ended")).distinct().count();
        assertEquals(ends, t.told.stream().filter(s -> s.startsWith("ended")).count());
    }

    private static Isup message(int circuit, Isup.Type type) {
        return switch (type) {
            case IAM -> IsupMessages.setUp(circuit, NUMBER, 10, 1, 1);
            case REL, CFN -> IsupMessages.release(circuit, Isup.NORMAL_CLEARING);
            default -> Isup.of(circuit, type);
        };
    }
}
