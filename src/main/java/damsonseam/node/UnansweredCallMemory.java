package damsonseam.node;

/**
 * Bounds the heap held by calls without a final answer, for all callers together. The share of one connection depends
 * on what is left (dynamic threshold, Choudhury and Hahne 1998): a connection may hold at most
 * 1/{@link #FREE_BYTES_DIVISOR} of the free bytes. However many connections hold as much as they may, some bytes stay
 * free, and a connection that holds little is admitted. Used on the event loop only.
 */
final class UnansweredCallMemory {
    private static final int FREE_BYTES_DIVISOR = 4;

    private final long limitBytes;
    private long heldBytes;

    UnansweredCallMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Returns whether a call may be added for a connection that holds so many bytes already. */
    boolean admits(long bytesOfConnection, int bytesOfCall) {
        return bytesOfConnection + bytesOfCall <= (limitBytes - heldBytes) / FREE_BYTES_DIVISOR;
    }

    /** Counts a call that waits for its final answer from now on. */
    void add(int bytesOfCall) {
        heldBytes += bytesOfCall;
    }

    /** Counts that a call no longer waits. */
    void remove(int bytesOfCall) {
        heldBytes -= bytesOfCall;
    }

    /** Returns the bytes held by all calls without a final answer. */
    long heldBytes() {
        return heldBytes;
    }
}
