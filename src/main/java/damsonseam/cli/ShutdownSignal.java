package damsonseam.cli;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Waits for a termination signal or a timeout, then stops the program in order before the JVM exits. */
final class ShutdownSignal {

    /** Stops a running program. */
    interface StopAction {
        void stop() throws Exception;
    }

    private ShutdownSignal() {}

    /** Waits {@code seconds} (0: without limit) or until a signal, runs {@code stopAction} once and returns. */
    static void awaitThenStop(double seconds, StopAction stopAction) throws Exception {
        CountDownLatch shutdownRequested = new CountDownLatch(1);
        CountDownLatch stopped = new CountDownLatch(1);
        Thread hook = new Thread(
                () -> {
                    shutdownRequested.countDown();
                    try {
                        stopped.await(20, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "shutdown");
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            if (seconds > 0) {
                shutdownRequested.await((long) (seconds * 1_000), TimeUnit.MILLISECONDS);
            } else {
                shutdownRequested.await();
            }
            stopAction.stop();
        } finally {
            stopped.countDown();
            try {
                Runtime.getRuntime().removeShutdownHook(hook);
            } catch (IllegalStateException e) {
                // The JVM is already shutting down because of the signal.
                Logging.flush();
            }
        }
    }
}
