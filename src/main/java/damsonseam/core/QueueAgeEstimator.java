package damsonseam.core;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Estimates how long datagrams may have waited in a socket's receive queue. The operating system does not report this,
 * and a loop that was paused, or that reads more slowly than requests arrive, would take old requests for new ones. The
 * front therefore periodically sends a marker to its own socket. The queue is FIFO, so everything read after a marker
 * arrived after that marker was sent. A marker lost from a full queue makes the bound larger, never smaller.
 */
public final class QueueAgeEstimator {
    private static final int NONCE_BYTES = 16;

    private final byte[] nonce;
    private final double interval;
    private double lastMarkerAt = Double.NaN;

    /**
     * Creates an estimator that has not seen a marker.
     *
     * @param nonce secret random bytes, so that no caller can forge a marker
     * @param interval time between two markers, in milliseconds
     */
    public QueueAgeEstimator(byte[] nonce, double interval) {
        if (nonce.length != NONCE_BYTES) {
            throw new IllegalArgumentException("nonce must have " + NONCE_BYTES + " bytes");
        }
        this.nonce = nonce.clone();
        this.interval = interval;
    }

    /** Returns the marker to send to the front's own socket now. */
    public byte[] createMarker(double now) {
        return ByteBuffer.allocate(NONCE_BYTES + Double.BYTES)
                .put(nonce)
                .putDouble(now)
                .array();
    }

    /** Examines a datagram read from the socket; returns true if it is a marker and not a request. */
    public boolean consumeMarker(byte[] datagram) {
        if (datagram.length != NONCE_BYTES + Double.BYTES
                || !Arrays.equals(datagram, 0, NONCE_BYTES, nonce, 0, NONCE_BYTES)) {
            return false;
        }
        double markedAt = ByteBuffer.wrap(datagram, NONCE_BYTES, Double.BYTES).getDouble();
        lastMarkerAt = Double.isNaN(lastMarkerAt) ? markedAt : Math.max(lastMarkerAt, markedAt);
        return true;
    }

    /**
     * Returns an upper bound, in milliseconds, of how long a datagram read now has waited, apart from the normal
     * interval between markers.
     */
    public double maxAge(double now) {
        return Double.isNaN(lastMarkerAt) ? 0 : Math.max(0, now - lastMarkerAt - 2 * interval);
    }
}
