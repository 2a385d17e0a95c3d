package damsonseam.dns;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Questions taken lately, so that one sent again is known: while its call is open it adds nothing, after its
 * answer it gets that answer again, byte for byte. The table is bounded; where it is full the oldest answered
 * one makes room, and where none is answered the new question is not taken.
 */
public final class TransactionTable {

    /** What tells one question from another: where it came from, its id, and the number asked for. */
    public record Key(Object source, int id, String number) {}

    /** What is known of a question. */
    public static final class Entry {
        private final double at;
        private byte[] response;

        Entry(double at) {
            this.at = at;
        }

        /** The answer given, or null while its call is open. */
        public byte[] response() {
            return response;
        }
    }

    private final Map<Key, Entry> open = new LinkedHashMap<>();
    private final Map<Key, Entry> answered = new LinkedHashMap<>();
    private final int limit;
    private final double keep;

    /**
     * An empty table.
     *
     * @param limit questions kept at most
     * @param keep how long an answer is kept for a question sent again, in milliseconds
     */
    public TransactionTable(int limit, double keep) {
        this.limit = limit;
        this.keep = keep;
    }

    /** What is known of this question, or null if it is new. */
    public Entry find(Key key, double now) {
        expire(now);
        Entry entry = open.get(key);
        return entry != null ? entry : answered.get(key);
    }

    /** Takes a new question; false if there is no room. */
    public boolean open(Key key, double now) {
        if (open.size() + answered.size() >= limit) {
            Iterator<Key> oldest = answered.keySet().iterator();
            if (!oldest.hasNext()) {
                return false;
            }
            oldest.next();
            oldest.remove();
        }
        open.put(key, new Entry(now));
        return true;
    }

    /** The question has its answer. */
    public void complete(Key key, byte[] answer, double now) {
        if (open.remove(key) != null) {
            Entry entry = new Entry(now);
            entry.response = answer;
            answered.put(key, entry);
        }
    }

    private void expire(double now) {
        Iterator<Entry> oldest = answered.values().iterator();
        while (oldest.hasNext() && oldest.next().at + keep <= now) {
            oldest.remove();
        }
    }

    /** Questions kept. */
    public int size() {
        return open.size() + answered.size();
    }
}
