package damsonseam.dns;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers recent queries in order to recognize a retransmitted query: while its call is open it is ignored, after
 * that it gets the same response again, byte for byte. The size is bounded. A full table evicts the oldest completed
 * query; if none is completed, it refuses the new query.
 *
 * <p>Not thread-safe. Times are in milliseconds.
 */
public final class TransactionTable {

    /**
     * Identifies a query.
     *
     * @param source where the query came from
     * @param id the message ID
     * @param number the number asked for
     */
    public record Key(Object source, int id, String number) {}

    /** The state of a query. */
    public static final class Entry {
        private final double createdAt;
        private byte[] response;

        Entry(double createdAt) {
            this.createdAt = createdAt;
        }

        /** Returns the response, or null while the call is open. */
        public byte[] response() {
            return response;
        }
    }

    private final Map<Key, Entry> open = new LinkedHashMap<>();
    private final Map<Key, Entry> completed = new LinkedHashMap<>();
    private final int maxEntries;
    private final double retentionMs;

    /**
     * Creates an empty table.
     *
     * @param maxEntries maximum count of queries, open and completed
     * @param retentionMs how long a response is kept for retransmitted queries, in milliseconds
     */
    public TransactionTable(int maxEntries, double retentionMs) {
        this.maxEntries = maxEntries;
        this.retentionMs = retentionMs;
    }

    /** Returns the entry of a query, or null if the query is new. */
    public Entry find(Key key, double now) {
        expire(now);
        Entry entry = open.get(key);
        return entry != null ? entry : completed.get(key);
    }

    /** Adds a new query; returns false if the table is full of open ones. */
    public boolean open(Key key, double now) {
        if (open.size() + completed.size() >= maxEntries) {
            Iterator<Key> oldest = completed.keySet().iterator();
            if (!oldest.hasNext()) {
                return false;
            }
            oldest.next();
            oldest.remove();
        }
        open.put(key, new Entry(now));
        return true;
    }

    /** Stores the response of an open query. */
    public void complete(Key key, byte[] response, double now) {
        if (open.remove(key) != null) {
            Entry entry = new Entry(now);
            entry.response = response;
            completed.put(key, entry);
        }
    }

    private void expire(double now) {
        Iterator<Entry> oldest = completed.values().iterator();
        while (oldest.hasNext() && oldest.next().createdAt + retentionMs <= now) {
            oldest.remove();
        }
    }

    /** Returns the count of queries, open and completed. */
    public int size() {
        return open.size() + completed.size();
    }
}
