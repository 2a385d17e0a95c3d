package damsonseam.node;

import damsonseam.sip.SipHeaders;
import damsonseam.sip.SipMessage;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The BYE requests that one server has not confirmed yet. A release is pending from the end of its call at this node
 * until there is evidence that the server has received it or has ended the call itself, until its process is known to
 * have ended, or for {@link #MAX_AGE_MS}. That a BYE was written is no such evidence: the server may have given the
 * connection up, or may be cut off.
 *
 * <p>Evidence of receipt is a response to the BYE. Servers may omit that; until a first one has been received, a later
 * message on the same connection counts, too. An unconfirmed BYE is sent again on another connection, at once if its
 * own closes and otherwise after {@link #CONFIRMATION_TIMEOUT_MS}. Repeating it is harmless: the server no longer knows
 * the call the second time.
 *
 * <p>Used on the event loop only; holds at most {@link #MAX_PENDING} releases.
 */
final class PendingServerReleases {
    private static final Logger LOG = LoggerFactory.getLogger(PendingServerReleases.class);
    /** Releases kept for one server; beyond that the oldest is dropped. */
    private static final int MAX_PENDING = 1_000;
    /** How often the BYE of one release is sent on connections that do not close. */
    private static final int MAX_TRANSMISSIONS = 3;
    /** Longer than any round trip. */
    private static final double CONFIRMATION_TIMEOUT_MS = 300;
    /** A message received sooner may have been sent before the BYE arrived. */
    private static final double MAX_TRANSIT_MS = 100;
    /** Longer than any partition after which a server still holds calls that are over. */
    private static final double MAX_AGE_MS = 30_000;

    /** One release that the server has not confirmed. */
    private static final class PendingRelease {
        final String callId;
        final String requestUri;
        final int cause;
        final double createdAtMs;
        /** The connection on which the BYE was sent last; null while it waits for one. */
        ServerConnection connection;

        double sentAtMs;
        int transmissions;

        PendingRelease(String callId, String requestUri, int cause, double createdAtMs) {
            this.callId = callId;
            this.requestUri = requestUri;
            this.cause = cause;
            this.createdAtMs = createdAtMs;
        }
    }

    private final ServerEndpoint endpoint;
    /** Pending releases by Call-ID, in the order in which their calls ended. */
    private final Map<String, PendingRelease> pending = new LinkedHashMap<>();
    /** Whether the server has ever answered a BYE. */
    private boolean serverConfirms;

    PendingServerReleases(ServerEndpoint endpoint) {
        this.endpoint = endpoint;
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }

    /** Returns how many BYE requests may still be confirmed in time; those without a connection are not counted. */
    long countAwaitingConfirmation() {
        double now = endpoint.now();
        return pending.values().stream()
                .filter(release -> release.connection != null && now - release.sentAtMs <= CONFIRMATION_TIMEOUT_MS)
                .count();
    }

    /** Sends the BYE of a call, as soon as there is a connection. */
    void send(String callId, String requestUri, int cause) {
        transmit(add(callId, requestUri, cause), endpoint.connectionForRelease(null));
    }

    /**
     * Adds the release of an attempt that ended without a final response and may be established all the same. A BYE
     * names the call and not the attempt, so it is sent once the call makes no further attempt at this server.
     */
    void addUncertain(String callId, String requestUri) {
        if (!pending.containsKey(callId)) {
            add(callId, requestUri, CallRegistry.CAUSE_TEMPORARY_FAILURE);
        }
    }

    private PendingRelease add(String callId, String requestUri, int cause) {
        pending.remove(callId);
        if (pending.size() >= MAX_PENDING) {
            pending.remove(pending.keySet().iterator().next());
        }
        PendingRelease release = new PendingRelease(callId, requestUri, cause, endpoint.now());
        pending.put(callId, release);
        return release;
    }

    private void transmit(PendingRelease release, ServerConnection connection) {
        release.connection = connection;
        if (connection == null) {
            endpoint.connect();
            return;
        }
        release.transmissions++;
        release.sentAtMs = endpoint.now();
        LOG.atDebug()
                .addKeyValue("id", release.callId)
                .addKeyValue("server", endpoint.id())
                .addKeyValue("transmissions", release.transmissions)
                .log("BYE sent to server");
        connection.send(
                SipMessage.request(SipMessage.BYE, release.requestUri, release.callId, 2)
                        .addHeader(SipHeaders.REASON, "Q.850;cause=" + release.cause),
                null);
    }

    /** Removes a release whose BYE the server has answered: it has released the call, or does not know it. */
    void onConfirmed(String callId) {
        serverConfirms = true;
        pending.remove(callId);
    }

    /** Removes the release of a call that the server has released itself. */
    void onReleasedByServer(String callId) {
        pending.remove(callId);
    }

    /** Removes all releases: the process has ended, and its calls with it. */
    void onProcessEnded() {
        pending.clear();
    }

    /** Handles a message from the server: it uses this connection, and has read what was sent on it before. */
    void onMessage(ServerConnection connection, double now) {
        if (!pending.isEmpty()) {
            pending.values()
                    .removeIf(release -> release.connection == connection
                            && now - release.sentAtMs > MAX_TRANSIT_MS
                            && (!serverConfirms || release.transmissions > 1));
        }
    }

    /** Sends the releases that wait for a connection, and those that were not confirmed on another one. */
    void onConnected(ServerConnection connection) {
        double now = endpoint.now();
        for (PendingRelease release : List.copyOf(pending.values())) {
            if (isDue(release, now)) {
                transmit(release, connection);
            }
        }
    }

    /** Sends the unconfirmed releases of a closed connection again: their BYE may not have been received. */
    void onDisconnected(ServerConnection connection) {
        for (PendingRelease release : List.copyOf(pending.values())) {
            if (release.connection == connection) {
                release.connection = null;
                if (!endpoint.mayUseCallAgain(release.callId)) {
                    transmit(release, endpoint.connectionForRelease(null));
                }
            }
        }
    }

    /** Repeats the releases that are due, and drops those that are too old. */
    void sweep(double now) {
        pending.values().removeIf(release -> now - release.createdAtMs > MAX_AGE_MS);
        for (PendingRelease release : List.copyOf(pending.values())) {
            if (isDue(release, now)) {
                ServerConnection other = endpoint.connectionForRelease(release.connection);
                if (other != null) {
                    transmit(release, other);
                } else {
                    endpoint.connect();
                }
            }
        }
    }

    private boolean isDue(PendingRelease release, double now) {
        if (endpoint.mayUseCallAgain(release.callId)) {
            return false;
        }
        return release.connection == null
                || release.transmissions < MAX_TRANSMISSIONS
                        && now - release.sentAtMs > CONFIRMATION_TIMEOUT_MS
                        && (serverConfirms || !release.connection.acceptsSetUps());
    }
}
