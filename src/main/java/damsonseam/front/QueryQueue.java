package damsonseam.front;

import damsonseam.core.NumberPlan;
import damsonseam.dns.FastPathQuery;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.jctools.queues.SpscArrayQueue;

/**
 * Queue of DNS queries between the intake thread and the event loop: one bounded FIFO per rank of worth, served from
 * the highest rank down. Safe for one producer thread and one consumer thread.
 */
final class QueryQueue {
    private final List<SpscArrayQueue<QueuedQuery>> queuesByRank = new ArrayList<>();

    /**
     * A query waiting for the event loop.
     *
     * @param sender the caller's address
     * @param fastPathQuery the query as parsed by the fast path, or null if {@code message} needs a full decode
     * @param entry the number plan's entry of the queried number, or null if {@code fastPathQuery} is null
     * @param message the DNS message
     * @param readAtMs time of the read from the socket, in milliseconds of the front's clock
     * @param socketAgeMs upper bound of the time spent in the socket's buffer before, in milliseconds
     */
    record QueuedQuery(
            InetSocketAddress sender,
            FastPathQuery fastPathQuery,
            NumberPlan.Entry entry,
            byte[] message,
            double readAtMs,
            double socketAgeMs) {}

    /** Creates an empty queue with {@code ranks} ranks of {@code capacity} queries each. */
    QueryQueue(int ranks, int capacity) {
        for (int i = 0; i < ranks; i++) {
            queuesByRank.add(new SpscArrayQueue<>(capacity));
        }
    }

    /** Adds a query; returns false if the queue of its rank is full. */
    boolean offer(int rank, QueuedQuery query) {
        return queuesByRank.get(rank).offer(query);
    }

    /** Removes and returns the oldest query of the highest non-empty rank, or null if all are empty. */
    QueuedQuery poll() {
        for (int rank = queuesByRank.size() - 1; rank >= 0; rank--) {
            QueuedQuery next = queuesByRank.get(rank).relaxedPoll();
            if (next != null) {
                return next;
            }
        }
        return null;
    }

    /** Returns the number of queued queries of {@code rank} and of all higher ranks. */
    int sizeFrom(int rank) {
        int count = 0;
        for (int i = rank; i < queuesByRank.size(); i++) {
            count += queuesByRank.get(i).size();
        }
        return count;
    }
}
