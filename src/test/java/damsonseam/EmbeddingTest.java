package damsonseam;

import static org.junit.jupiter.api.Assertions.assertEquals;

import damsonseam.RoutingPolicy.Call;
import damsonseam.RoutingPolicy.PolicyActions;
import damsonseam.RoutingPolicy.ServerEntry;
import damsonseam.RoutingPolicy.ServerState;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/** The README's example of a front that embeds the module. */
class EmbeddingTest {

    /** A front that only notes what it is asked to send. */
    private static final class Sends implements PolicyActions {
        final List<String> to = new ArrayList<>();

        @Override
        public void sendSetUp(long call, String server, double abandonAt) {
            to.add(server);
        }

        @Override
        public void refuseCall(long call, double returnAfter) {
            to.add("refused");
        }

        @Override
        public void failCall(long call) {
            to.add("failed");
        }

        @Override
        public void cancelAttempt(long call, int attempt) {}

        @Override
        public void startTimer(double after, long token) {}

        @Override
        public void sendProbe(String server) {}

        @Override
        public void fetchServerList() {}

        @Override
        public void followServerList() {}
    }

    @Test
    void aCallIsSentAndStands() {
        double now = 0;
        Sends actions = new Sends();
        RoutingPolicy front =
                new CongestionControlPolicy(PolicyScript.settings().build(), actions);
        front.onServerListUpdate(
                now, true, List.of(new ServerEntry("core-1", 0, OptionalDouble.empty(), ServerState.RUNNING)));
        front.onCallOffered(now, new Call(1, "number", 0, 0, 3000, false, false));
        front.onBatchEnd(now);
        front.onCallEstablished(now + 40, 1, "core-1", 0, 40);
        assertEquals(List.of("core-1"), actions.to);
    }
}
