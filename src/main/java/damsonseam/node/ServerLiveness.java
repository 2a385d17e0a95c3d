package damsonseam.node;

import damsonseam.RoutingPolicy.ServerLoadReport;
import java.util.List;
import java.util.OptionalDouble;

/**
 * Finds out whether the process that holds the calls established at a server is alive. A server may have nothing to
 * send, and one that is cut off or has vanished says nothing: a silent server is probed on each connection, and asked
 * by a new connection, on which it reports first. An address does not name a process; that another one answers there
 * shows in the connections and reports. Used on the event loop only.
 */
final class ServerLiveness {
    /** The platform requires the release of a call within this time of its end, even if the end was not reported. */
    private static final double RELEASE_DEADLINE_MS = 8_000;
    /** Part of {@link #RELEASE_DEADLINE_MS} that is kept for the delivery of the release to the caller. */
    private static final double RELEASE_DELIVERY_MS = 1_000;
    /** Silence after which calls count as ended: their process ended no earlier than after its last message. */
    private static final double MAX_SILENCE_MS = RELEASE_DEADLINE_MS - RELEASE_DELIVERY_MS;
    /**
     * Silence after which a server with established calls is probed: a partition begins no later than the first probe
     * without a response, so one of 6 s is over before {@link #MAX_SILENCE_MS}.
     */
    private static final double PROBE_AFTER_MS = 500;
    /** Time between two rounds of probes to a silent server. */
    private static final double PROBE_INTERVAL_MS = 500;
    /** Silence after which a server is asked by a new connection. */
    private static final double CONNECT_AFTER_MS = 2_000;
    /** Time between two such connections. */
    private static final double CONNECT_INTERVAL_MS = 1_000;
    /** A probe sent this long before its connection ends would have been answered by the process that had opened it. */
    private static final double MAX_ROUND_TRIP_MS = 100;
    /** How much older than a connection a call must be so that the first report on the connection includes it. */
    private static final double MAX_REPORT_AGE_MS = 1_000;

    private final ServerEndpoint endpoint;
    private final ServerProbes probes;
    private final boolean probesAllowed;
    /** The open connections of the endpoint, the oldest first. */
    private final List<ServerConnection> connections;

    private double lastReceivedMs;
    /** Since when calls are established at the server; the current time while there is none. */
    private double callsSinceMs;

    private double lastProbedMs;
    /** When a connection was last opened to find out whether the server is alive. */
    private double lastConnectedMs;

    ServerLiveness(
            ServerEndpoint endpoint,
            ServerProbes probes,
            boolean probesAllowed,
            List<ServerConnection> connections,
            double now) {
        this.endpoint = endpoint;
        this.probes = probes;
        this.probesAllowed = probesAllowed;
        this.connections = connections;
        lastReceivedMs = now;
        callsSinceMs = now;
    }

    /** Handles a sign of life of the process. */
    void onMessage(double now) {
        lastReceivedMs = now;
    }

    /** Handles that no calls are established at the server, so that nothing needs to be known. */
    void onNoCalls(double now) {
        callsSinceMs = now;
    }

    /** Asks a silent server for a sign of life; returns whether it has been silent for too long. */
    boolean checkSilence(double now) {
        double silentMs = now - Math.max(lastReceivedMs, callsSinceMs);
        if (silentMs > MAX_SILENCE_MS) {
            return true;
        }
        if (silentMs > PROBE_AFTER_MS && now - lastProbedMs > PROBE_INTERVAL_MS) {
            probeAllConnections(now);
        }
        if (silentMs > CONNECT_AFTER_MS && now - lastConnectedMs > CONNECT_INTERVAL_MS) {
            askByNewConnection(now);
        }
        return false;
    }

    /**
     * Probes every connection to find out whether the process is alive: a connection on which nothing is sent does not
     * notice that the far end is gone. A second probe behind an unanswered one would not arrive any sooner.
     */
    void probeAllConnections(double now) {
        if (probesAllowed) {
            lastProbedMs = now;
            connections.stream()
                    .filter(connection -> Double.isNaN(connection.unansweredProbeSinceMs()))
                    .toList()
                    .forEach(connection -> probes.send(connection, false));
        }
    }

    /**
     * Opens a connection. Where there are two, or at a limit, an idle one is closed and replaced unless it can be
     * probed, so that the server can be asked however long it has nothing to report.
     */
    private void askByNewConnection(double now) {
        lastConnectedMs = now;
        if ((connections.size() > 1 || !endpoint.connect()) && !probesAllowed) {
            connections.stream()
                    .filter(connection -> connection.outstandingAttempts() == 0)
                    .findFirst()
                    .ifPresent(ServerConnection::close);
        }
    }

    /**
     * Returns whether the loss of a connection shows that the process at its other end has ended: the server closed or
     * reset it with a probe unanswered, and no connection is left that was open when the probe was sent. A process that
     * was merely cut off or busy keeps its connections and answers on them.
     */
    boolean isSignOfNewProcess(ServerConnection lost, double now) {
        double probedAtMs = lost.unansweredProbeSinceMs();
        return lost.isEndedByPeer()
                && now - probedAtMs > MAX_ROUND_TRIP_MS
                && connections.stream().noneMatch(connection -> connection.openedAtMs() <= probedAtMs);
    }

    /**
     * Returns the time before which calls were established at a former process, if a report shows that there is another
     * one: all lines are free, and no connection is left from that time.
     */
    OptionalDouble endOfFormerProcess(ServerLoadReport report) {
        double lines = report.lines().orElse(0);
        boolean allFree = lines > 0 && report.freeLines().orElse(0) >= lines;
        return allFree
                ? connections.stream()
                        .mapToDouble(connection -> connection.openedAtMs() - MAX_REPORT_AGE_MS)
                        .min()
                : OptionalDouble.empty();
    }
}
