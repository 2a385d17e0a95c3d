package damsonseam.core;

import java.util.ArrayList;
import java.util.List;

/**
 * The timers of one front on a hashed wheel (Varghese and Lauck, SOSP 1987, scheme 6): setting and cancelling one
 * costs the same with ten or a hundred thousand of them, and most timers of calls are cancelled. A timer never
 * fires early, and fires at the first {@link #poll} that comes two ticks after its time; a poll after a long
 * pause fires all that fell due, tick by tick, those of one tick in the order in which they were set.
 *
 * <p>Own code, since no library fits: Netty's wheel runs a thread of its own, and Agrona's keeps a table of slots
 * by the fullest one, which a burst of callers in one tick blows up (2,000 callers: 16 MB, 100,000: 1 GB). Here a
 * slot is a linked list, and the list's links are in the timers themselves.
 */
public final class TimerWheel {
    /** A tick is a millisecond; 4,096 slots turn every four seconds, about as long as a caller waits. */
    private static final double TICK_MS = 1.0;

    private static final int SLOTS = 1 << 12;

    private final Timer[] slots = new Timer[SLOTS];
    private final Timer[] last = new Timer[SLOTS];
    private final double origin;
    private long tick;
    private int size;

    /** What to do when a timer is due. */
    @FunctionalInterface
    public interface ExpiryHandler {
        /** Called once, with the time of the poll that found it due. */
        void onExpiry(double now);
    }

    /** One timer that is set, by which it may be cancelled. */
    public static final class Timer {
        private final long dueTick;
        private ExpiryHandler expiry;
        private Timer before;
        private Timer after;

        private Timer(long dueTick, ExpiryHandler expiry) {
            this.dueTick = dueTick;
            this.expiry = expiry;
        }
    }

    /** An empty wheel that starts at {@code now}. */
    public TimerWheel(double now) {
        origin = now;
    }

    /** Sets a timer for {@code at}, in milliseconds; a time already past is due at the next poll. */
    public Timer schedule(double at, ExpiryHandler expiry) {
        Timer timer = new Timer(Math.max(tick, (long) Math.ceil((at - origin) / TICK_MS)), expiry);
        int slot = slot(timer.dueTick);
        timer.before = last[slot];
        if (timer.before == null) {
            slots[slot] = timer;
        } else {
            timer.before.after = timer;
        }
        last[slot] = timer;
        size++;
        return timer;
    }

    /** Cancels a timer; null, and one that has fired or been cancelled, is passed over. */
    public void cancel(Timer timer) {
        if (timer != null && timer.expiry != null) {
            unlink(timer);
        }
    }

    private static int slot(long tick) {
        return (int) (tick & SLOTS - 1);
    }

    private ExpiryHandler unlink(Timer timer) {
        ExpiryHandler expiry = timer.expiry;
        timer.expiry = null;
        if (timer.before == null) {
            slots[slot(timer.dueTick)] = timer.after;
        } else {
            timer.before.after = timer.after;
        }
        if (timer.after == null) {
            last[slot(timer.dueTick)] = timer.before;
        } else {
            timer.after.before = timer.before;
        }
        timer.before = null;
        timer.after = null;
        size--;
        return expiry;
    }

    /** Fires all timers due at {@code now}; returns how many. */
    public int poll(double now) {
        long until = (long) Math.floor((now - origin) / TICK_MS);
        int fired = 0;
        while (tick <= until && size > 0) {
            fired += fire(now);
            tick++;
        }
        tick = Math.max(tick, until + 1);
        return fired;
    }

    /** Fires the slot of this tick, each timer looked at once a pass; those of later turns of the wheel stay. */
    private int fire(double now) {
        int fired = 0;
        List<Timer> due = new ArrayList<>();
        do {
            due.clear();
            for (Timer timer = slots[slot(tick)]; timer != null; timer = timer.after) {
                if (timer.dueTick <= tick) {
                    due.add(timer);
                }
            }
            for (Timer timer : due) {
                // One that fired before it may have cancelled it; those that one sets are found in the next pass.
                if (timer.expiry != null) {
                    unlink(timer).onExpiry(now);
                    fired++;
                }
            }
        } while (!due.isEmpty());
        return fired;
    }

    /** How many timers are set. */
    public int size() {
        return size;
    }
}
