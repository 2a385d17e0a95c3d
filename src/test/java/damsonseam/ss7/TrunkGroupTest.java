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

/** Guards the circuits and the reports of a trunk group against lost, late and crossing messages. */
class TrunkGroupTest {
    private static final String NUMBER = "59821000000001";
    private final TimerWheel timers = new TimerWheel(0);
    private final List<IsupMessage> sent = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private final List<String> releases = new ArrayList<>();
    private final TrunkGroup group = group(4, true);

    private TrunkGroup group(int size, boolean controlsEven) {
        TrunkGroup created = new TrunkGroup(
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
                        events.add("answered " + call + "/" + attempt);
                    }

                    @Override
                    public void onAttemptEnded(
                            double now,
                            long call,
                            int attempt,
                            AttemptStatus status,
                            RejectReason reason,
                            OptionalDouble retryAfterMs,
                            ServerLoadReport report) {
                        events.add("ended " + call + "/" + attempt + " " + status + " " + reason);
                    }

                    @Override
                    public void onReleaseComplete(double now, long call, int attempt) {
                        releases.add(call + "/" + attempt);
                    }
                });
        created.onConnectionUp(0);
        return created;
    }

    private IsupMessage lastMessage() {
        return sent.get(sent.size() - 1);
    }

    private String lastSent() {
        return lastMessage().type() + " " + lastMessage().circuit();
    }

    private int setUp(long call) {
        assertTrue(group.setUp(call, 0, NUMBER, 10));
        return lastMessage().circuit();
    }

    private void receive(int circuit, IsupMessage.Type type) {
        group.onMessage(1, IsupMessage.of(circuit, type));
    }

    @Test
    void circuitIsInUseFromSetUpUntilReleaseIsComplete() {
        int circuit = setUp(1);
        receive(circuit, IsupMessage.Type.ANM);
        group.onMessage(2, IsupMessages.release(circuit, IsupMessage.NORMAL_CLEARING));
        assertEquals(List.of("answered 1/0", "ended 1/0 COMPLETED NONE"), events);
        assertEquals("RLC " + circuit, lastSent());
        assertEquals(4, group.idleCircuits());
    }

    @Test
    void causesMapToAttemptStatusAndReason() {
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
            assertEquals("ended " + i + "/0 " + results[i], events.get(i));
        }
    }

    @Test
    void congestionLevelTurnsFailureIntoProcessorFullButKeepsNoLine() {
        int circuit = setUp(1);
        group.onMessage(
                2,
                IsupMessages.release(circuit, IsupMessage.TEMPORARY_FAILURE, IsupMessages.automaticCongestionLevel(1)));
        circuit = setUp(2);
        group.onMessage(
                2,
                IsupMessages.release(
                        circuit, IsupMessage.NO_CIRCUIT_AVAILABLE, IsupMessages.automaticCongestionLevel(2)));
        assertEquals(List.of("ended 1/0 FULL PROCESSOR_FULL", "ended 2/0 FULL NO_LINE"), events);
    }

    /** Guards against an answer that crosses the REL: it must be ignored, and the circuit must wait for its RLC. */
    @Test
    void answerAfterReleaseIsIgnored() {
        int circuit = setUp(1);
        group.release(5, 1, 0, IsupMessage.RECOVERY_ON_TIMER_EXPIRY);
        assertEquals("REL " + circuit, lastSent());
        receive(circuit, IsupMessage.Type.ANM);
        assertTrue(events.isEmpty());
        assertEquals(1, group.lateAnswers());
        assertEquals(3, group.idleCircuits());
        receive(circuit, IsupMessage.Type.RLC);
        assertEquals(4, group.idleCircuits());
    }

    /** Guards against a circuit that stays in use after a lost RLC: the REL is repeated, then the circuit is reset. */
    @Test
    void lostReleaseCompleteIsFollowedByRetransmissionAndReset() {
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
        assertEquals(3, group.idleCircuits());
        receive(circuit, IsupMessage.Type.RLC);
        assertEquals(4, group.idleCircuits());
        assertEquals(0, timers.size());
    }

    @Test
    void crossingReleasesLeaveCircuitIdle() {
        int circuit = setUp(1);
        group.release(0, 1, 0, IsupMessage.NORMAL_CLEARING);
        group.onMessage(1, IsupMessages.release(circuit, IsupMessage.USER_BUSY));
        assertTrue(events.isEmpty());
        assertEquals(4, group.idleCircuits());
        receive(circuit, IsupMessage.Type.RLC);
        assertEquals(4, group.idleCircuits());
    }

    /** Guards against calls reported twice, and circuits reused without a reset, after the connection is lost. */
    @Test
    void lostConnectionEndsEachAttemptOnceAndResetsCircuits() {
        int firstCircuit = setUp(1);
        int secondCircuit = setUp(2);
        receive(secondCircuit, IsupMessage.Type.ANM);
        events.clear();
        group.onConnectionLost(10);
        assertEquals(2, events.size());
        assertTrue(events.stream().allMatch(t -> t.endsWith("RESET NONE")));
        assertEquals(2, group.idleCircuits());
        sent.clear();
        group.onConnectionUp(500);
        assertEquals(
                2, sent.stream().filter(m -> m.type() == IsupMessage.Type.RSC).count());
        assertEquals(2, group.idleCircuits());
        receive(firstCircuit, IsupMessage.Type.RLC);
        receive(secondCircuit, IsupMessage.Type.RLC);
        assertEquals(4, group.idleCircuits());
    }

    @Test
    void outstandingResetsAfterLostConnectionAreLimited() {
        TrunkGroup largeGroup = group(200, false);
        for (int call = 0; call < 150; call++) {
            largeGroup.setUp(call, 0, NUMBER, 10);
        }
        largeGroup.onConnectionLost(10);
        sent.clear();
        largeGroup.onConnectionUp(20);
        assertEquals(32, sent.size());
        for (int i = 0; i < sent.size(); i++) {
            largeGroup.onMessage(30, IsupMessage.of(sent.get(i).circuit(), IsupMessage.Type.RLC));
        }
        assertEquals(150, sent.size());
        assertEquals(200, largeGroup.idleCircuits());
    }

    /** Both ends seize a circuit: the end that controls it continues, the other one backs off (Q.764 2.9.1.4). */
    @Test
    void controllingEndWinsDualSeizure() {
        int controlled = setUp(1);
        assertEquals(0, controlled % 2);
        group.onMessage(1, IsupMessages.initialAddress(controlled, NUMBER, 10, 5, 1));
        assertTrue(events.isEmpty());
        setUp(2);
        int notControlled = setUp(3);
        assertEquals(1, notControlled % 2);
        group.onMessage(1, IsupMessages.initialAddress(notControlled, NUMBER, 10, 6, 1));
        assertEquals(List.of("ended 3/0 FULL NO_LINE"), events);
        assertEquals("REL " + notControlled, lastSent());
        assertEquals(2, group.dualSeizures());
    }

    @Test
    void resetByFarEndEndsCallAndFreesCircuit() {
        int circuit = setUp(1);
        receive(circuit, IsupMessage.Type.ANM);
        receive(circuit, IsupMessage.Type.RSC);
        assertEquals("ended 1/0 RESET NONE", events.get(1));
        assertEquals("RLC " + circuit, lastSent());
        assertEquals(4, group.idleCircuits());
    }

    @Test
    void groupResetIsAcknowledgedOnceAndEndsCallsOfItsRange() {
        setUp(1);
        setUp(2);
        sent.clear();
        group.onMessage(
                2,
                IsupMessage.of(
                        1, IsupMessage.Type.GRS, new IsupMessage.Parameter(IsupMessage.RANGE_AND_STATUS, new byte[] {3
                        })));
        assertEquals(2, events.size());
        assertEquals("GRA 1", lastSent());
        assertEquals(4, group.idleCircuits());
    }

    @Test
    void blockedCircuitsAreNotSeized() {
        for (int c = 1; c <= 4; c++) {
            receive(c, IsupMessage.Type.BLO);
        }
        assertFalse(group.setUp(1, 0, NUMBER, 10));
        receive(3, IsupMessage.Type.UBL);
        assertEquals(3, setUp(1));
    }

    /** For any messages in any order, no circuit leaks and each attempt ends at most once. */
    @Property(tries = 400)
    void arbitraryMessagesLeakNoCircuit(@ForAll @Size(max = 10) List<@IntRange(max = 199) Integer> steps) {
        TrunkGroupTest test = new TrunkGroupTest();
        long call = 0;
        for (int step : steps) {
            int circuit = step % 4 + 1;
            IsupMessage.Type type = IsupMessage.Type.values()[step / 4 % IsupMessage.Type.values().length];
            switch (step % 5) {
                case 0 -> test.group.setUp(call++, 0, NUMBER, 10);
                case 1 -> test.group.release(1, step % 3, 0, IsupMessage.NORMAL_CLEARING);
                default -> test.group.onMessage(1, message(circuit, type));
            }
        }
        for (int c = 1; c <= 4; c++) {
            test.group.onMessage(2, IsupMessage.of(c, IsupMessage.Type.UBL));
            test.group.onMessage(2, IsupMessage.of(c, IsupMessage.Type.RSC));
            test.group.onMessage(2, IsupMessage.of(c, IsupMessage.Type.RLC));
        }
        assertEquals(4, test.group.idleCircuits());
        assertEquals(0, test.group.busyCircuits());
        long endedEvents = test.events.stream()
                .filter(s -> s.startsWith("ended"))
                .distinct()
                .count();
        assertEquals(
                endedEvents,
                test.events.stream().filter(s -> s.startsWith("ended")).count());
    }

    private static IsupMessage message(int circuit, IsupMessage.Type type) {
        return switch (type) {
            case IAM -> IsupMessages.initialAddress(circuit, NUMBER, 10, 1, 1);
            case REL, CFN -> IsupMessages.release(circuit, IsupMessage.NORMAL_CLEARING);
            default -> IsupMessage.of(circuit, type);
        };
    }
}
