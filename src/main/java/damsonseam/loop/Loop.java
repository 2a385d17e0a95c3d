package damsonseam.loop;

import damsonseam.core.Timers;
import io.netty.channel.EventLoop;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * The turn of the one event loop: all that came at once is handed to the core first, and the module acts when
 * the loop has read what there was. {@link #kick} asks for that once a turn, however many events came.
 */
public final class Loop {
    private final EventLoop eventLoop;
    private final double beat;
    private final long origin = System.nanoTime();
    private final Timers timers = new Timers(0);
    private Runnable settle = () -> { };
    private boolean asked;
    private ScheduledFuture<?> beats;

    /**
     * A loop that has not started.
     *
     * @param beat time between two beats, in milliseconds
     */
    public Loop(EventLoop eventLoop, double beat) {
        this.eventLoop = eventLoop;
        this.beat = beat;
    }

    /** Starts the beat; {@code settle} lets the core act. */
    public void start(Runnable onBeat, Runnable settle) {
        this.settle = settle;
        long every = (long) (beat * 1_000_000);
        beats = eventLoop.scheduleWithFixedDelay(() -> {
            onBeat.run();
            kick();
        }, every, every, TimeUnit.NANOSECONDS);
    }

    /** The front's clock in milliseconds. */
    public double now() {
        return (System.nanoTime() - origin) / 1e6;
    }

    /** The timers that the beat fires. */
    public Timers timers() {
        return timers;
    }

    /** The event loop beneath. */
    public EventLoop eventLoop() {
        return eventLoop;
    }

    /** Something was handed to the core: it acts when this turn has read all there is. */
    public void kick() {
        if (!asked) {
            asked = true;
            eventLoop.execute(() -> {
                asked = false;
                settle.run();
            });
        }
    }

    /** Ends the beat. */
    public void stop() {
        if (beats != null) {
            beats.cancel(false);
        }
    }
}
