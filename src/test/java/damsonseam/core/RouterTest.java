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

/** The core with the module and one server, without sockets: each set-up that goes out has one end. */
class RouterTest implements RouterPorts.ServerSignalling, RouterPorts.Directory {
    private final TimerWheel timers = new TimerWheel(0);
    private final List<Long> sent = new ArrayList<>();
    private final List<FinalAnswer.Kind> answers = new ArrayList<>();
    private final Router router;

    RouterTest() {
        CallClass plain = new CallClass(
                OptionalDouble.of(300),
                OptionalDouble.of(3_000),
                OptionalDouble.of(1),
                OptionalDouble.of(0.25),
                Optional.empty());
        PolicySettings settings = new PolicySettings(
                1,
                OptionalInt.of(3),
                List.of(plain),
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
                (RoutingPolicy.PolicyActions act) -> new CongestionControlPolicy(settings, act),
                new CallTable(1_000, 1),
                timers,
                (call, number, deadline) -> {},
                this,
                this,
                CallTracer.NONE);
        ServerList.Server a = new ServerList.Server("a", 0, "a:1", 0, ServerState.RUNNING, OptionalDouble.empty());
        router.serverListUpdated(0, 1, true, List.of(a));
        turn(1);
    }

    private void turn(double now) {
        router.onTick(now);
        router.endBatch(now);
    }

    private CallRecord offer(double now, double patience) {
        CallRecord call = router.routedCallReceived(
                now, "1", 0, 0, patience, 0, false, (at, of, answer) -> answers.add(answer.kind()));
        turn(now);
        return call;
    }

    @Test
    void setUpsOfCallersThatLeftDoNotCloseTheServer() {
        // Callers go away while their set-ups are out; each is given up there. Seen on the bench as a node that sent
        // nothing to any server any more: the module never heard of their ends and took the server for silent.
        double now = 10;
        for (int i = 0; i < 20; i++) {
            CallRecord call = offer(now, 2_000);
            router.callerAbandoned(now + 5, call);
            turn(now + 5);
            now += 10;
        }
        assertTrue(!sent.isEmpty());
        sent.clear();
        for (int i = 0; i < 200; i++, now += 20) {
            turn(now);
        }
        CallRecord late = offer(now, 2_000);
        assertEquals(List.of(late.id()), sent, "a server that never failed gets the next call at once");
        router.callEstablished(now + 20, late.id(), 0, ServerLoadReport.NONE);
        turn(now + 20);
        assertEquals(List.of(FinalAnswer.Kind.STANDS), answers);
    }

    @Override
    public RouterPorts.SendFailure sendSetUp(
            double now, String server, long call, int attempt, double until, CallRecord record) {
        sent.add(call);
        return null;
    }

    @Override
    public double sendRelease(double now, String server, long call, int attempt, boolean timedOut) {
        timers.schedule(now + 2, at -> router.releaseConfirmed(at, call, attempt));
        return now;
    }

    @Override
    public void sendProbe(double now, String server) {}

    @Override
    public void requestServerList() {}

    @Override
    public void subscribeToUpdates() {}
}
