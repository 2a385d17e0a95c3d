package damsonseam.core;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * How long what is read from a datagram socket may have waited there. The system tells nobody, and a loop that
 * stood still, or that reads slower than its callers ask, would take old questions for new ones. So the front
 * sends itself a marker now and then: the socket's queue keeps its order, so all that is read after a marker
 * came after that marker was sent. A marker lost in a full queue makes the bound greater, never smaller.
 */
public final class QueueAgeEstimator {
    private static final int NONCE_BYTES = 16;

    private final byte[] nonce;
    private final double between;
    private double sentAt = Double.NaN;

    /**
     * Nothing known yet.
     *
     * @param nonce random octets that nobody else knows, so that no caller can send a marker
     * @param between time between two markers, in milliseconds
     */
    public QueueAgeEstimator(byte[] nonce, double between) {
        if (nonce.length != NONCE_BYTES) {
            throw new IllegalArgumentException("a nonce has " + NONCE_BYTES + " octets");
        }
        this.nonce = nonce.clone();
        this.between = between;
    }

    /** The marker to send to the own socket now. */
    public byte[] createMarker(double now) {
        return ByteBuffer.allocate(NONCE_BYTES + Double.BYTES)
                .put(nonce)
                .putDouble(now)
                .array();
    }

    /** Takes octets read from the socket; true if they were a marker, and nothing of a caller's. */
    public boolean consumeMarker(byte[] octets) {
        if (octets.length != NONCE_BYTES + Double.BYTES || !Arrays.equals(octets, 0, NONCE_BYTES, nonce, 0, NONCE_BYTES)) {
            return false;
        }
        double at = ByteBuffer.wrap(octets, NONCE_BYTES, Double.BYTES).getDouble();
        sentAt = Double.isNaN(sentAt) ? at : Math.max(sentAt, at);
        return true;
    }

    /** The longest time that what is read now can have waited, beyond the ordinary gap between markers. */
    public double maxAge(double now) {
        return Double.isNaN(sentAt) ? 0 : Math.max(0, now - sentAt - 2 * between);
    }
}
