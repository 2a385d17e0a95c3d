package damsonseam.node;

import damsonseam.RoutingPolicy.CallClass;
import damsonseam.core.Router;
import damsonseam.loop.CoreLoop;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The graceful shutdown of a node, step by step on its event loop. The node first takes new calls for as long as the
 * platform sends any. Then it finishes the pending calls, and gives up what is left before the platform kills the
 * process. Finally it shuts the output of the caller connections down and reads them to their end, as closing a
 * connection with unread bytes resets it and destroys responses under way.
 */
final class Shutdown {
    private static final Logger LOG = LoggerFactory.getLogger(Shutdown.class);
    /** How long new calls are taken: the platform sends calls for 0.6 s after SIGTERM, none after 0.7 s. */
    private static final double ACCEPT_MS = 900;
    /** SIGKILL comes no sooner than after this plus the longest deadline, limited to {@link #MAX_DEADLINE_MS}. */
    private static final double MIN_KILL_DELAY_MS = 700;
    /** Limit of the deadline that counts toward the time of SIGKILL. */
    private static final double MAX_DEADLINE_MS = 3_000;
    /** Time for giving up calls, closing and exiting on a fraction of a CPU core, and for callers to read. */
    private static final double RESERVE_MS = 450;
    /** How long callers have to close their connections. */
    private static final double CLOSE_TIMEOUT_MS = 200;

    private static final double CHECK_INTERVAL_MS = 10;

    private final CoreLoop loop;
    private final Router router;
    private final CallerListener callerListener;
    private final ServerEndpoints serverEndpoints;
    private final PendingReleases pendingReleases;
    private final double giveUpAfterMs;
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private double startedAtMs;
    private double closingAtMs;

    Shutdown(
            CoreLoop loop,
            Router router,
            CallerListener callerListener,
            ServerEndpoints serverEndpoints,
            PendingReleases pendingReleases,
            List<CallClass> classes) {
        this.loop = loop;
        this.router = router;
        this.callerListener = callerListener;
        this.serverEndpoints = serverEndpoints;
        this.pendingReleases = pendingReleases;
        double longestDeadlineMs = classes.stream()
                .mapToDouble(callClass -> callClass.deadline().orElse(MAX_DEADLINE_MS))
                .max()
                .orElse(MAX_DEADLINE_MS);
        giveUpAfterMs =
                Math.max(ACCEPT_MS, MIN_KILL_DELAY_MS + Math.min(MAX_DEADLINE_MS, longestDeadlineMs) - RESERVE_MS);
    }

    /** Starts the shutdown; the returned future completes when the process may exit. */
    CompletableFuture<Void> start() {
        startedAtMs = loop.now();
        check(startedAtMs);
        return done;
    }

    private void check(double now) {
        double elapsedMs = now - startedAtMs;
        if (closingAtMs > 0 && (callerListener.connectionCount() == 0 || now - closingAtMs > CLOSE_TIMEOUT_MS)) {
            done.complete(null);
        } else if (closingAtMs > 0 || elapsedMs < ACCEPT_MS || elapsedMs < giveUpAfterMs && !isIdle(now)) {
            scheduleCheck(now);
        } else {
            // What has arrived at the sockets in the meantime is handled first.
            loop.runAfterReads(() -> {
                if (elapsedMs >= giveUpAfterMs || isIdle(loop.now())) {
                    beginClosing(loop.now());
                }
                scheduleCheck(loop.now());
            });
        }
    }

    private void scheduleCheck(double now) {
        loop.timers().schedule(now + CHECK_INTERVAL_MS, this::check);
    }

    /** Returns whether no answer or release is pending at either side and no caller's message waits to be read. */
    private boolean isIdle(double now) {
        return router.unansweredCalls() == 0
                && pendingReleases.countAwaitingConfirmation() == 0
                && serverEndpoints.releasesAwaitingConfirmation() == 0
                && callerListener.isAccepting()
                && now - callerListener.lastActivityMs() > 2 * CHECK_INTERVAL_MS;
    }

    private void beginClosing(double now) {
        closingAtMs = now;
        LOG.atInfo()
                .addKeyValue("owed", router.unansweredCalls())
                .addKeyValue("releases", pendingReleases.size())
                .addKeyValue("callers", callerListener.connectionCount())
                .log("closing");
        callerListener.routeAllReceivedSetUps();
        router.closeUnansweredCalls(now);
        // Before the callers: a BYE from now on is for the front node with which the server connects next.
        serverEndpoints.close();
        callerListener.finish();
    }
}
