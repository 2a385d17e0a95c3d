package damsonseam.node;

import damsonseam.Front.Reason;
import damsonseam.Front.Report;
import damsonseam.Front.Result;
import damsonseam.core.CallRecord;
import damsonseam.core.FinalAnswer;
import damsonseam.core.Router;
import damsonseam.sip.SipHeaders;
import damsonseam.sip.SipMessage;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.agrona.collections.Long2ObjectHashMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The node's calls by the ids of their callers and of the core. An entry lives from its set-up until its refusal
 * or its release; the core's table bounds those it holds, {@link #MOST_ADOPTED} those that stood before.
 */
final class CallBook {
    private static final Logger LOG = LoggerFactory.getLogger(CallBook.class);
    /** Calls taken over from before the start at the most; one more is told that it is over. */
    static final int MOST_ADOPTED = 10_000;
    /** Releases that wait for a connection of their caller at the most, the oldest given up first. */
    private static final int MOST_PENDING = 2_000;
    /** How long such a release is kept: beyond what the platform still takes. */
    private static final double PENDING_MS = 8_000;
    /** Q.850: the call came to its end; temporary failure, by which a cut call is told. */
    static final int NORMAL_CLEARING = 16;
    static final int TEMPORARY_FAILURE = 41;
    private static final int TURNED_AWAY = 503;
    private static final int FAILED = 500;

    private record Pending(NodeCall call, int cause, double at) { }

    private final Map<String, NodeCall> byId = new HashMap<>();
    private final Long2ObjectHashMap<NodeCall> byRecord = new Long2ObjectHashMap<>();
    private final ArrayDeque<Pending> pending = new ArrayDeque<>();
    private Router router;
    private CallerListener callers;
    private int adopted;

    void start(Router router, CallerListener callers) {
        this.router = router;
        this.callers = callers;
    }

    NodeCall get(String id) {
        return byId.get(id);
    }

    NodeCall get(long record) {
        return byRecord.get(record);
    }

    int size() {
        return byId.size();
    }

    /** Enters a call before the core is told of it, which may answer it at once. */
    void add(NodeCall call) {
        byId.put(call.id, call);
    }

    /** Notes the core's record of a call; one that was answered at once is over already and has none. */
    void taken(NodeCall call, CallRecord record) {
        if (record != null && byId.get(call.id) == call) {
            call.record = record;
            byRecord.put(record.id(), call);
        }
    }

    /** Takes over a call that stands at a server already; false where there is no room. */
    boolean adopt(NodeCall call, ServerLink server, double now) {
        if (adopted >= MOST_ADOPTED) {
            return false;
        }
        adopted++;
        byId.put(call.id, call);
        stands(call, server, now);
        return true;
    }

    private void stands(NodeCall call, ServerLink server, double now) {
        call.standsAt = server;
        call.stoodAt = now;
        call.offer = null;
        server.standing().add(call);
        call.caller.standing(1);
        tell(call, "stands");
        if (!pending.isEmpty()) {
            shown(call.caller);
        }
    }

    private static void tell(NodeCall call, String what) {
        LOG.atDebug().addKeyValue("id", call.id).addKeyValue("server", call.standsAt == null ? "" : call.standsAt.id())
                .log(what);
    }

    /** The core's one final answer of a call. */
    void answered(double now, NodeCall call, CallRecord record, FinalAnswer said) {
        CallerLink caller = call.caller;
        if (said.kind() == FinalAnswer.Kind.STANDS) {
            stands(call, call.answering, now);
            SipMessage ok = SipMessage.answer(SipMessage.OK, "OK", call.id, call.cseq, call.answer);
            if (call.answerType != null) {
                ok.with("Content-Type", call.answerType);
            }
            call.answer = null;
            caller.answered(call);
            caller.send(ok, sent -> {
                // The answer can't reach its caller any more: nobody is at this call.
                if (!sent && byId.get(call.id) == call && call.caller == caller) {
                    hangUp(call);
                    release(call, NORMAL_CLEARING);
                }
            });
            return;
        }
        forget(call);
        if (caller == null) {
            return;
        }
        caller.answered(call);
        SipMessage refusal = said.kind() == FinalAnswer.Kind.REFUSED
                ? SipMessage.answer(TURNED_AWAY, "Service Unavailable", call.id, call.cseq)
                : SipMessage.answer(FAILED, "Server Internal Error", call.id, call.cseq);
        if (said.returnAfter() >= 1) {
            refusal.with("X-Pause", Long.toString(Math.round(said.returnAfter())));
        }
        caller.send(refusal, null);
    }

    /** The caller gave a set-up up before its answer. */
    void givenUp(NodeCall call) {
        router.left(router.now(), call.record);
        forget(call);
    }

    /** The caller's side ends a call that stands. */
    void hangUp(NodeCall call) {
        ServerLink server = call.standsAt;
        over(call, Result.CANCELLED, Report.NONE);
        server.bye(call.id, call.target);
    }

    /** A call that stood is over by its server's word or with its server; its caller is told. */
    void ended(NodeCall call, Result result, Report report) {
        over(call, result, report);
        release(call, result == Result.COMPLETED ? NORMAL_CLEARING : TEMPORARY_FAILURE);
    }

    private void over(NodeCall call, Result result, Report report) {
        tell(call, "over: " + result);
        if (call.record != null) {
            router.ended(router.now(), call.record.id(), call.record.attempts() - 1, result, Reason.NONE,
                    OptionalDouble.empty(), report);
        }
        forget(call);
    }

    private void forget(NodeCall call) {
        if (byId.remove(call.id, call)) {
            if (call.record != null) {
                byRecord.remove(call.record.id());
            } else if (call.standsAt != null) {
                adopted--;
            }
            if (call.standsAt != null) {
                call.standsAt.standing().remove(call);
                call.caller.standing(-1);
            }
        }
    }

    /** Tells a caller that its call is over, on another of its connections where the first has gone. */
    void release(NodeCall call, int cause) {
        CallerLink link = call.caller != null && call.caller.usable() ? call.caller : callers.another(call.caller);
        LOG.atDebug().addKeyValue("id", call.id).addKeyValue("to", String.valueOf(link))
                .addKeyValue("own", link == call.caller).log("release");
        if (link != null) {
            link.send(bye(call, cause), null);
            return;
        }
        if (pending.size() >= MOST_PENDING) {
            pending.poll();
        }
        LOG.atInfo().addKeyValue("id", call.id).addKeyValue("cause", cause).addKeyValue("waiting", pending.size())
                .log("a release waits for a connection of its caller");
        pending.add(new Pending(call, cause, router.now()));
    }

    /** A caller has shown itself, by a set-up or by a call that stands: what waits for it goes out. */
    void shown(CallerLink link) {
        double now = router.now();
        for (int left = pending.size(); left > 0; left--) {
            Pending p = pending.poll();
            if (now - p.at <= PENDING_MS && !link.sameHost(p.call.caller) && !link.standing()) {
                pending.add(p);
            } else if (now - p.at <= PENDING_MS) {
                link.send(bye(p.call, p.cause), null);
            }
        }
    }

    private static SipMessage bye(NodeCall call, int cause) {
        return SipMessage.request(SipMessage.BYE, call.target, call.id, 2)
                .with(SipHeaders.REASON, "Q.850;cause=" + cause);
    }
}
