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

/**
 * The signalling servers: one endpoint for each server that the server list has named and that is still in use.
 * Bounds the connections to all of them together. Used on the event loop only.
 */
final class ServerEndpoints implements RouterPorts.ServerSignalling {
    private static final RouterPorts.SendFailure UNREACHABLE =
            new RouterPorts.SendFailure(AttemptStatus.UNREACHABLE, RejectReason.NONE);
    private static final double SWEEP_INTERVAL_MS = 100;
    /** Limit of the bytes waiting to be sent on one connection, however much memory there is. */
    private static final int MAX_UNSENT_BYTES = 256 << 10;

    /**
     * What all endpoints share.
     *
     * @param loop the node's event loop and timers
     * @param callRegistry the node's calls
     * @param loadReportParser parser of the servers' load reports
     * @param connectTimeoutMs limit of a connection attempt and of a probe, in milliseconds
     * @param hasCapacity whether one more connection is allowed beside the first to each server
     * @param random source of the jitter that keeps front nodes out of step
     * @param probesAllowed whether the settings allow probes
     * @param maxUnsentBytes bytes waiting to be sent on a connection beyond which its server is considered not to read
     */
    record EndpointContext(
            CoreLoop loop,
            CallRegistry callRegistry,
            LoadReportParser loadReportParser,
            double connectTimeoutMs,
            BooleanSupplier hasCapacity,
            SplittableRandom random,
            boolean probesAllowed,
            int maxUnsentBytes) {}

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
     * @param maxUnsentBytes limit of the bytes waiting to be sent to all servers together
     */
    ServerEndpoints(
            CoreLoop loop,
            CallRegistry callRegistry,
            LoadReportParser loadReportParser,
            double connectTimeoutMs,
            int maxConnections,
            long seed,
            boolean probesAllowed,
            long maxUnsentBytes) {
        this.maxConnections = maxConnections;
        context = new EndpointContext(
                loop,
                callRegistry,
                loadReportParser,
                connectTimeoutMs,
                () -> endpoints.values().stream()
                                .mapToInt(ServerEndpoint::connectionCount)
                                .sum()
                        < maxConnections,
                new SplittableRandom(seed),
                probesAllowed,
                (int) Math.min(MAX_UNSENT_BYTES, maxUnsentBytes / maxConnections));
    }

    void start(Router router) {
        this.router = router;
        context.loop().timers().schedule(context.loop().now() + SWEEP_INTERVAL_MS, this::sweep);
    }

    ServerEndpoint get(String serverId) {
        return endpoints.get(serverId);
    }

    int size() {
        return endpoints.size();
    }

    int outstandingAttempts() {
        return endpoints.values().stream()
                .mapToInt(ServerEndpoint::outstandingAttempts)
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

    /** Returns the number of BYE requests that servers may still confirm in time. */
    long releasesAwaitingConfirmation() {
        return endpoints.values().stream()
                .mapToLong(ServerEndpoint::releasesAwaitingConfirmation)
                .sum();
    }

    /** Returns the file descriptors reserved for servers: the limit, or one per server if there are more servers. */
    int reservedDescriptors() {
        return Math.max(maxConnections, endpoints.size());
    }

    /** Applies the server list: new servers get an endpoint, delisted ones lose theirs once their calls are over. */
    void applyServerList(ServerList serverList) {
        Set<String> listedIds = new HashSet<>();
        for (ServerList.Server server : serverList.servers()) {
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
        context.loop().timers().schedule(now + SWEEP_INTERVAL_MS, this::sweep);
        endpoints.values().forEach(endpoint -> endpoint.sweep(now));
        endpoints.values().removeIf(ServerEndpoint::isObsolete);
    }

    @Override
    public RouterPorts.SendFailure sendSetUp(
            double now, String serverId, long recordId, int attemptIndex, double giveUpAt, CallRecord record) {
        ServerEndpoint endpoint = endpoints.get(serverId);
        NodeCall nodeCall = context.callRegistry().get(recordId);
        return endpoint != null && nodeCall != null && endpoint.setUp(nodeCall, recordId, attemptIndex, giveUpAt)
                ? null
                : UNREACHABLE;
    }

    @Override
    public double sendRelease(double now, String serverId, long recordId, int attemptIndex, boolean timedOut) {
        ServerEndpoint endpoint = endpoints.get(serverId);
        NodeCall nodeCall = context.callRegistry().get(recordId);
        if (endpoint != null && nodeCall != null) {
            endpoint.cancel(nodeCall.callId, attemptIndex);
        }
        return context.loop().now();
    }

    @Override
    public void sendProbe(double now, String serverId) {
        ServerEndpoint endpoint = endpoints.get(serverId);
        if (endpoint != null) {
            endpoint.probe();
        } else {
            context.loop()
                    .timers()
                    .schedule(
                            now,
                            firedAt -> router.probeCompleted(firedAt, serverId, true, false, 0, ServerLoadReport.NONE));
        }
    }

    /** Returns whether a connection to each running server of the list has been established or has failed. */
    boolean isReady() {
        return router.serverList().servers().stream()
                .filter(server -> server.state() == ServerState.RUNNING)
                .allMatch(server -> endpoints.containsKey(server.id())
                        && endpoints.get(server.id()).hasCompletedConnectAttempt());
    }

    void close() {
        endpoints.values().forEach(ServerEndpoint::close);
    }
}
