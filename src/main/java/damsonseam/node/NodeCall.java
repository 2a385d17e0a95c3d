package damsonseam.node;

import damsonseam.core.CallRecord;
import damsonseam.core.FinalAnswer;
import damsonseam.core.RouterPorts;
import java.util.ArrayList;
import java.util.List;

/**
 * A call as the SIP side sees it, beside the core's record: what is passed on unchanged, the caller's connection and
 * the server. A call established before this node's start has no record, as the routing policy never had it. Event
 * loop only.
 */
final class NodeCall implements RouterPorts.Caller {
    /** Heap of an unanswered call beside its offer: its records here, in the core and in the routing policy. */
    private static final int CALL_OBJECTS_BYTES = 2 << 10;

    /** The caller's Call-ID. */
    final String callId;
    /** The Request-URI of the INVITE. */
    final String requestUri;
    /** The name of the call's class. */
    final String className;
    /** The value of X-Legs in the INVITE, or null. */
    final String legs;
    /** The CSeq of the INVITE, which its responses repeat. */
    final String cseq;
    /** The body of the INVITE, the caller's session description; null once the call is established. */
    byte[] offer;
    /** The body of the 200, the signalling server's session description; null once it has been passed on. */
    byte[] answer;
    /** The Content-Type of the 200, or null. */
    String answerContentType;
    /** The connection on which the caller sent the INVITE or last reported the call. */
    CallerConnection caller;
    /** The core's record, null for a call that the core does not know. */
    CallRecord record;
    /** The server whose 200 is being passed to the core, else null. */
    ServerEndpoint answeringServer;
    /** The servers where an attempt broke or was cancelled: it may be established there with the same Call-ID. */
    private List<ServerEndpoint> brokenAttemptServers = List.of();
    /** The connection that brought the 200; the server sends the BYE on the same one. */
    ServerConnection establishedConnection;
    /** The server at which the call is established, else null. */
    ServerEndpoint establishedServer;
    /** Whether a server has answered or released the call: evidence that it exists, which its caller's word is not. */
    boolean namedByServer;
    /** Heap that the call holds until its final answer, in bytes. */
    final int unansweredBytes;
    /** Whether an attempt of the call has been sent to a server. */
    boolean attemptSent;
    /** When the call was established, in milliseconds of the node's clock. */
    double establishedAtMs;

    private final CallRegistry callRegistry;

    NodeCall(
            CallRegistry callRegistry,
            String callId,
            String requestUri,
            String className,
            String legs,
            String cseq,
            byte[] offer,
            CallerConnection caller) {
        this.callRegistry = callRegistry;
        this.callId = callId;
        this.requestUri = requestUri;
        this.className = className;
        this.legs = legs;
        this.cseq = cseq;
        this.offer = offer;
        this.caller = caller;
        unansweredBytes = CALL_OBJECTS_BYTES + (offer == null ? 0 : offer.length);
    }

    /** Records that an attempt broke or was cancelled at a server, which may have established it all the same. */
    void recordBrokenAttempt(ServerEndpoint server) {
        if (!hasBrokenAttemptAt(server)) {
            List<ServerEndpoint> servers = new ArrayList<>(brokenAttemptServers);
            servers.add(server);
            brokenAttemptServers = servers;
        }
    }

    /** Returns whether a former attempt of the call may be established at a server. */
    boolean hasBrokenAttemptAt(ServerEndpoint server) {
        return brokenAttemptServers.contains(server);
    }

    /** Returns whether the call was reported by its caller as established, and not set up by this node. */
    boolean isAdopted() {
        return record == null && establishedServer != null;
    }

    @Override
    public void onFinalAnswer(double now, CallRecord call, FinalAnswer finalAnswer) {
        callRegistry.onFinalAnswer(now, this, call, finalAnswer);
    }
}
