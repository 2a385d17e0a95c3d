package damsonseam;

import static org.junit.jupiter.api.Assertions.assertEquals;

import damsonseam.Front.Actions;
import damsonseam.Front.Call;
import damsonseam.Front.ServerEntry;
import damsonseam.Front.State;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/** The README's example of a front that embeds the module. */
class EmbedTest {

    /** A front that only notes what it is asked to send. */
    private static final class Sends implements Actions {
        final List<String> to = new ArrayList<>();

        @Override
        public void send(long call, String server, double abandonAt) {
            to.add(server);
        }

        @Override
        public void refuse(long call, double returnAfter) {
            to.add("refused");
        }

        @Override
        public void fail(long call) {
            to.add("failed");
        }

        @Override
        public void cancel(long call, int attempt) {}

        @Override
        public void timer(double after, long token) {}

        @Override
        public void probe(String server) {}

        @Override
        public void fetchList() {}

        @Override
        public void followList() {}
    }

    @Test
    void aCallIsSentAndStands() {
        double now = 0;
        Sends actions = new Sends();
        Front front = new Decide(Script.settings().build(), actions);
        front.serverList(now, true, List.of(new ServerEntry("core-1", 0, OptionalDouble.empty(), State.RUNNING)));
        front.offered(now, new Call(1, "number", 0, 0, 3000, false, false));
        front.settled(now);
        front.stands(now + 40, 1, "core-1", 0, 40);
        assertEquals(List.of("core-1"), actions.to);
    }
}
