package damsonseam.core;

import java.util.ArrayList;
import java.util.List;
import org.agrona.collections.Long2ObjectHashMap;

/**
 * The open calls of one front, standing ones included, up to a limit; a call beyond it is not taken and its
 * caller is refused at once. Ids rise and never repeat: they start from the wall clock's second of the start,
 * shifted by 24 bits, so that a later run starts above all ids of an earlier one as long as a front takes
 * under 2^24 calls a second in the mean.
 */
public final class CallTable {
    private static final int ID_SEQUENCE_BITS = 24;

    private final Long2ObjectHashMap<CallRecord> calls = new Long2ObjectHashMap<>();
    private final int limit;
    private long nextId;

    /**
     * An empty table.
     *
     * @param limit most calls open at one time
     * @param startSecond seconds of the wall clock at the start
     */
    public CallTable(int limit, long startSecond) {
        if (limit < 1) {
            throw new IllegalArgumentException("a call table needs room for one call, not " + limit);
        }
        this.limit = limit;
        nextId = (startSecond << ID_SEQUENCE_BITS) + 1;
    }

    /** Whether one more call would be too many. */
    public boolean isFull() {
        return calls.size() >= limit;
    }

    /** The next id; each is given out once. */
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

    /** Open calls. */
    public int size() {
        return calls.size();
    }

    /** A copy of the open calls, for the end of the front and for reports. */
    public List<CallRecord> snapshot() {
        return new ArrayList<>(calls.values());
    }
}
