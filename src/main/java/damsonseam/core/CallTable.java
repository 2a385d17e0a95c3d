package damsonseam.core;

import java.util.ArrayList;
import java.util.List;
import org.agrona.collections.Long2ObjectHashMap;

/**
 * The open calls of one front, established ones included, up to a limit. Used by the core's thread only. Ids ascend and
 * are never reused: they begin at the wall-clock second of the start, shifted left by 24 bits, so that a restarted
 * front continues above all earlier ids as long as it receives fewer than 2^24 calls per second on average.
 */
public final class CallTable {
    private static final int ID_SEQUENCE_BITS = 24;

    private final Long2ObjectHashMap<CallRecord> calls = new Long2ObjectHashMap<>();
    private final int limit;
    private long nextId;

    /**
     * Creates an empty table.
     *
     * @param limit maximum number of open calls
     * @param startSecond wall-clock time of the start, in seconds since the epoch
     */
    public CallTable(int limit, long startSecond) {
        if (limit < 1) {
            throw new IllegalArgumentException("call table limit must be at least 1, not " + limit);
        }
        this.limit = limit;
        nextId = (startSecond << ID_SEQUENCE_BITS) + 1;
    }

    /** Returns whether the table has reached its limit. */
    public boolean isFull() {
        return calls.size() >= limit;
    }

    /** Returns a new id; each is issued once. */
    long nextId() {
        return nextId++;
    }

    void add(CallRecord call) {
        calls.put(call.id(), call);
    }

    CallRecord get(long id) {
        return calls.get(id);
    }

    void remove(CallRecord call) {
        calls.remove(call.id());
    }

    /** Returns the number of open calls. */
    public int size() {
        return calls.size();
    }

    /** Returns a copy of the open calls, for shutdown and reports. */
    public List<CallRecord> snapshot() {
        return new ArrayList<>(calls.values());
    }
}
