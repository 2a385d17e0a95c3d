package damsonseam.node;

import damsonseam.RoutingPolicy.ServerLoadReport;
import damsonseam.core.Router;
import damsonseam.sip.SipMessage;
import java.util.HashMap;
import java.util.Map;

/**
 * The OPTIONS requests to one server that have no response yet. The routing policy is notified of the outcome of those
 * that it requested; each has one within the connect timeout. Used on the event loop only.
 */
final class ServerProbes {
    private static final String PROBE_URI = "sip:ping@net";

    /**
     * A probe without a response.
     *
     * @param sentAtMs when it was sent, in milliseconds of the loop's clock
     * @param requested whether the routing policy requested it
     * @param connection the connection on which it was sent
     */
    record Probe(double sentAtMs, boolean requested, ServerConnection connection) {}

    private final ServerEndpoints.EndpointContext context;
    private final Router router;
    private final String serverId;
    private final Map<String, Probe> pending = new HashMap<>();
    private long lastNumber;

    ServerProbes(ServerEndpoints.EndpointContext context, Router router, String serverId) {
        this.context = context;
        this.router = router;
        this.serverId = serverId;
    }

    /** Sends a probe on a connection. */
    void send(ServerConnection connection, boolean requested) {
        double now = context.loop().now();
        String probeId = String.format("%016x", (long) serverId.hashCode() << 32 | lastNumber++ & 0xffffffffL);
        Probe probe = new Probe(now, requested, connection);
        pending.put(probeId, probe);
        connection.onProbeSent(now);
        connection.send(SipMessage.request(SipMessage.OPTIONS, PROBE_URI, probeId, 1), null);
        context.loop().timers().schedule(now + context.connectTimeoutMs(), firedAt -> {
            if (pending.remove(probeId) != null) {
                complete(probe, firedAt, false, ServerLoadReport.NONE);
            }
        });
    }

    /** Handles a response; returns the probe that it answers, or null if there is none. */
    Probe onResponse(SipMessage message, ServerLoadReport report, double now) {
        Probe probe = pending.remove(String.valueOf(message.callId()));
        if (probe != null) {
            complete(probe, now, message.status() == SipMessage.OK, report);
        }
        return probe;
    }

    /** Fails the probes that were sent on a closed connection. */
    void onDisconnected(ServerConnection connection, double now) {
        pending.values().removeIf(probe -> {
            boolean lost = probe.connection == connection;
            if (lost) {
                complete(probe, now, false, ServerLoadReport.NONE);
            }
            return lost;
        });
    }

    private void complete(Probe probe, double now, boolean passed, ServerLoadReport report) {
        if (probe.requested) {
            router.probeCompleted(now, serverId, true, passed, now - probe.sentAtMs, report);
        }
    }
}
