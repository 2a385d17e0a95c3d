package damsonseam.node;

import damsonseam.core.CallRecord;
import damsonseam.core.FinalAnswer;
import damsonseam.core.RouterPorts;

/**
 * What the protocol keeps of one call beside the core's record: what is passed on unchanged, and who is owed
 * what. A call that stood before this node's start has no record, as the module never had it.
 */
final class NodeCall implements RouterPorts.Caller {
    /** The id that the caller gave. */
    final String id;
    /** The address of the set-up's first line. */
    final String requestUri;
    /** The class by its name. */
    final String className;
    /** X-Legs as it came, or null. */
    final String legs;
    /** CSeq of the set-up, which its answers repeat. */
    final String cseq;
    /** The caller's description; let go once the call stands. */
    byte[] offer;
    /** The signalling server's description, from its answer until it has been passed on. */
    byte[] answer;
    /** Content-Type of that answer, or null. */
    String answerContentType;
    /** The connection that named the call last. */
    CallerConnection caller;
    /** The core's record, null for a call that is not the core's. */
    CallRecord record;
    /** The server whose answer the core is being told of, else null. */
    ServerEndpoint answeringServer;
    /** Where an attempt broke or was given up last: it may run there all the same, under the same id. */
    ServerEndpoint brokenAttemptServer;
    /** The connection that brought the answer; its server says the release there, too. */
    ServerConnection establishedConnection;
    /** The server at which it stands, else null. */
    ServerEndpoint establishedServer;
    /** When it began to stand, on the node's clock. */
    double establishedAtMs;

    private final CallRegistry callRegistry;

    NodeCall(
            CallRegistry callRegistry,
            String id,
            String requestUri,
            String className,
            String legs,
            String cseq,
            byte[] offer,
            CallerConnection caller) {
        this.callRegistry = callRegistry;
        this.id = id;
        this.requestUri = requestUri;
        this.className = className;
        this.legs = legs;
        this.cseq = cseq;
        this.offer = offer;
        this.caller = caller;
    }

    @Override
    public void onFinalAnswer(double now, CallRecord call, FinalAnswer finalAnswer) {
        callRegistry.onFinalAnswer(now, this, call, finalAnswer);
    }
}
