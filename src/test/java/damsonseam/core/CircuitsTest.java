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

class CircuitsTest {

    /** Against a plain map of reasons: the bitmaps never disagree with it, whatever the order of events. */
    @Property(tries = 300)
    void agreesWithAPlainTable(
            @ForAll @IntRange(min = 1, max = 40) int size,
            @ForAll boolean even,
            @ForAll @Size(max = 200) List<@IntRange(min = 0, max = 399) Integer> events) {
        CircuitAllocator circuits = new CircuitAllocator(size, even);
        Map<Integer, Boolean> taken = new HashMap<>();
        Map<Integer, Boolean> blocked = new HashMap<>();
        Map<Integer, Boolean> resetting = new HashMap<>();
        for (int event : events) {
            int code = event % 40 % size + 1;
            switch (event / 80) {
                case 0 -> {
                    int got = circuits.seize();
                    if (got != 0) {
                        assertFalse(
                                taken.getOrDefault(got, false)
                                        || blocked.getOrDefault(got, false)
                                        || resetting.getOrDefault(got, false),
                                "seized a circuit that was not idle");
                        taken.put(got, true);
                    } else {
                        assertEquals(0, idle(size, taken, blocked, resetting));
                    }
                }
                case 1 -> {
                    circuits.setIdle(code);
                    taken.remove(code);
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
                    taken.put(code, true);
                }
            }
            assertEquals(idle(size, taken, blocked, resetting), circuits.idleCount());
        }
    }

    private static int idle(
            int size, Map<Integer, Boolean> taken, Map<Integer, Boolean> blocked, Map<Integer, Boolean> resetting) {
        int idle = 0;
        for (int c = 1; c <= size; c++) {
            idle += taken.getOrDefault(c, false) || blocked.getOrDefault(c, false) || resetting.getOrDefault(c, false)
                    ? 0
                    : 1;
        }
        return idle;
    }

    @Test
    void ownCodesGoFirstAndTheOneJustReleasedRests() {
        CircuitAllocator circuits = new CircuitAllocator(6, true);
        assertEquals(2, circuits.seize());
        circuits.setIdle(2);
        assertEquals(4, circuits.seize());
        assertEquals(6, circuits.seize());
        assertEquals(2, circuits.seize());
        assertTrue(circuits.seize() % 2 == 1);
    }

    @Test
    void codesOutsideTheGroupAreRefused() {
        CircuitAllocator circuits = new CircuitAllocator(3, false);
        assertThrows(IllegalArgumentException.class, () -> circuits.setIdle(0));
        assertThrows(IllegalArgumentException.class, () -> circuits.seizeIncoming(4));
        assertThrows(IllegalArgumentException.class, () -> new CircuitAllocator(4096, false));
    }
}
