package damsonseam.cli;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Reload and shutdown requests of process signals; accepts them from before the program has started. A reload requested
 * during the start, possibly after the file was read, runs right after the start. Reloads run one at a time, each after
 * the signal that requested it. Thread-safe.
 */
final class ProcessSignals {
    private final CountDownLatch shutdownLatch = new CountDownLatch(1);
    private Runnable reloadAction;
    private boolean reloadPending;

    /** Reloads the configuration, or records the request if the program has not started yet. */
    synchronized void requestReload() {
        if (reloadAction == null) {
            reloadPending = true;
        } else {
            reloadAction.run();
        }
    }

    /** Marks the program as started and runs a pending reload; {@code reloadAction} serves all later requests. */
    synchronized void onStarted(Runnable reloadAction) {
        this.reloadAction = reloadAction;
        if (reloadPending) {
            reloadPending = false;
            reloadAction.run();
        }
    }

    /** Requests a shutdown. */
    void requestShutdown() {
        shutdownLatch.countDown();
    }

    /** Returns whether a shutdown has been requested. */
    boolean isShutdownRequested() {
        return shutdownLatch.getCount() == 0;
    }

    /** Blocks until a shutdown is requested or the time is over; returns whether a shutdown is requested. */
    boolean awaitShutdown(long timeoutMs) throws InterruptedException {
        return shutdownLatch.await(timeoutMs, TimeUnit.MILLISECONDS);
    }
}
