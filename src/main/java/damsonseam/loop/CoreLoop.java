package damsonseam.loop;

import damsonseam.core.TimerWheel;
import io.netty.channel.EventLoop;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Drives the core on one Netty event loop: delivers periodic ticks and ends the batch of events after the loop has read
 * everything available. {@link #scheduleBatchEnd} ends the batch once per loop iteration, however many events arrived.
 * That method must be called on the event loop's thread.
 */
public final class CoreLoop {
    private static final Logger LOG = LoggerFactory.getLogger(CoreLoop.class);
    /** After an iteration longer than this, the sockets may have remained unread for too long. */
    private static final long LONG_ITERATION_NS = 10_000_000;
    /** Maximum number of additional iterations to wait for while iterations are long. */
    private static final int MAX_EXTRA_ITERATIONS = 3;

    private final EventLoop eventLoop;
    private final double tickIntervalMs;
    private final long origin = System.nanoTime();
    private final TimerWheel timers = new TimerWheel(0);
    private Runnable onBatchEnd = () -> {};
    private boolean batchEndScheduled;
    private ScheduledFuture<?> ticks;

    /**
     * Creates a loop that has not started.
     *
     * @param tickIntervalMs time between two ticks, in milliseconds
     */
    public CoreLoop(EventLoop eventLoop, double tickIntervalMs) {
        this.eventLoop = eventLoop;
        this.tickIntervalMs = tickIntervalMs;
    }

    /**
     * Starts the ticks.
     *
     * @param onTick run on each tick
     * @param onBatchEnd run at the end of each batch of events, lets the core act
     */
    public void start(Runnable onTick, Runnable onBatchEnd) {
        this.onBatchEnd = onBatchEnd;
        long intervalNs = (long) (tickIntervalMs * 1_000_000);
        ticks = eventLoop.scheduleWithFixedDelay(() -> runTick(onTick), intervalNs, intervalNs, TimeUnit.NANOSECONDS);
    }

    /** Runs a tick; its failure must not end the ticks, as it concerns one call and they serve all. */
    private void runTick(Runnable onTick) {
        try {
            onTick.run();
        } catch (RuntimeException | Error e) {
            LOG.atError().setCause(e).log("internal error in a tick");
        }
        scheduleBatchEnd();
    }

    /** Returns the time of the front's clock, in milliseconds. */
    public double now() {
        return (System.nanoTime() - origin) / 1e6;
    }

    /** Returns the timers, which are to be polled on each tick. */
    public TimerWheel timers() {
        return timers;
    }

    /** Returns the underlying event loop. */
    public EventLoop eventLoop() {
        return eventLoop;
    }

    /** Schedules the end of the batch for when this iteration has read everything available; idempotent until then. */
    public void scheduleBatchEnd() {
        if (!batchEndScheduled) {
            batchEndScheduled = true;
            eventLoop.execute(() -> {
                batchEndScheduled = false;
                onBatchEnd.run();
            });
        }
    }

    /**
     * Runs a task after the sockets have been read again, so that input which arrived before a decision but was unread
     * at that time is processed before the decision is carried out. If an iteration in between was long, the sockets
     * are read once more, a limited number of times.
     */
    public void runAfterReads(Runnable task) {
        runAfterReads(task, MAX_EXTRA_ITERATIONS);
    }

    private void runAfterReads(Runnable task, int extraIterations) {
        long requestedAt = System.nanoTime();
        // A task scheduled from within a task runs in the next iteration, after that iteration's reads.
        eventLoop.execute(() -> eventLoop.schedule(
                () -> {
                    if (extraIterations > 0 && System.nanoTime() - requestedAt > LONG_ITERATION_NS) {
                        runAfterReads(task, extraIterations - 1);
                    } else {
                        task.run();
                    }
                },
                0,
                TimeUnit.NANOSECONDS));
    }

    /** Stops the ticks. */
    public void stop() {
        if (ticks != null) {
            ticks.cancel(false);
        }
    }
}
