package damsonseam.node;

import damsonseam.RoutingPolicy.AttemptStatus;
import damsonseam.RoutingPolicy.RejectReason;
import damsonseam.RoutingPolicy.ServerLoadReport;
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
 * The node's open calls, by Call-ID and by the id of the core's record. A call is entered with its set-up and removed
 * with its refusal or release. The core's call table bounds the calls that have a record, {@link #MAX_ADOPTED_CALLS}
 * those that were established before this node started. Used on the event loop only.
 */
final class CallRegistry {
    private static final Logger LOG = LoggerFactory.getLogger(CallRegistry.class);
    /** Calls adopted from before the start; beyond that the connection with the most of them gets a release. */
    static final int MAX_ADOPTED_CALLS = 10_000;
    /** Released calls that are remembered, since a caller may still report one of them as established. */
    private static final int MAX_RECENT_RELEASES = 2_000;
    /** How long a released call is remembered. */
    private static final double RECENT_RELEASE_MAX_AGE_MS = 8_000;
    /** Q.850 cause of a call that ended normally. */
    static final int CAUSE_NORMAL_CLEARING = 16;
    /** Q.850 cause of a call that was cut by a failure. */
    static final int CAUSE_TEMPORARY_FAILURE = 41;

    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int SERVER_INTERNAL_ERROR = 500;

    /** The release of a call at a server, including a call that no caller has reported to this node. */
    private record RecentRelease(String serverId, int cause, double releasedAtMs) {}

