package damsonseam.node;

import damsonseam.Front.CallClass;
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
    private static final double TAKES_MS = 900;
    /** SIGKILL comes no sooner than this and the longest deadline, of which no more than 3 s count. */
    private static final double KILL_AFTER_MS = 700;

    private static final double MOST_DEADLINE_MS = 3_000;
    /** What giving up, closing and ending take on a small part of a core, and the time that callers have to read. */
    private static final double RESERVE_MS = 450;

    private static final double CLOSE_MS = 200;
    private static final double LOOK_MS = 10;

    private final CoreLoop loop;
    private final Router router;
    private final CallerListener callers;
    private final ServerLinks servers;
    private final Releases releases;
    private final double giveUpAfter;
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private double from;
    private double closingAt;

    Shutdown(
            CoreLoop loop,
            Router router,
            CallerListener callers,
            ServerLinks servers,
            Releases releases,
            List<CallClass> classes) {
        this.loop = loop;
        this.router = router;
        this.callers = callers;
        this.servers = servers;
        this.releases = releases;
        double longest = classes.stream()
                .mapToDouble(c -> c.deadline().orElse(MOST_DEADLINE_MS))
                .max()
                .orElse(MOST_DEADLINE_MS);
        giveUpAfter = Math.max(TAKES_MS, KILL_AFTER_MS + Math.min(MOST_DEADLINE_MS, longest) - RESERVE_MS);
    }

    /** Begins; {@code done} is complete when the process may end. */
    CompletableFuture<Void> begin() {
        from = loop.now();
        look(from);
        return done;
    }

    private void look(double now) {
        double age = now - from;
        if (closingAt > 0 && (callers.connections() == 0 || now - closingAt > CLOSE_MS)) {
            done.complete(null);
        } else if (closingAt > 0 || age < TAKES_MS || age < giveUpAfter && !settled(now)) {
            lookAgain(now);
        } else {
            // What has come to the sockets in the meantime is taken first.
            loop.runAfterReads(() -> {
                if (age >= giveUpAfter || settled(loop.now())) {
                    close(loop.now());
                }
                lookAgain(loop.now());
            });
        }
    }

    private void lookAgain(double now) {
        loop.timers().schedule(now + LOOK_MS, this::look);
    }

    /** Whether nothing is owed, and nothing that a caller has sent waits to be read. */
    private boolean settled(double now) {
        return router.unansweredCalls() == 0
                && releases.underWay() == 0
                && callers.accepting()
                && now - callers.heardAt() > 2 * LOOK_MS;
    }

    private void close(double now) {
        closingAt = now;
        LOG.atInfo()
                .addKeyValue("owed", router.unansweredCalls())
                .addKeyValue("releases", releases.size())
                .addKeyValue("callers", callers.connections())
                .log("closing");
        router.closeUnansweredCalls(now);
        // Before the callers: a release that a server says from now on is for whoever it connects with next.
        servers.close();
        callers.finish();
    }
}
