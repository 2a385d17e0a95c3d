package damsonseam.cli;

import java.util.concurrent.CountDownLatch;

/**
 * What signals ask of a program, from before its start on. A reload that is asked for during the start, perhaps after
 * the file was read, is done right after it; reloads run one at a time, each after the signal that asked for it.
 */
final class Signals {
    private final CountDownLatch end = new CountDownLatch(1);
    private Runnable reload;
    private boolean asked;

    /** A new configuration is there. */
    synchronized void reload() {
        if (reload == null) {
            asked = true;
        } else {
            reload.run();
        }
    }

    /** The program runs, and reloads its configuration like this. */
    synchronized void running(Runnable how) {
        reload = how;
        if (asked) {
            asked = false;
            how.run();
        }
    }

    /** The program is to end. */
    void end() {
        end.countDown();
    }

    /** Whether the program is to end. */
    boolean ended() {
        return end.getCount() == 0;
    }

    /** Waits until the program is to end. */
    void awaitEnd() throws InterruptedException {
        end.await();
    }
}
