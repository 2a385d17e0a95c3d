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

/** Guards the example in the README of a front that embeds the policy. */
class EmbeddingTest {

    /** Actions of a front that only records the servers of set-ups and the final answers. */
    private static final class RecordingActions implements PolicyActions {
        final List<String> actions = new ArrayList<>();

        @Override
        public void sendSetUp(long callId, String serverId, double abandonAt) {
            actions.add(serverId);
        }

        @Override
        public void refuseCall(long callId, double retryAfter) {
            actions.add("refused");
        }

        @Override
        public void failCall(long callId) {
            actions.add("failed");
        }

        @Override
        public void cancelAttempt(long callId, int attempt) {}

        @Override
        public void startTimer(double delay, long token) {}

        @Override
        public void sendProbe(String serverId) {}

        @Override
        public void fetchServerList() {}

        @Override
        public void followServerList() {}
    }

    @Test
    void callIsSentAndEstablished() {
        double now = 0;
        RecordingActions actions = new RecordingActions();
        RoutingPolicy policy =
                new CongestionControlPolicy(PolicyScript.settings().build(), actions);
        policy.onServerListUpdate(
                now, true, List.of(new ServerEntry("core-1", 0, OptionalDouble.empty(), ServerState.RUNNING)));
        policy.onCallOffered(now, new Call(1, "number", 0, 0, 3000, false, false));
        policy.onBatchEnd(now);
        policy.onCallEstablished(now + 40, 1, "core-1", 0, 40);
        assertEquals(List.of("core-1"), actions.actions);
    }
}
