package damsonseam.node;

import damsonseam.RoutingPolicy.CallClass;
import damsonseam.core.Router;
import damsonseam.loop.CoreLoop;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The end of a node, step by step on its loop: all that still comes is taken for as long as the platform sends; then
 * what is owed is finished, and before the platform kills the process what is left is given up; then callers are told
 * that nothing more comes and are read to their end, as a close with unread octets would destroy an answer under way.
 */
final class Shutdown {
    private static final Logger LOG = LoggerFactory.getLogger(Shutdown.class);
    /** The platform sends for 0.6 s after SIGTERM; what comes later than 0.7 s is none of this node's. */
    private static final double ACCEPT_MS = 900;
    /** SIGKILL comes no sooner than this and the longest deadline, of which no more than 3 s count. */
    private static final double MIN_KILL_DELAY_MS = 700;

    private static final double MAX_DEADLINE_MS = 3_000;
    /** What giving up, closing and ending take on a small part of a core, and the time that callers have to read. */
    private static final double RESERVE_MS = 450;

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

    /** Begins; {@code done} is complete when the process may end. */
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
            // What has come to the sockets in the meantime is taken first.
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

    /** Whether nothing is owed, and nothing that a caller has sent waits to be read. */
    private boolean isIdle(double now) {
        return router.unansweredCalls() == 0
                && pendingReleases.awaitingConfirmation() == 0
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
        router.closeUnansweredCalls(now);
        // Before the callers: a release that a server says from now on is for whoever it connects with next.
        serverEndpoints.close();
        callerListener.finish();
    }
}
