package damsonseam.node;

import damsonseam.Front.Reason;
import damsonseam.Front.Report;
import damsonseam.Front.Result;
import damsonseam.core.CallRecord;
import damsonseam.core.FinalAnswer;
import damsonseam.core.Router;
import damsonseam.sip.SipMessage;
import java.util.HashMap;
import java.util.LinkedHashMap;
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
    /** Calls known to be over that are kept, in case a caller still names one as standing, and for how long. */
    private static final int MOST_OVER = 2_000;

    private static final double OVER_MS = 8_000;
    /** Q.850: the call came to its end; temporary failure, by which a cut call is told. */
    static final int NORMAL_CLEARING = 16;

    static final int TEMPORARY_FAILURE = 41;
    private static final int TURNED_AWAY = 503;
    private static final int FAILED = 500;

    /** The end of a call at a server, of one that this node has not been told of, too. */
    private record Over(String server, int cause, double at) {}

    private final Map<String, NodeCall> byId = new HashMap<>();
    private final Long2ObjectHashMap<NodeCall> byRecord = new Long2ObjectHashMap<>();
    private final Map<String, Over> ended = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Over> eldest) {
            return size() > MOST_OVER;
        }
    };
    private final Releases releases;
    private Router router;
    private int adopted;

    CallBook(Releases releases) {
        this.releases = releases;
    }

    void start(Router router) {
        this.router = router;
    }

    Releases releases() {
        return releases;
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

    /** Calls that stand, by the connections of their callers, each counted once. */
    int named() {
        return byId.values().stream()
                .filter(c -> c.standsAt != null)
                .map(c -> c.caller)
                .distinct()
                .mapToInt(CallerLink::standingCalls)
                .sum();
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

    /**
     * Takes over a call that stands at a server already. It may be over all the same: its release came first of all on
     * the connection that this node opened, or crosses its caller's word. Then, and where there is no room, its caller
     * is told.
     */
    void adopt(NodeCall call, ServerLink server, double now) {
        Over over = ended.get(call.id);
        if (over != null && over.server.equals(server.id()) && now - over.at <= OVER_MS) {
            releases.say(call, over.cause);
        } else if (adopted >= MOST_ADOPTED) {
            releases.say(call, TEMPORARY_FAILURE);
        } else {
            adopted++;
            byId.put(call.id, call);
            stands(call, server, now);
        }
    }

    /** A call is over at a server, perhaps one that its caller is yet to name here. */
    void endedAt(String server, String id, int cause) {
        ended.remove(id);
        ended.put(id, new Over(server, cause, router.now()));
    }

    private void stands(NodeCall call, ServerLink server, double now) {
        call.standsAt = server;
        call.stoodAt = now;
        call.offer = null;
        server.standing().add(call);
        call.caller.standing(1);
        tell(call, "stands");
        releases.shown(call.caller);
    }

    private static void tell(NodeCall call, String what) {
        LOG.atDebug()
                .addKeyValue("id", call.id)
                .addKeyValue("server", call.standsAt == null ? "" : call.standsAt.id())
                .log(what);
    }

    /** The core's one final answer of a call. */
    void answered(double now, NodeCall call, CallRecord record, FinalAnswer said) {
        CallerLink caller = call.caller;
        if (said.kind() == FinalAnswer.Kind.STANDS) {
            stands(call, call.answering, now);
            SipMessage ok = SipMessage.response(SipMessage.OK, "OK", call.id, call.cseq, call.answer);
            if (call.answerType != null) {
                ok.addHeader("Content-Type", call.answerType);
            }
            call.answer = null;
            caller.answered(call);
            caller.send(ok, sent -> {
                // The answer can't reach its caller any more: nobody is at this call.
                if (!sent && byId.get(call.id) == call && call.caller == caller) {
                    hangUp(call);
                    releases.say(call, NORMAL_CLEARING);
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
                ? SipMessage.response(TURNED_AWAY, "Service Unavailable", call.id, call.cseq)
                : SipMessage.response(FAILED, "Server Internal Error", call.id, call.cseq);
        if (said.returnAfter() >= 1) {
            refusal.addHeader("X-Pause", Long.toString(Math.round(said.returnAfter())));
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
        over(call, Result.CANCELLED, Report.NONE, NORMAL_CLEARING);
        server.bye(call.id, call.target);
    }

    /** A call that stood is over by its server's word or with its server; its caller is told. */
    void ended(NodeCall call, Result result, Report report) {
        int cause = result == Result.COMPLETED ? NORMAL_CLEARING : TEMPORARY_FAILURE;
        over(call, result, report, cause);
        releases.say(call, cause);
    }

    private void over(NodeCall call, Result result, Report report, int cause) {
        endedAt(call.standsAt.id(), call.id, cause);
        tell(call, "over: " + result);
        if (call.record != null) {
            router.ended(
                    router.now(),
                    call.record.id(),
                    call.record.attempts() - 1,
                    result,
                    Reason.NONE,
                    OptionalDouble.empty(),
                    report);
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
}
