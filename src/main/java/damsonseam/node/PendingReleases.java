package damsonseam.node;

import damsonseam.core.Router;
import damsonseam.loop.CoreLoop;
import damsonseam.sip.SipHeaders;
import damsonseam.sip.SipMessage;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The BYE requests that callers have not confirmed yet. A release is kept from the end of its call until its caller
 * answers the BYE with 200, and at most {@link #MAX_AGE_MS}. That a BYE was written does not prove that it arrived: its
 * connection may be closing at the far end, or may belong to another caller on the same host. An unconfirmed BYE is
 * sent again on another connection, at once if its connection closes and otherwise after
 * {@link #CONFIRMATION_TIMEOUT_MS}. Repeating it is harmless: the caller no longer knows the call the second time.
 *
 * <p>Used on the event loop only; holds at most {@link #MAX_PENDING} releases.
 */
final class PendingReleases {
    private static final Logger LOG = LoggerFactory.getLogger(PendingReleases.class);
    /** Pending releases kept; beyond that one is dropped, first one of a call that no server has named. */
    private static final int MAX_PENDING = 4_000;
    /** How often the BYE of one release is sent at most. */
    private static final int MAX_TRANSMISSIONS = 3;
    /** Longer than any round trip, and short enough for two attempts within the second that the platform allows. */
    private static final double CONFIRMATION_TIMEOUT_MS = 300;
    /** How long an unconfirmed or unsent release is kept: the platform accepts none later. */
    private static final double MAX_AGE_MS = 8_000;

    private static final double SWEEP_INTERVAL_MS = 50;

    /** One release that its caller has not confirmed. */
    private static final class PendingRelease {
        final NodeCall call;
        final int cause;
        final double createdAtMs;
        /** The connection on which the BYE was sent last; null while its caller has none. */
        CallerConnection connection;

        double sentAtMs;
        int transmissions;

        PendingRelease(NodeCall call, int cause, double createdAtMs) {
            this.call = call;
            this.cause = cause;
            this.createdAtMs = createdAtMs;
        }
    }

    private final CoreLoop loop;
    /** Pending releases by Call-ID, in the order in which their calls ended. */
    private final Map<String, PendingRelease> pending = new LinkedHashMap<>();

    private Router router;
    private CallerListener callerListener;
    /**
     * Whether a caller has ever answered a BYE with 200. Callers may leave the response out, so a missing one means
     * something only where they do send it.
     */
    private boolean callersConfirm;

    PendingReleases(CoreLoop loop) {
        this.loop = loop;
    }

    void start(Router router, CallerListener callerListener) {
        this.router = router;
        this.callerListener = callerListener;
        loop.timers().schedule(loop.now() + SWEEP_INTERVAL_MS, this::sweep);
    }

    /** Returns how many BYE requests may still be confirmed in time; those without a connection are not counted. */
    long countAwaitingConfirmation() {
        double now = loop.now();
        return pending.values().stream()
                .filter(release -> release.connection != null && now - release.sentAtMs <= CONFIRMATION_TIMEOUT_MS)
                .count();
    }

    /** Returns the number of pending releases. */
    int size() {
        return pending.size();
    }

    /** Sends the release of a call to its caller, on another of its connections if the first is closed. */
    void send(NodeCall call, int cause) {
        if (pending.size() >= MAX_PENDING) {
            dropOne();
        }
        PendingRelease release = new PendingRelease(call, cause, router.now());
        pending.put(call.callId, release);
        CallerConnection callerConnection = call.caller;
        send(
                release,
                callerConnection != null && callerConnection.isUsable()
                        ? callerConnection
                        : callerListener.findAlternative(callerConnection, null));
    }

    /** Drops the oldest release of a call that no server has named, or the oldest of all if there is none. */
    private void dropOne() {
        String dropped = pending.values().stream()
                .map(release -> release.call)
                .filter(call -> !call.namedByServer)
                .findFirst()
                .map(call -> call.callId)
                .orElseGet(() -> pending.keySet().iterator().next());
        pending.remove(dropped);
    }

    private void send(PendingRelease release, CallerConnection connection) {
        release.connection = connection;
        if (connection == null) {
            LOG.atInfo()
                    .addKeyValue("id", release.call.callId)
                    .addKeyValue("cause", release.cause)
                    .addKeyValue("said", release.transmissions)
                    .log("release waits for a connection from its caller");
            return;
        }
        LOG.atDebug()
                .addKeyValue("id", release.call.callId)
                .addKeyValue("to", connection.toString())
                .addKeyValue("own", connection == release.call.caller)
                .addKeyValue("said", release.transmissions)
                .log("BYE sent to caller");
        release.transmissions++;
        release.sentAtMs = loop.now();
        connection.send(
                SipMessage.request(SipMessage.BYE, release.call.requestUri, release.call.callId, 2)
                        .addHeader(SipHeaders.REASON, "Q.850;cause=" + release.cause),
                null);
    }

    /** Removes a release whose BYE its caller has answered with 200. */
    void onConfirmed(CallerConnection connection, String callId) {
        PendingRelease release = pending.get(callId);
        if (release != null && (release.connection == connection || release.call.caller == connection)) {
            LOG.atDebug()
                    .addKeyValue("id", callId)
                    .addKeyValue("said", release.transmissions)
                    .log("release confirmed by caller");
            callersConfirm = true;
            if (release.call.namedByServer) {
                connection.markProvenCaller();
            }
            pending.remove(callId);
        }
    }

    /** Sends the unconfirmed releases of a closed connection again: their BYE may not have been received. */
    void onConnectionClosed(CallerConnection connection) {
        double now = loop.now();
        retransmit(release -> release.connection == connection
                && (callersConfirm || now - release.sentAtMs <= CONFIRMATION_TIMEOUT_MS));
    }

    /** Sends the releases that wait for this caller, which has just identified itself by a set-up or a call. */
    void onCallerAvailable(CallerConnection connection) {
        if (pending.isEmpty()) {
            return;
        }
        for (PendingRelease release : List.copyOf(pending.values())) {
            if (release.connection == null
                    && release.transmissions < MAX_TRANSMISSIONS
                    && (connection.hasSameHost(release.call.caller)
                            || connection.evidence() == CallerEvidence.ESTABLISHED_CALL)) {
                send(release, connection);
            }
        }
    }

    private void retransmit(Predicate<PendingRelease> filter) {
        for (PendingRelease release : new ArrayList<>(pending.values())) {
            if (filter.test(release)) {
                CallerConnection alternative = release.transmissions < MAX_TRANSMISSIONS
                        ? callerListener.findAlternative(release.call.caller, release.connection)
                        : null;
                if (alternative != null || !release.connection.isUsable()) {
                    send(release, alternative);
                }
            }
        }
    }

    private void sweep(double now) {
        loop.timers().schedule(now + SWEEP_INTERVAL_MS, this::sweep);
        pending.values().removeIf(release -> now - release.createdAtMs > MAX_AGE_MS);
        if (callersConfirm) {
            retransmit(release -> release.connection != null && now - release.sentAtMs > CONFIRMATION_TIMEOUT_MS);
        }
    }
}
