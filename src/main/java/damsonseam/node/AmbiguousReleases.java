package damsonseam.node;

import damsonseam.RoutingPolicy.AttemptStatus;
import damsonseam.RoutingPolicy.ServerLoadReport;
import damsonseam.loop.CoreLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Releases from one server that may belong to a former attempt of their call. An attempt that broke or was cancelled
 * may have been established at the server all the same, and its BYE has the same Call-ID as that of the call's later
 * attempt. A server sends the BYE of a call on the connection of its set-up while it uses that connection. A BYE on
 * another connection therefore belongs to a former attempt if the server still uses the connection of the established
 * call, and otherwise to the established call. An open socket does not show that: the server may have given the
 * connection up after a response that stopped short.
 *
 * <p>A release is held until the connection of the established call shows that it is in use, which makes the release
 * void, or until it closes or {@link #DECISION_TIMEOUT_MS} have passed, which makes the release effective. Used on the
 * event loop only; holds at most one release of each established call.
 */
final class AmbiguousReleases {
    private static final Logger LOG = LoggerFactory.getLogger(AmbiguousReleases.class);
    /** Longer than any round trip, and leaves time to send the BYE twice in the second that the platform allows. */
    private static final double DECISION_TIMEOUT_MS = 400;
    /** A request received sooner may have been sent before the release. */
    private static final double MAX_TRANSIT_MS = 100;

    /**
     * A release that may belong to a former attempt.
     *
     * @param call the established call that it names
     * @param status how the call ended, if it is this one's
     * @param report the load report in the BYE
     * @param receivedAtMs when the BYE was received, in milliseconds of the loop's clock
     */
    record AmbiguousRelease(NodeCall call, AttemptStatus status, ServerLoadReport report, double receivedAtMs) {}

    private final CoreLoop loop;
    private final Consumer<AmbiguousRelease> onEffective;
    private final Map<NodeCall, AmbiguousRelease> held = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param onEffective called with each release that turns out to belong to the established call
     */
    AmbiguousReleases(CoreLoop loop, Consumer<AmbiguousRelease> onEffective) {
        this.loop = loop;
        this.onEffective = onEffective;
    }

    /** Holds a release until it is known which attempt it belongs to; one more of the same call changes nothing. */
    void hold(NodeCall call, AttemptStatus status, ServerLoadReport report) {
        double now = loop.now();
        AmbiguousRelease release = new AmbiguousRelease(call, status, report, now);
        if (held.putIfAbsent(call, release) == null) {
            loop.timers().schedule(now + DECISION_TIMEOUT_MS, firedAt -> {
                if (held.get(call) == release) {
                    makeEffective(release, "no sign of use in time");
                }
            });
        }
    }

    /** Removes the release of a call that has ended in another way. */
    void remove(NodeCall call) {
        held.remove(call);
    }

    /** Handles a request from the server: the connection is in use if it was sent after the release. */
    void onRequest(ServerConnection connection, double now) {
        makeVoid(release ->
                release.call.establishedConnection == connection && now - release.receivedAtMs > MAX_TRANSIT_MS);
    }

    /** Handles the response to a probe: the connection was in use after the probe was sent. */
    void onProbeAnswered(ServerConnection connection, double probeSentAtMs) {
        makeVoid(release -> release.call.establishedConnection == connection && probeSentAtMs >= release.receivedAtMs);
    }

    /** Handles the end of a connection: the server uses it no longer. */
    void onDisconnected(ServerConnection connection) {
        for (AmbiguousRelease release : List.copyOf(held.values())) {
            if (release.call.establishedConnection == connection) {
                makeEffective(release, "connection closed");
            }
        }
    }

    private void makeVoid(Predicate<AmbiguousRelease> filter) {
        if (held.isEmpty()) {
            return;
        }
        held.values().removeIf(release -> {
            boolean matches = filter.test(release);
            if (matches) {
                log(release, "BYE of a former attempt ignored", "connection in use");
            }
            return matches;
        });
    }

    private void makeEffective(AmbiguousRelease release, String reason) {
        held.remove(release.call);
        log(release, "ambiguous BYE taken for the call's own", reason);
        onEffective.accept(release);
    }

    private void log(AmbiguousRelease release, String event, String reason) {
        LOG.atDebug()
                .addKeyValue("id", release.call.callId)
                .addKeyValue("ms", Math.round(loop.now() - release.receivedAtMs))
                .addKeyValue("why", reason)
                .log(event);
    }
}
