package damsonseam.bench;

import damsonseam.CongestionControlPolicy;
import damsonseam.RoutingPolicy.AttemptStatus;
import damsonseam.RoutingPolicy.RejectReason;
import damsonseam.RoutingPolicy.ServerLoadReport;
import damsonseam.RoutingPolicy.ServerState;
import damsonseam.config.Endpoint;
import damsonseam.config.FrontSettings;
import damsonseam.config.TimeSpan;
import damsonseam.core.CallRecord;
import damsonseam.core.CallTable;
import damsonseam.core.CallTracer;
import damsonseam.core.CircuitAllocator;
import damsonseam.core.LookupResult;
import damsonseam.core.Router;
import damsonseam.core.RouterPorts;
import damsonseam.core.RouterSettings;
import damsonseam.core.ServerList;
import damsonseam.core.TimerWheel;
import damsonseam.ss7.IsupMessage;
import damsonseam.ss7.TrunkGroup;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Measures the heap of each open call in core, decision module and trunk groups, without sockets: while its lookup is
 * pending, and once it is established.
 */
public final class MemoryBench {
    private static final int SERVERS = 30;

    private MemoryBench() {}

    /** Opens {@code count} calls, measures the heap, answers them all, and measures the heap again. */
    public static Map<String, Object> run(int count) throws InterruptedException {
        TimerWheel timers = new TimerWheel(0);
        FrontSettings settings = new FrontSettings(
                new FrontSettings.Identity("memory", 1, 1L),
                new FrontSettings.EnumSettings(new Endpoint("127.0.0.1", 0), "e164.example.org", null, null),
                List.of(new FrontSettings.CallClassSettings("c", TimeSpan.ms(600_000), TimeSpan.ms(900_000), 1.0, 0.0)),
                List.of(new FrontSettings.NumberRange("5", "c", TimeSpan.ms(600_000))),
                new FrontSettings.Upstream(List.of(new Endpoint("127.0.0.1", 1)), null, null, null, null, null),
                new FrontSettings.Directory(new Endpoint("127.0.0.1", 1)),
                null,
                null,
                null,
                null);
        AnsweringTrunks trunks = new AnsweringTrunks(timers);
        List<ServerList.Server> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new ServerList.Server(
                    "s" + i, i, "127.0.0.1:1", 2 + i, ServerState.RUNNING, OptionalDouble.empty()));
        }
        List<Long> lookups = new ArrayList<>();
        // The path is measured rather than the routing policy, which holds no established calls.
        Router router = new Router(
                new RouterSettings(settings.policySettings(1), 2 * count, 5, 100, 20),
                actions -> new CongestionControlPolicy(settings.policySettings(1), actions),
                new CallTable(2 * count, 1),
                timers,
                (call, number, deadline) -> lookups.add(call),
                trunks,
                trunks,
                CallTracer.NONE);
        trunks.router = router;
        router.serverListUpdated(0, 1, true, servers);
        long heapBefore = usedHeapBytes();
        double now = 1;
        for (int i = 0; i < count; i++) {
            router.callReceived(now, String.format("5982100%07d", i), 0, 600_000, 0, false, (a, b, c) -> {});
        }
        long heapLookingUp = usedHeapBytes();
        int answered = 0;
        for (long call : lookups) {
            now += 0.2;
            router.lookupCompleted(now, call, LookupResult.found(List.of("s" + answered % SERVERS)));
            router.endBatch(now);
            trunks.answerAll(now);
            router.endBatch(now);
            answered++;
        }
        lookups.clear();
        long heapEstablished = usedHeapBytes();
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("calls", count);
        report.put("open", router.openCalls());
        report.put("stood", router.counters().established);
        report.put("octetsLookingUp", (heapLookingUp - heapBefore) / count);
        report.put("octetsStanding", (heapEstablished - heapBefore) / Math.max(1, router.openCalls()));
        return report;
    }

    /** Returns the minimum of several samples of the used heap, each taken after a garbage collection. */
    private static long usedHeapBytes() throws InterruptedException {
        long minBytes = Long.MAX_VALUE;
        for (int i = 0; i < 4; i++) {
            System.gc();
            Thread.sleep(50);
            minBytes = Math.min(
                    minBytes,
                    Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
        }
        return minBytes;
    }

    /** Trunk groups to servers that answer every set-up once {@link #answerAll} is called. */
    private static final class AnsweringTrunks implements RouterPorts.ServerSignalling, RouterPorts.Directory {
        private final Map<String, TrunkGroup> groups = new LinkedHashMap<>();
        private final List<Runnable> pendingAnswers = new ArrayList<>();
        private Router router;

        AnsweringTrunks(TimerWheel timers) {
            for (int i = 0; i < SERVERS; i++) {
                String id = "s" + i;
                groups.put(
                        id,
                        new TrunkGroup(
                                new CircuitAllocator(CircuitAllocator.MAX_CIRCUITS, true),
                                timers,
                                TrunkGroup.TimerValues.Q764,
                                1,
                                new TrunkGroup.Output() {
                                    @Override
                                    public void send(IsupMessage message) {
                                        if (message.type() == IsupMessage.Type.IAM) {
                                            pendingAnswers.add(() -> groups.get(id)
                                                    .onMessage(
                                                            0,
                                                            IsupMessage.of(message.circuit(), IsupMessage.Type.ANM)));
                                        }
                                    }

                                    @Override
                                    public void onAnswered(
                                            double now, long call, int attempt, ServerLoadReport report) {
                                        router.callEstablished(now, call, attempt, report);
                                    }

                                    @Override
                                    public void onAttemptEnded(
                                            double now,
                                            long call,
                                            int attempt,
                                            AttemptStatus result,
                                            RejectReason reason,
                                            OptionalDouble retryAfterMs,
                                            ServerLoadReport report) {
                                        router.attemptEnded(now, call, attempt, result, reason, retryAfterMs, report);
                                    }

                                    @Override
                                    public void onReleaseComplete(double now, long call, int attempt) {
                                        router.releaseConfirmed(now, call, attempt);
                                    }
                                }));
                groups.get(id).onConnectionUp(0);
            }
        }

        /** Delivers the answers to all set-ups sent since the last call. */
        void answerAll(double now) {
            List<Runnable> due = new ArrayList<>(pendingAnswers);
            pendingAnswers.clear();
            due.forEach(Runnable::run);
        }

        @Override
        public RouterPorts.SendFailure sendSetUp(
                double now, String server, long call, int attempt, double deadline, CallRecord record) {
            return groups.get(server).setUp(call, attempt, record.number(), 10)
                    ? null
                    : new RouterPorts.SendFailure(AttemptStatus.FULL, RejectReason.NO_LINE);
        }

        @Override
        public double sendRelease(double now, String server, long call, int attempt, boolean timedOut) {
            groups.get(server).release(now, call, attempt, IsupMessage.NORMAL_CLEARING);
            return now;
        }

        @Override
        public void sendProbe(double now, String server) {}

        @Override
        public void requestServerList() {}

        @Override
        public void subscribeToUpdates() {}
    }
}
