package damsonseam.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against timers that fire early, late, after their cancellation or not at all. */
class TimerWheelTest {
    private static final double MAX_DELAY_MS = 2.1;

    @Property(tries = 200)
    void firesNeverEarlyAndAtMostTwoTicksLate(
            @ForAll @Size(min = 1, max = 40) List<@DoubleRange(max = 5000) Double> offsets) {
        TimerWheel timers = new TimerWheel(100);
        List<double[]> fired = new ArrayList<>();
        for (double offset : offsets) {
            timers.schedule(100 + offset, now -> fired.add(new double[] {100 + offset, now}));
        }
        for (double now = 100; now <= 5200; now += 1) {
            timers.poll(now);
        }
        assertEquals(offsets.size(), fired.size());
        for (double[] timer : fired) {
            assertTrue(timer[1] >= timer[0], "fired at " + timer[1] + ", due at " + timer[0]);
            assertTrue(timer[1] <= timer[0] + MAX_DELAY_MS + 1, "fired at " + timer[1] + ", due at " + timer[0]);
        }
        assertEquals(0, timers.size());
    }

    @Test
    void pollAfterLongPauseFiresExactlyTheOverdueTimers() {
        TimerWheel timers = new TimerWheel(0);
        List<String> fired = new ArrayList<>();
        timers.schedule(10, n -> fired.add("a"));
        timers.schedule(1_999, n -> fired.add("b"));
        timers.schedule(2_500, n -> fired.add("c"));
        timers.poll(2_000.5);
        assertEquals(List.of("a", "b"), fired);
    }

    @Test
    void timerCancelledWhileItsTickFiresDoesNotFire() {
        TimerWheel timers = new TimerWheel(0);
        List<String> fired = new ArrayList<>();
        TimerWheel.Timer[] second = new TimerWheel.Timer[1];
        timers.schedule(5, n -> {
            fired.add("first");
            timers.cancel(second[0]);
        });
        second[0] = timers.schedule(5, n -> fired.add("second"));
        timers.poll(20);
        assertEquals(List.of("first"), fired);
        assertEquals(0, timers.size());
    }

    @Test
    void dueTimerScheduledByAnotherTimerFiresInTheSamePoll() {
        TimerWheel timers = new TimerWheel(0);
        List<Double> fired = new ArrayList<>();
        timers.schedule(5, n -> timers.schedule(8, fired::add));
        timers.poll(30);
        assertEquals(List.of(30.0), fired);
    }
}
