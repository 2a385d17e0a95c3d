package damsonseam.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards against taking a request that waited in the socket's queue for a new one, and answering too late. */
class QueueAgeEstimatorTest {
    private static final byte[] NONCE = new byte[16];

    /** Simulates pauses and a backlog: the bound must never be below the true age, apart from the marker interval. */
    @Property(tries = 200)
    void boundIsNeverBelowTrueAge(
            @ForAll @IntRange(min = 20, max = 2_000) int pauseAt,
            @ForAll @IntRange(max = 2_000) int pauseLength,
            @ForAll @IntRange(min = 3, max = 40) int readsPerIteration) {
        QueueAgeEstimator estimator = new QueueAgeEstimator(NONCE, 5);
        ArrayDeque<Object> queue = new ArrayDeque<>();
        double nextMarker = 0;
        for (int now = 0; now < 6_000; now++) {
            queue.add((double) now);
            boolean paused = now >= pauseAt && now < pauseAt + pauseLength;
            for (int i = 0; !paused && i < readsPerIteration && !queue.isEmpty(); i++) {
                Object head = queue.poll();
                if (head instanceof byte[] datagram) {
                    assertTrue(estimator.consumeMarker(datagram));
                } else if (now > 10) {
                    double trueAge = now - (double) head;
                    assertTrue(
                            estimator.maxAge(now) >= trueAge - 11,
                            "bound " + estimator.maxAge(now) + ", true age " + trueAge);
                }
            }
            if (!paused && now >= nextMarker) {
                queue.add(estimator.createMarker(now));
                nextMarker = now + 5;
            }
        }
    }

    @Test
    void datagramsWithoutTheNonceAreNotMarkers() {
        QueueAgeEstimator estimator =
                new QueueAgeEstimator(new byte[] {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}, 5);
        assertFalse(estimator.consumeMarker(new byte[24]));
        assertFalse(estimator.consumeMarker(new byte[3]));
        assertEquals(0, estimator.maxAge(99_999));
    }
}
