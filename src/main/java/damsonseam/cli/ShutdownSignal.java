package damsonseam.cli;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Waits for the end that a signal or a time sets, then ends things in order before the process goes. */
final class ShutdownSignal {

    /** What ends a running program. */
    interface StopAction {
        void stop() throws Exception;
    }

    private ShutdownSignal() {}

    /** Returns after {@code seconds} (0: never by itself) or at a signal, having run {@code end} once. */
    static void awaitThenStop(double seconds, StopAction end) throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        CountDownLatch done = new CountDownLatch(1);
        Thread hook = new Thread(
                () -> {
                    asked.countDown();
                    try {
                        done.await(20, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "shutdown");
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            if (seconds > 0) {
                asked.await((long) (seconds * 1_000), TimeUnit.MILLISECONDS);
            } else {
                asked.await();
            }
            end.stop();
        } finally {
            done.countDown();
            try {
                Runtime.getRuntime().removeShutdownHook(hook);
            } catch (IllegalStateException e) {
                // The signal is what ended it.
                Logging.flush();
            }
        }
    }
}
