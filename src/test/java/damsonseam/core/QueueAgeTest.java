package damsonseam.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class QueueAgeTest {
    private static final byte[] NONCE = new byte[16];

    /** Guards callers' time in a stall and in a backlog: the bound is never below the true age. */
    @Property(tries = 200)
    void neverTakesAnOldQuestionForANewOne(
            @ForAll @IntRange(min = 20, max = 2_000) int stallAt,
            @ForAll @IntRange(max = 2_000) int stall,
            @ForAll @IntRange(min = 3, max = 40) int readsATurn) {
        QueueAgeEstimator age = new QueueAgeEstimator(NONCE, 5);
        ArrayDeque<Object> queue = new ArrayDeque<>();
        double nextMarker = 0;
        for (int now = 0; now < 6_000; now++) {
            queue.add((double) now);
            boolean still = now >= stallAt && now < stallAt + stall;
            for (int i = 0; !still && i < readsATurn && !queue.isEmpty(); i++) {
                Object head = queue.poll();
                if (head instanceof byte[] octets) {
                    assertTrue(age.consumeMarker(octets));
                } else if (now > 10) {
                    double truly = now - (double) head;
                    assertTrue(age.maxAge(now) >= truly - 11, "bound " + age.maxAge(now) + ", truly " + truly);
                }
            }
            if (!still && now >= nextMarker) {
                queue.add(age.createMarker(now));
                nextMarker = now + 5;
            }
        }
    }

    @Test
    void whatACallerSendsIsNoMarker() {
        QueueAgeEstimator age =
                new QueueAgeEstimator(new byte[] {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}, 5);
        assertFalse(age.consumeMarker(new byte[24]));
        assertFalse(age.consumeMarker(new byte[3]));
        assertEquals(0, age.maxAge(99_999));
    }
}
