package damsonseam.node;

import damsonseam.core.Router;
import damsonseam.loop.Loop;
import damsonseam.sip.SipHeaders;
import damsonseam.sip.SipMessage;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Releases owed to callers, each from the end of its call until its caller has heard of it. That a BYE was written
 * proves nothing: its connection may be closing from the other end, or be another's that shares the host. What proves
 * it is the 200 of the caller. Until then a release is said again, where its connection ends at once, else after
 * {@link #PROOF_MS} on another connection; a caller that hears it twice knows no such call the second time.
 */
final class Releases {
    private static final Logger LOG = LoggerFactory.getLogger(Releases.class);
    /** Releases kept at the most, the oldest given up first. */
    private static final int MOST = 4_000;
    /** Times that one release is said. */
    private static final int MOST_SAID = 3;
    /** Beyond any way there and back, and two of them within the second in which the platform wants a release. */
    private static final double PROOF_MS = 300;
    /** How long a release is kept that found no connection, or no proof: the platform takes none later. */
    private static final double KEPT_MS = 8_000;

    private static final double SWEEP_MS = 50;

    /** One release. */
    private static final class Owed {
        final NodeCall call;
        final int cause;
        final double since;
        /** Where it was said last; null while no connection of its caller is there. */
        CallerLink on;

        double saidAt;
        int said;

        Owed(NodeCall call, int cause, double since) {
            this.call = call;
            this.cause = cause;
            this.since = since;
        }
    }

    private final Loop loop;
    /** By ids of calls, in the order of their ends. */
    private final Map<String, Owed> owed = new LinkedHashMap<>();

    private Router router;
    private CallerListener callers;
    /** Whether callers answer a BYE here: its 200 is theirs to leave out, and then its absence proves nothing. */
    private boolean proofs;

    Releases(Loop loop) {
        this.loop = loop;
    }

    void start(Router router, CallerListener callers) {
        this.router = router;
        this.callers = callers;
        loop.timers().set(loop.now() + SWEEP_MS, this::sweep);
    }

    /** Releases said just now whose proof may still come; those that wait for a connection are not counted. */
    long underWay() {
        double now = loop.now();
        return owed.values().stream()
                .filter(o -> o.on != null && now - o.saidAt <= PROOF_MS)
                .count();
    }

    /** Releases that are kept. */
    int size() {
        return owed.size();
    }

    /** Tells a caller that its call is over, on another of its connections where the first has gone. */
    void say(NodeCall call, int cause) {
        if (owed.size() >= MOST) {
            Iterator<String> oldest = owed.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        Owed release = new Owed(call, cause, router.now());
        owed.put(call.id, release);
        CallerLink own = call.caller;
        say(release, own != null && own.usable() ? own : callers.another(own, null));
    }

    private void say(Owed release, CallerLink on) {
        release.on = on;
        if (on == null) {
            LOG.atInfo()
                    .addKeyValue("id", release.call.id)
                    .addKeyValue("cause", release.cause)
                    .addKeyValue("said", release.said)
                    .log("a release waits for a connection of its caller");
            return;
        }
        LOG.atDebug()
                .addKeyValue("id", release.call.id)
                .addKeyValue("to", on.toString())
                .addKeyValue("own", on == release.call.caller)
                .addKeyValue("said", release.said)
                .log("release");
        release.said++;
        release.saidAt = loop.now();
        on.send(
                SipMessage.request(SipMessage.BYE, release.call.target, release.call.id, 2)
                        .addHeader(SipHeaders.REASON, "Q.850;cause=" + release.cause),
                null);
    }

    /** A caller has answered a BYE that was said on its connection: it knows that the call is over. */
    void heard(CallerLink link, String id) {
        Owed release = owed.get(id);
        if (release != null && (release.on == link || release.call.caller == link)) {
            LOG.atDebug()
                    .addKeyValue("id", id)
                    .addKeyValue("said", release.said)
                    .log("release heard");
            proofs = true;
            owed.remove(id);
        }
    }

    /** A connection is gone: what was said there and not proved may not have been heard. */
    void gone(CallerLink link) {
        double now = loop.now();
        again(o -> o.on == link && (proofs || now - o.saidAt <= PROOF_MS));
    }

    /** A caller has shown itself, by a set-up or by a call that stands: what waits for it goes out. */
    void shown(CallerLink link) {
        if (owed.isEmpty()) {
            return;
        }
        for (Owed release : List.copyOf(owed.values())) {
            if (release.on == null
                    && release.said < MOST_SAID
                    && (link.sameHost(release.call.caller) || link.standing())) {
                say(release, link);
            }
        }
    }

    private void again(Predicate<Owed> which) {
        for (Owed release : new ArrayList<>(owed.values())) {
            if (which.test(release)) {
                CallerLink other = release.said < MOST_SAID ? callers.another(release.call.caller, release.on) : null;
                if (other != null || !release.on.usable()) {
                    say(release, other);
                }
            }
        }
    }

    private void sweep(double now) {
        owed.values().removeIf(o -> now - o.since > KEPT_MS);
        if (proofs) {
            again(o -> o.on != null && now - o.saidAt > PROOF_MS);
        }
        loop.timers().set(now + SWEEP_MS, this::sweep);
    }
}
