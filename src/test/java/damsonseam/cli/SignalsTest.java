package damsonseam.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class SignalsTest {

    @Test
    void aReloadDuringTheStartIsDoneOnceAfterIt() {
        Signals signals = new Signals();
        AtomicInteger reloads = new AtomicInteger();
        signals.reload();
        signals.reload();
        assertEquals(0, reloads.get());
        signals.running(reloads::incrementAndGet);
        assertEquals(1, reloads.get(), "the file is read again once it can be used");
        signals.reload();
        assertEquals(2, reloads.get());
    }

    @Test
    void anEndThatIsAskedForDuringTheStartIsKept() throws Exception {
        Signals signals = new Signals();
        assertFalse(signals.ended());
        signals.end();
        assertTrue(signals.ended());
        signals.awaitEnd();
    }
}
