package damsonseam.front;

import damsonseam.core.NumberPlan;
import damsonseam.dns.FastPathQuery;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.jctools.queues.SpscArrayQueue;

/**
 * Questions on their way from the thread that reads them to the loop, a bounded line for each rank of worth, the
 * dearest served first. One thread puts in, one takes out.
 */
final class CallQueue {
    private final List<SpscArrayQueue<Waiting>> lines = new ArrayList<>();

    /**
     * A question that waits.
     *
     * @param plain as read, or null where it must go the long way with its {@code octets}
     * @param readAt when it was read from the socket, in milliseconds
     * @param age how long it may have waited there before
     */
    record Waiting(
            InetSocketAddress from,
            FastPathQuery plain,
            NumberPlan.Entry entry,
            byte[] octets,
            double readAt,
            double age) {}

    /** Empty lines for so many ranks, each with room for so many. */
    CallQueue(int ranks, int room) {
        for (int i = 0; i < ranks; i++) {
            lines.add(new SpscArrayQueue<>(room));
        }
    }

    /** Puts a question in; false where its line is full. */
    boolean offer(int rank, Waiting question) {
        return lines.get(rank).offer(question);
    }

    /** The next question, of the highest rank that has one; null if there is none. */
    Waiting poll() {
        for (int rank = lines.size() - 1; rank >= 0; rank--) {
            Waiting next = lines.get(rank).relaxedPoll();
            if (next != null) {
                return next;
            }
        }
        return null;
    }

    /** Questions of this rank and of those above it. */
    int from(int rank) {
        int count = 0;
        for (int i = rank; i < lines.size(); i++) {
            count += lines.get(i).size();
        }
        return count;
    }
}
