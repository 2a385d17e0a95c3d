package damsonseam.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.CongestionControlPolicy;
import damsonseam.RoutingPolicy;
import damsonseam.RoutingPolicy.CallClass;
import damsonseam.RoutingPolicy.PolicySettings;
import damsonseam.RoutingPolicy.ServerLoadReport;
import damsonseam.RoutingPolicy.ServerState;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/**
 * Runs the router with the routing policy and one server, without sockets. Guards against attempts whose outcome is
 * never reported to the policy, which then considers the server unresponsive and sends it no further calls.
 */
class RouterTest implements RouterPorts.ServerSignalling, RouterPorts.Directory {
    private final TimerWheel timers = new TimerWheel(0);
    private final List<Long> sent = new ArrayList<>();
    private final List<FinalAnswer.Kind> answers = new ArrayList<>();
    private final Router router;

    RouterTest() {
        CallClass callClass = new CallClass(
                OptionalDouble.of(300),
                OptionalDouble.of(3_000),
                OptionalDouble.of(1),
                OptionalDouble.of(0.25),
                Optional.empty());
        PolicySettings settings = new PolicySettings(
                1,
                OptionalInt.of(3),
                List.of(callClass),
                OptionalInt.empty(),
                OptionalInt.of(4),
                Optional.of(true),
                Optional.of(true),
                Optional.of(false),
                Optional.of(false),
                OptionalDouble.of(1),
                OptionalDouble.of(5),
                OptionalDouble.of(250),
                OptionalDouble.of(0.35),
                OptionalDouble.of(14_000),
                OptionalDouble.of(3),
                OptionalDouble.of(1_000),
                OptionalDouble.of(150),
                OptionalDouble.of(125),
                OptionalDouble.of(2_000));
        router = new Router(
                new RouterSettings(settings, 1_000, 2, 100, 8),
                (RoutingPolicy.PolicyActions actions) -> new CongestionControlPolicy(settings, actions),
                new CallTable(1_000, 1),
                timers,
                (call, number, deadline) -> {},
                this,
                this,
                CallTracer.NONE);
        ServerList.Server server = new ServerList.Server("a", 0, "a:1", 0, ServerState.RUNNING, OptionalDouble.empty());
        router.serverListUpdated(0, 1, true, List.of(server));
        tick(1);
    }

    private void tick(double now) {
        router.onTick(now);
        router.endBatch(now);
    }

    private CallRecord offerCall(double now, double patience) {
        CallRecord received = router.routedCallReceived(
                now, "1", 0, 0, patience, 0, false, (at, call, answer) -> answers.add(answer.kind()));
        tick(now);
        return received;
    }

    @Test
    void setUpsOfAbandonedCallsDoNotCloseTheServer() {
        // Callers abandon their calls while the set-ups are pending, so the attempts are given up. In a bench run, a
        // node stopped sending to any server because the outcomes of such attempts were not reported to the policy.
        double now = 10;
        for (int i = 0; i < 20; i++) {
            CallRecord call = offerCall(now, 2_000);
            router.callerAbandoned(now + 5, call);
            tick(now + 5);
            now += 10;
        }
        assertTrue(!sent.isEmpty());
        sent.clear();
        for (int i = 0; i < 200; i++, now += 20) {
            tick(now);
        }
        CallRecord next = offerCall(now, 2_000);
        assertEquals(List.of(next.id()), sent, "a server that never failed gets the next call at once");
        router.callEstablished(now + 20, next.id(), 0, ServerLoadReport.NONE);
        tick(now + 20);
        assertEquals(List.of(FinalAnswer.Kind.STANDS), answers);
    }

    @Override
    public RouterPorts.SendFailure sendSetUp(
            double now, String serverId, long callId, int attempt, double giveUpAt, CallRecord record) {
        sent.add(callId);
        return null;
    }

    @Override
    public double sendRelease(double now, String serverId, long callId, int attempt, boolean timedOut) {
        timers.schedule(now + 2, at -> router.releaseConfirmed(at, callId, attempt));
        return now;
    }

    @Override
    public void sendProbe(double now, String serverId) {}

    @Override
    public void requestServerList() {}

    @Override
    public void subscribeToUpdates() {}
}
