package damsonseam.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Guards against signals that are lost, or acted on too early, because they arrive during the start. */
class ProcessSignalsTest {

    @Test
    void reloadRequestedDuringStartRunsOnceAfterIt() {
        ProcessSignals signals = new ProcessSignals();
        AtomicInteger reloads = new AtomicInteger();
        signals.requestReload();
        signals.requestReload();
        assertEquals(0, reloads.get());
        signals.onStarted(reloads::incrementAndGet);
        assertEquals(1, reloads.get(), "a reload requested during the start runs once");
        signals.requestReload();
        assertEquals(2, reloads.get());
    }

    @Test
    void shutdownRequestedDuringStartIsNotLost() throws Exception {
        ProcessSignals signals = new ProcessSignals();
        assertFalse(signals.isShutdownRequested());
        signals.requestShutdown();
        assertTrue(signals.isShutdownRequested());
        assertTrue(signals.awaitShutdown(1_000));
    }
}
