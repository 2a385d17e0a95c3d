package damsonseam.node;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/** The buffer allocators that all connections of a node share. */
final class NodeBuffers {
    /** One arena of 256 KiB chunks without thread caches, as only the event loop allocates. */
    static final ByteBufAllocator ALLOCATOR = new PooledByteBufAllocator(true, 1, 1, 8192, 5, 0, 0, true);

    private static final int MIN_READ_BYTES = 2 << 10;
    private static final int MAX_READ_BYTES = 16 << 10;

    private NodeBuffers() {}

    /**
     * Returns the sizes of the receive buffers of one connection. A connection is read once per event-loop iteration,
     * so a peer that sends at full speed neither delays the others nor has more than one read in memory.
     */
    static RecvByteBufAllocator receiveBuffers() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, MIN_READ_BYTES, MAX_READ_BYTES).maxMessagesPerRead(1);
    }
}
