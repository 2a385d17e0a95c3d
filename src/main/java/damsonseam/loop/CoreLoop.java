package damsonseam.loop;

import damsonseam.core.TimerWheel;
import io.netty.channel.EventLoop;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * The turn of the one event loop: all that came at once is handed to the core first, and the module acts when
 * the loop has read what there was. {@link #scheduleBatchEnd} asks for that once a turn, however many events came.
 */
public final class CoreLoop {
    /** A turn longer than this may have kept the sockets unread for too long. */
    private static final long LONG_ITERATION_NS = 10_000_000;
    /** Further turns that something waits for at the most while turns are long. */
    private static final int MAX_EXTRA_ITERATIONS = 3;

    private final EventLoop eventLoop;
    private final double beat;
    private final long origin = System.nanoTime();
    private final TimerWheel timers = new TimerWheel(0);
    private Runnable settle = () -> {};
    private boolean asked;
    private ScheduledFuture<?> beats;

    /**
     * A loop that has not started.
     *
     * @param beat time between two beats, in milliseconds
     */
    public CoreLoop(EventLoop eventLoop, double beat) {
        this.eventLoop = eventLoop;
        this.beat = beat;
    }

    /** Starts the beat; {@code settle} lets the core act. */
    public void start(Runnable onBeat, Runnable settle) {
        this.settle = settle;
        long every = (long) (beat * 1_000_000);
        beats = eventLoop.scheduleWithFixedDelay(
                () -> {
                    onBeat.run();
                    scheduleBatchEnd();
                },
                every,
                every,
                TimeUnit.NANOSECONDS);
    }

    /** The front's clock in milliseconds. */
    public double now() {
        return (System.nanoTime() - origin) / 1e6;
    }

    /** The timers that the beat fires. */
    public TimerWheel timers() {
        return timers;
    }

    /** The event loop beneath. */
    public EventLoop eventLoop() {
        return eventLoop;
    }

    /** Something was handed to the core: it acts when this turn has read all there is. */
    public void scheduleBatchEnd() {
        if (!asked) {
            asked = true;
            eventLoop.execute(() -> {
                asked = false;
                settle.run();
            });
        }
    }

    /**
     * Runs something once the sockets have been read again: what had come before a decision, but was not read when it
     * was made, then counts before the decision is carried out. Where this turn or the next is a long one, the sockets
     * are read once more, some turns at the most.
     */
    public void runAfterReads(Runnable what) {
        runAfterReads(what, MAX_EXTRA_ITERATIONS);
    }

    private void runAfterReads(Runnable what, int turns) {
        long asked = System.nanoTime();
        // A task scheduled by a task is fetched in the next turn, behind its reads.
        eventLoop.execute(() -> eventLoop.schedule(
                () -> {
                    if (turns > 0 && System.nanoTime() - asked > LONG_ITERATION_NS) {
                        runAfterReads(what, turns - 1);
                    } else {
                        what.run();
                    }
                },
                0,
                TimeUnit.NANOSECONDS));
    }

    /** Ends the beat. */
    public void stop() {
        if (beats != null) {
            beats.cancel(false);
        }
    }
}
