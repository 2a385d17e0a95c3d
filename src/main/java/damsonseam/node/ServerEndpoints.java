package damsonseam.node;

import damsonseam.Front.Reason;
import damsonseam.Front.Report;
import damsonseam.Front.Result;
import damsonseam.Front.State;
import damsonseam.core.CallRecord;
import damsonseam.core.Pool;
import damsonseam.core.Ports;
import damsonseam.core.Router;
import damsonseam.loop.Loop;
import damsonseam.settings.ReportFields;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;

/**
 * The signalling servers: one endpoint for each server that the server list has named and that is still in use.
 * Bounds the connections to all of them together. Used on the event loop only.
 */
final class ServerEndpoints implements Ports.Trunks {
    private static final Ports.NotSent UNREACHABLE = new Ports.NotSent(Result.UNREACHABLE, Reason.NONE);
    private static final double SWEEP_INTERVAL_MS = 250;

    /**
     * What all endpoints share.
     *
     * @param loop the node's event loop and timers
     * @param callRegistry the node's calls
     * @param reportFields the fields of a server's load report
     * @param connectTimeoutMs limit of a connection attempt and of a probe, in milliseconds
     * @param hasCapacity whether one more connection is allowed beside the first to each server
     * @param random source of the jitter that keeps front nodes out of step
     * @param probesAllowed whether the settings allow probes
     */
    record EndpointContext(
            Loop loop,
            CallRegistry callRegistry,
            ReportFields reportFields,
            double connectTimeoutMs,
            BooleanSupplier hasCapacity,
            SplittableRandom random,
            boolean probesAllowed) {}

    private final EndpointContext context;
    private final int maxConnections;
    private final Map<String, ServerEndpoint> endpoints = new HashMap<>();
    private Router router;

    /**
     * Creates an empty set of endpoints.
     *
     * @param maxConnections limit of the connections to all servers together, beyond which each gets only one
     * @param seed seed of the jitter
     * @param probesAllowed whether the settings allow probes
     */
    ServerEndpoints(
            Loop loop,
            CallRegistry callRegistry,
            ReportFields reportFields,
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
        context.loop().timers().set(context.loop().now() + SWEEP_INTERVAL_MS, this::sweep);
    }

    ServerEndpoint get(String id) {
        return endpoints.get(id);
    }

    int size() {
        return endpoints.size();
    }

    int outstandingAttempts() {
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

    /** Returns the file descriptors reserved for servers: the limit, or one per server if there are more servers. */
    int reservedDescriptors() {
        return Math.max(maxConnections, endpoints.size());
    }

    /** Applies the server list: new servers get an endpoint, delisted ones lose theirs once their calls are over. */
    void applyServerList(Pool pool) {
        Set<String> listedIds = new HashSet<>();
        for (Pool.Server server : pool.servers()) {
            listedIds.add(server.id());
            ServerEndpoint endpoint = endpoints.get(server.id());
            if (endpoint == null) {
                // Another process listens at this address now: the one before it has ended.
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
        context.loop().timers().set(now + SWEEP_INTERVAL_MS, this::sweep);
    }

    @Override
    public Ports.NotSent setUp(double now, String server, long call, int attempt, double until, CallRecord record) {
        ServerEndpoint endpoint = endpoints.get(server);
        NodeCall nodeCall = context.callRegistry().get(call);
        return endpoint != null && nodeCall != null && endpoint.setUp(nodeCall, call, attempt, until)
                ? null
                : UNREACHABLE;
    }

    @Override
    public double release(double now, String server, long call, int attempt, boolean timedOut) {
        ServerEndpoint endpoint = endpoints.get(server);
        NodeCall nodeCall = context.callRegistry().get(call);
        if (endpoint != null && nodeCall != null) {
            endpoint.cancel(nodeCall.id, attempt);
        }
        return context.loop().now();
    }

    @Override
    public void probe(double now, String server) {
        ServerEndpoint endpoint = endpoints.get(server);
        if (endpoint != null) {
            endpoint.probe();
        } else {
            context.loop().timers().set(now, firedAt -> router.probed(firedAt, server, true, false, 0, Report.NONE));
        }
    }

    /** Returns whether a connection to each running server of the list has been established or has failed. */
    boolean isReady() {
        return router.pool().servers().stream()
                .filter(server -> server.state() == State.RUNNING)
                .allMatch(server -> endpoints.containsKey(server.id())
                        && endpoints.get(server.id()).hasTriedToConnect());
    }

    void close() {
        endpoints.values().forEach(ServerEndpoint::close);
    }
}