    private final Map<String, NodeCall> byCallId = new HashMap<>();
    private final Long2ObjectHashMap<NodeCall> byRecordId = new Long2ObjectHashMap<>();
    private final Map<String, RecentRelease> recentReleases = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RecentRelease> eldest) {
            return size() > MAX_RECENT_RELEASES;
        }
    };
    private final RecentCalls recentCalls = new RecentCalls();
    private final PendingReleases releases;
    private final AdoptedCalls adoptedCalls = new AdoptedCalls(MAX_ADOPTED_CALLS);
    private Router router;

    CallRegistry(PendingReleases releases) {
        this.releases = releases;
    }

    void start(Router router) {
        this.router = router;
    }

    PendingReleases releases() {
        return releases;
    }

    NodeCall get(String callId) {
        return byCallId.get(callId);
    }

    NodeCall get(long recordId) {
        return byRecordId.get(recordId);
    }

    int size() {
        return byCallId.size();
    }

    /** Returns the number of established calls as counted by the connections of their callers. */
    int establishedAtCallers() {
        return byCallId.values().stream()
                .filter(call -> call.establishedServer != null)
                .map(call -> call.caller)
                .distinct()
                .mapToInt(CallerConnection::establishedCallCount)
                .sum();
    }

    /** Returns whether a call with this id is over and had an attempt at a server, so that it must not run again. */
    boolean isRecentCall(String callId) {
        return recentCalls.contains(callId, router.now());
    }

    /** Adds a call before it is passed to the core, which may answer it at once. */
    void add(NodeCall call) {
        byCallId.put(call.callId, call);
    }

    /** Sets the core's record of a call, unless the call was answered at once and is no longer registered. */
    void attachRecord(NodeCall call, CallRecord record) {
        if (record != null && byCallId.get(call.callId) == call) {
            call.record = record;
            byRecordId.put(record.id(), call);
        }
    }

    /**
     * Adopts a call that a caller reports as established at a server. It may be over already: its release may have
     * been the first message on a new server connection, or have crossed the caller's report. In this case the caller
     * gets a release. At the limit, one call of the connection with the most reports is released.
     */
    void adopt(NodeCall call, ServerEndpoint server, double now) {
        RecentRelease recent = recentReleases.get(call.callId);
        if (recent != null
                && recent.serverId.equals(server.id())
                && now - recent.releasedAtMs <= RECENT_RELEASE_MAX_AGE_MS) {
            releases.send(call, recent.cause);
            return;
        }
        byCallId.put(call.callId, call);
        establish(call, server, now);
        adoptedCalls.add(call);
        NodeCall excess = adoptedCalls.excessCall();
        if (excess != null) {
            remove(excess);
            releases.send(excess, CAUSE_TEMPORARY_FAILURE);
        }
    }

    /** Moves an established call to another connection of its caller. */
    void changeCaller(NodeCall call, CallerConnection connection) {
        boolean adopted = call.isAdopted();
        if (adopted) {
            adoptedCalls.remove(call);
        }
        call.caller.removeEstablished(call);
        call.caller = connection;
        connection.addEstablished(call);
        if (adopted) {
            adoptedCalls.add(call);
        }
    }

    /** Records the release of a call at a server, perhaps one that its caller has yet to report to this node. */
    void recordRelease(String serverId, String callId, int cause) {
        recentReleases.remove(callId);
        recentReleases.put(callId, new RecentRelease(serverId, cause, router.now()));
    }

    private void establish(NodeCall call, ServerEndpoint server, double now) {
        call.establishedServer = server;
        call.establishedAtMs = now;
        call.offer = null;
        server.establishedCalls().add(call);
        call.caller.addEstablished(call);
        if (!call.isAdopted()) {
            call.namedByServer = true;
            call.caller.markProvenCaller();
        }
        logCallEvent(call, "call established");
        releases.onCallerAvailable(call.caller);
    }

    private static void logCallEvent(NodeCall call, String event) {
        LOG.atDebug()
                .addKeyValue("id", call.callId)
                .addKeyValue("server", call.establishedServer == null ? "" : call.establishedServer.id())
                .log(event);
    }

    /** Sends the core's final answer for a call to its caller as the final response to the INVITE. */
    void onFinalAnswer(double now, NodeCall call, CallRecord record, FinalAnswer finalAnswer) {
        CallerConnection caller = call.caller;
        if (finalAnswer.kind() == FinalAnswer.Kind.STANDS) {
            establish(call, call.answeringServer, now);
            SipMessage ok = SipMessage.response(SipMessage.OK, "OK", call.callId, call.cseq, call.answer);
            if (call.answerContentType != null) {
                ok.addHeader("Content-Type", call.answerContentType);
            }
            call.answer = null;
            caller.removePending(call);
            caller.send(ok, written -> {
                // The caller's connection is closed: it will never get the response, so the call is released.
                if (!written && byCallId.get(call.callId) == call && call.caller == caller) {
                    releaseByCaller(call);
                    releases.send(call, CAUSE_NORMAL_CLEARING);
                }
            });
            return;
        }
        remove(call);
        if (caller == null) {
            return;
        }
        caller.removePending(call);
        SipMessage refusal = finalAnswer.kind() == FinalAnswer.Kind.REFUSED
                ? SipMessage.response(SERVICE_UNAVAILABLE, "Service Unavailable", call.callId, call.cseq)
                : SipMessage.response(SERVER_INTERNAL_ERROR, "Server Internal Error", call.callId, call.cseq);
        if (finalAnswer.retryAfterMs() >= 1) {
            refusal.addHeader("X-Pause", Long.toString(Math.round(finalAnswer.retryAfterMs())));
        }
        caller.send(refusal, null);
    }

    /** Removes a call whose caller abandoned it before the final response. */
    void abandon(NodeCall call) {
        if (call.record != null) {
            router.callerAbandoned(router.now(), call.record);
        } else {
            router.callAbandonedUndecided();
        }
        remove(call);
    }

    /** Releases an established call on the caller's behalf, toward its server. */
    void releaseByCaller(NodeCall call) {
        ServerEndpoint server = call.establishedServer;
        finishRelease(call, AttemptStatus.CANCELLED, ServerLoadReport.NONE, CAUSE_NORMAL_CLEARING);
        server.sendBye(call.callId, call.requestUri);
    }

    /** Ends an established call that its server released, or that ended with its server, and releases its caller. */
    void onReleasedByServer(NodeCall call, AttemptStatus status, ServerLoadReport report) {
        int cause = status == AttemptStatus.COMPLETED ? CAUSE_NORMAL_CLEARING : CAUSE_TEMPORARY_FAILURE;
        finishRelease(call, status, report, cause);
        releases.send(call, cause);
    }

    private void finishRelease(NodeCall call, AttemptStatus status, ServerLoadReport report, int cause) {
        recordRelease(call.establishedServer.id(), call.callId, cause);
        logCallEvent(call, "call released: " + status);
        if (call.record != null) {
            router.attemptEnded(
                    router.now(),
                    call.record.id(),
                    call.record.attempts() - 1,
                    status,
                    RejectReason.NONE,
                    OptionalDouble.empty(),
                    report);
        }
        remove(call);
    }

    private void remove(NodeCall call) {
        if (byCallId.remove(call.callId, call)) {
            if (call.attemptSent) {
                recentCalls.add(call.callId, router.now());
            }
            if (call.record != null) {
                byRecordId.remove(call.record.id());
            }
            if (call.isAdopted()) {
                adoptedCalls.remove(call);
            }
            if (call.establishedServer != null) {
                call.establishedServer.establishedCalls().remove(call);
                call.caller.removeEstablished(call);
            }
        }
    }
}
