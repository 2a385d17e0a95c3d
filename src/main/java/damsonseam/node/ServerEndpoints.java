package damsonseam.node;

import damsonseam.RoutingPolicy.AttemptStatus;
import damsonseam.RoutingPolicy.RejectReason;
import damsonseam.RoutingPolicy.ServerLoadReport;
import damsonseam.RoutingPolicy.ServerState;
import damsonseam.core.CallRecord;
import damsonseam.core.Router;
import damsonseam.core.RouterPorts;
import damsonseam.core.ServerList;
import damsonseam.loop.CoreLoop;
import damsonseam.settings.LoadReportParser;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;

/** The ways to the signalling servers, one for each that the list has named and that is still of use. */
final class ServerEndpoints implements RouterPorts.ServerSignalling {
    private static final RouterPorts.SendFailure UNREACHABLE =
            new RouterPorts.SendFailure(AttemptStatus.UNREACHABLE, RejectReason.NONE);
    private static final double SWEEP_INTERVAL_MS = 250;

    /**
     * What all links have in common.
     *
     * @param connectTimeoutMs how long a connection may take, in milliseconds
     * @param hasCapacity whether there may be one more connection beside the first to each server
     * @param random spreads what fronts would else do in step
     * @param probesAllowed whether the settings allow tests
     */
    record EndpointContext(
            CoreLoop loop,
            CallRegistry callRegistry,
            LoadReportParser reportFields,
            double connectTimeoutMs,
            BooleanSupplier hasCapacity,
            SplittableRandom random,
            boolean probesAllowed) {}

    private final EndpointContext context;
    private final int maxConnections;
    private final Map<String, ServerEndpoint> endpoints = new HashMap<>();
    private Router router;

    /**
     * No links yet.
     *
     * @param maxConnections connections to all servers that are made at the most beside the first to each
     * @param seed for random numbers
     * @param probesAllowed whether the settings allow tests
     */
    ServerEndpoints(
            CoreLoop loop,
            CallRegistry callRegistry,
            LoadReportParser reportFields,
            double connectTimeoutMs,
            int maxConnections,
            long seed,
            boolean probesAllowed) {
        this.maxConnections = maxConnections;
        context = new EndpointContext(
                loop,
                callRegistry,
                reportFields,
                connectTimeoutMs,
                () -> endpoints.values().stream()
                                .mapToInt(ServerEndpoint::connectionCount)
                                .sum()
                        < maxConnections,
                new SplittableRandom(seed),
                probesAllowed);
    }

    void start(Router router) {
        this.router = router;
        context.loop().timers().schedule(context.loop().now() + SWEEP_INTERVAL_MS, this::sweep);
    }

    ServerEndpoint get(String id) {
        return endpoints.get(id);
    }

    int size() {
        return endpoints.size();
    }

    int attempts() {
        return endpoints.values().stream()
                .mapToInt(ServerEndpoint::attemptCount)
                .sum();
    }

    int carriedAttempts() {
        return endpoints.values().stream()
                .mapToInt(ServerEndpoint::carriedAttempts)
                .sum();
    }

    int establishedCalls() {
        return endpoints.values().stream()
                .mapToInt(endpoint -> endpoint.establishedCalls().size())
                .sum();
    }

    /** Descriptors kept for servers: the limit, and one for each server where they are more. */
    int reservedDescriptors() {
        return Math.max(maxConnections, endpoints.size());
    }

    /** Follows the list: new servers get a link, those gone from it lose theirs once their calls are over. */
    void applyServerList(ServerList pool) {
        Set<String> listedIds = new HashSet<>();
        for (ServerList.Server server : pool.servers()) {
            listedIds.add(server.id());
            ServerEndpoint endpoint = endpoints.get(server.id());
            if (endpoint == null) {
                // Who listens at this address now is another process: what was there before has ended.
                endpoints.values().stream()
                        .filter(other -> other.address().equals(server.address()))
                        .toList()
                        .forEach(ServerEndpoint::onReplaced);
                endpoints.put(server.id(), new ServerEndpoint(context, router, server));
            } else {
                endpoint.update(server);
            }
        }
        endpoints.values().forEach(endpoint -> {
            if (!listedIds.contains(endpoint.id())) {
                endpoint.onDelisted();
            }
        });
    }

    private void sweep(double now) {
        endpoints.values().forEach(endpoint -> endpoint.sweep(now));
        endpoints.values().removeIf(ServerEndpoint::isObsolete);
        context.loop().timers().schedule(now + SWEEP_INTERVAL_MS, this::sweep);
    }

    @Override
    public RouterPorts.SendFailure sendSetUp(
            double now, String server, long call, int attempt, double until, CallRecord record) {
        ServerEndpoint endpoint = endpoints.get(server);
        NodeCall nodeCall = context.callRegistry().get(call);
        return endpoint != null && nodeCall != null && endpoint.setUp(nodeCall, call, attempt, until)
                ? null
                : UNREACHABLE;
    }

    @Override
    public double sendRelease(double now, String server, long call, int attempt, boolean timedOut) {
        ServerEndpoint endpoint = endpoints.get(server);
        NodeCall nodeCall = context.callRegistry().get(call);
        if (endpoint != null && nodeCall != null) {
            endpoint.cancel(nodeCall.id, attempt);
        }
        return context.loop().now();
    }

    @Override
    public void sendProbe(double now, String server) {
        ServerEndpoint endpoint = endpoints.get(server);
        if (endpoint != null) {
            endpoint.probe();
        } else {
            context.loop()
                    .timers()
                    .schedule(now, at -> router.probeCompleted(at, server, true, false, 0, ServerLoadReport.NONE));
        }
    }

    /** Whether each running server of the list has been reached, or has been tried in vain. */
    boolean isReady() {
        return router.serverList().servers().stream()
                .filter(server -> server.state() == ServerState.RUNNING)
                .allMatch(server -> endpoints.containsKey(server.id())
                        && endpoints.get(server.id()).hasTriedToConnect());
    }

    void close() {
        endpoints.values().forEach(ServerEndpoint::close);
    }
}
