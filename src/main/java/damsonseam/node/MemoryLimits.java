package damsonseam.node;

import io.netty.util.internal.PlatformDependent;

/**
 * Limits of the memory that peers can make a node hold. The limits on connections, calls and message sizes do not
 * bound it, as their product exceeds what the process has.
 *
 * @param unansweredCallBytes heap for all calls without a final answer, in bytes
 * @param callerBufferBytes buffers for the unfinished messages and unsent responses of all callers, in bytes
 * @param serverUnsentBytes buffers for unsent messages to all servers, in bytes
 */
record MemoryLimits(long unansweredCallBytes, long callerBufferBytes, long serverUnsentBytes) {
    /** The rest of the heap serves the decision module, established calls and garbage between two collections. */
    private static final int HEAP_SHARE_OF_UNANSWERED_CALLS = 4;
    /** The rest of the direct memory serves reads, the servers' unfinished messages and partly used chunks. */
    private static final int DIRECT_SHARE_OF_CALLER_BUFFERS = 4;

    private static final int DIRECT_SHARE_OF_SERVER_BUFFERS = 4;

    /** Returns the limits that follow from the heap and the direct memory of this virtual machine. */
    static MemoryLimits ofVirtualMachine() {
        long directBytes = PlatformDependent.estimateMaxDirectMemory();
        return new MemoryLimits(
                Runtime.getRuntime().maxMemory() / HEAP_SHARE_OF_UNANSWERED_CALLS,
                directBytes / DIRECT_SHARE_OF_CALLER_BUFFERS,
                directBytes / DIRECT_SHARE_OF_SERVER_BUFFERS);
    }
}
