package damsonseam.node;

import java.util.Collection;

/**
 * Bounds the buffers of all caller connections together: their unfinished messages and unsent responses. Beyond the
 * limit connections are closed, those that hold most first, and proven callers only if the others hold no more than an
 * equal share each. Used on the event loop only.
 */
final class CallerBuffers {
    private final long limitBytes;
    private long heldBytes;

    CallerBuffers(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Returns the bytes held by all connections, as of their last update. */
    long heldBytes() {
        return heldBytes;
    }

    /** Updates the bytes held by a connection; returns whether the limit is exceeded. */
    boolean update(CallerConnection connection) {
        heldBytes += connection.refreshBufferedBytes();
        return heldBytes > limitBytes;
    }

    /** Removes a connection that has been closed; harmless if it was removed before. */
    void remove(CallerConnection connection) {
        heldBytes -= connection.clearBufferedBytes();
    }

    /** Returns the connection to close so that the limit is kept, or null while it is kept. */
    CallerConnection excessConnection(Collection<CallerConnection> connections) {
        // Responses may have been sent since the last update of their connection.
        connections.forEach(this::update);
        if (heldBytes <= limitBytes) {
            return null;
        }
        CallerConnection heaviest = null;
        CallerConnection heaviestUnproven = null;
        for (CallerConnection connection : connections) {
            heaviest = heavier(connection, heaviest);
            if (!connection.isProvenCaller()) {
                heaviestUnproven = heavier(connection, heaviestUnproven);
            }
        }
        long equalShare = limitBytes / connections.size();
        return heaviestUnproven != null && heaviestUnproven.bufferedBytes() > equalShare ? heaviestUnproven : heaviest;
    }

    private static CallerConnection heavier(CallerConnection connection, CallerConnection other) {
        return other == null || connection.bufferedBytes() > other.bufferedBytes() ? connection : other;
    }
}
