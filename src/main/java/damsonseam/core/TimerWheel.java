package damsonseam.core;

import java.util.ArrayList;
import java.util.List;

/**
 * Timers of one front on a hashed timing wheel (Varghese and Lauck, SOSP 1987, scheme 6). Scheduling and cancelling
 * take constant time; most timers of calls are cancelled. A timer never fires early and fires no later than the first
 * {@link #poll} two ticks after its due time. A poll after a long pause fires all overdue timers tick by tick, those of
 * one tick in the order in which they were scheduled. Not thread-safe: used by the core's thread only.
 *
 * <p>No library fits: Netty's wheel runs its own thread, and Agrona's sizes all slots by the fullest one, so that a
 * burst of callers in one tick exhausts memory (2,000 callers: 16 MB, 100,000: 1 GB). Here, a slot is an intrusive
 * doubly linked list of timers.
 */
public final class TimerWheel {
    /** Length of a tick. */
    private static final double TICK_MS = 1.0;

    /** The wheel revolves about every four seconds, which is about as long as a caller waits. */
    private static final int SLOT_COUNT = 1 << 12;

    private final Timer[] heads = new Timer[SLOT_COUNT];
    private final Timer[] tails = new Timer[SLOT_COUNT];
    private final double origin;
    private long tick;
    private int size;

    /** Called when a timer expires. */
    @FunctionalInterface
    public interface ExpiryHandler {
        /** Handles the expiry; called once, with the time of the poll that fired the timer. */
        void onExpiry(double now);
    }

    /** Handle of a scheduled timer, used to cancel it. */
    public static final class Timer {
        private final long dueTick;
        private ExpiryHandler expiry;
        private Timer previous;
        private Timer next;

        private Timer(long dueTick, ExpiryHandler expiry) {
            this.dueTick = dueTick;
            this.expiry = expiry;
        }
    }

    /** Creates an empty wheel that starts at {@code now}. */
    public TimerWheel(double now) {
        origin = now;
    }

    /** Schedules a timer for {@code at}, in milliseconds; a timer for a past time fires at the next poll. */
    public Timer schedule(double at, ExpiryHandler expiry) {
        Timer timer = new Timer(Math.max(tick, (long) Math.ceil((at - origin) / TICK_MS)), expiry);
        int slot = slot(timer.dueTick);
        timer.previous = tails[slot];
        if (timer.previous == null) {
            heads[slot] = timer;
        } else {
            timer.previous.next = timer;
        }
        tails[slot] = timer;
        size++;
        return timer;
    }

    /** Cancels a timer; does nothing if it is null or has already fired or been cancelled. */
    public void cancel(Timer timer) {
        if (timer != null && timer.expiry != null) {
            unlink(timer);
        }
    }

    private static int slot(long tick) {
        return (int) (tick & SLOT_COUNT - 1);
    }

    private ExpiryHandler unlink(Timer timer) {
        ExpiryHandler expiry = timer.expiry;
        timer.expiry = null;
        if (timer.previous == null) {
            heads[slot(timer.dueTick)] = timer.next;
        } else {
            timer.previous.next = timer.next;
        }
        if (timer.next == null) {
            tails[slot(timer.dueTick)] = timer.previous;
        } else {
            timer.next.previous = timer.previous;
        }
        timer.previous = null;
        timer.next = null;
        size--;
        return expiry;
    }

    /** Fires all timers due at {@code now}; returns their number. */
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

    /**
     * Fires the due timers in the current tick's slot, in passes until none is due. Timers of later revolutions of the
     * wheel remain in the slot.
     */
    private int fire(double now) {
        int fired = 0;
        List<Timer> due = new ArrayList<>();
        do {
            due.clear();
            for (Timer timer = heads[slot(tick)]; timer != null; timer = timer.next) {
                if (timer.dueTick <= tick) {
                    due.add(timer);
                }
            }
            for (Timer timer : due) {
                // An earlier timer may have cancelled this one. Timers that it schedules are found in the next pass.
                if (timer.expiry != null) {
                    unlink(timer).onExpiry(now);
                    fired++;
                }
            }
        } while (!due.isEmpty());
        return fired;
    }

    /** Returns the number of scheduled timers. */
    public int size() {
        return size;
    }
}
