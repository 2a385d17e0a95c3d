package damsonseam.node;

/** An attempt without an outcome: it waits for a connection, is assigned to one, or has been sent on it. */
final class ServerAttempt {
    final NodeCall nodeCall;
    final long recordId;
    final int index;
    /** When the attempt is given up, in milliseconds of the node's clock. */
    final double giveUpAtMs;
    /** The connection that carries the set-up; null while it waits for one. */
    ServerConnection connection;

    boolean sent;
    double sentAtMs;

    ServerAttempt(NodeCall nodeCall, long recordId, int index, double giveUpAtMs) {
        this.nodeCall = nodeCall;
        this.recordId = recordId;
        this.index = index;
        this.giveUpAtMs = giveUpAtMs;
    }

    String key() {
        return key(nodeCall.callId, index);
    }

    /** Returns the key of an attempt: the attempts of one call differ in the sequence number of CSeq. */
    static String key(String callId, long index) {
        return callId + "/" + index;
    }
}
