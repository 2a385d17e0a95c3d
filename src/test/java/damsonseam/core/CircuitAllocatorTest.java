package damsonseam.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against seizing a circuit that is in use, blocked or being reset, and against a wrong count of idle ones. */
class CircuitAllocatorTest {

    /** Compares the bitmaps with plain maps of the reasons under random sequences of events. */
    @Property(tries = 300)
    void matchesReferenceModelUnderRandomEvents(
            @ForAll @IntRange(min = 1, max = 40) int size,
            @ForAll boolean controlsEven,
            @ForAll @Size(max = 200) List<@IntRange(min = 0, max = 399) Integer> events) {
        CircuitAllocator circuits = new CircuitAllocator(size, controlsEven);
        Map<Integer, Boolean> inUse = new HashMap<>();
        Map<Integer, Boolean> blocked = new HashMap<>();
        Map<Integer, Boolean> resetting = new HashMap<>();
        for (int event : events) {
            int code = event % 40 % size + 1;
            switch (event / 80) {
                case 0 -> {
                    int seized = circuits.seize();
                    if (seized != 0) {
                        assertFalse(
                                inUse.getOrDefault(seized, false)
                                        || blocked.getOrDefault(seized, false)
                                        || resetting.getOrDefault(seized, false),
                                "seized a circuit that was not idle");
                        inUse.put(seized, true);
                    } else {
                        assertEquals(0, countIdle(size, inUse, blocked, resetting));
                    }
                }
                case 1 -> {
                    circuits.setIdle(code);
                    inUse.remove(code);
                    resetting.remove(code);
                }
                case 2 -> {
                    circuits.setBlocked(code, event % 2 == 0);
                    blocked.put(code, event % 2 == 0);
                }
                case 3 -> {
                    circuits.startReset(code);
                    resetting.put(code, true);
                }
                default -> {
                    circuits.seizeIncoming(code);
                    inUse.put(code, true);
                }
            }
            assertEquals(countIdle(size, inUse, blocked, resetting), circuits.idleCount());
        }
    }

    private static int countIdle(
            int size, Map<Integer, Boolean> inUse, Map<Integer, Boolean> blocked, Map<Integer, Boolean> resetting) {
        int idle = 0;
        for (int code = 1; code <= size; code++) {
            idle += inUse.getOrDefault(code, false)
                            || blocked.getOrDefault(code, false)
                            || resetting.getOrDefault(code, false)
                    ? 0
                    : 1;
        }
        return idle;
    }

    @Test
    void controlledCircuitsAreSeizedFirstAndReleasedOnesLast() {
        CircuitAllocator circuits = new CircuitAllocator(6, true);
        assertEquals(2, circuits.seize());
        circuits.setIdle(2);
        assertEquals(4, circuits.seize());
        assertEquals(6, circuits.seize());
        assertEquals(2, circuits.seize());
        assertTrue(circuits.seize() % 2 == 1);
    }

    @Test
    void codesOutsideTheGroupAreRejected() {
        CircuitAllocator circuits = new CircuitAllocator(3, false);
        assertThrows(IllegalArgumentException.class, () -> circuits.setIdle(0));
        assertThrows(IllegalArgumentException.class, () -> circuits.seizeIncoming(4));
        assertThrows(IllegalArgumentException.class, () -> new CircuitAllocator(4096, false));
    }
}
