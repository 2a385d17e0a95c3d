package damsonseam.node;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The calls that callers have reported as established and that this node has not set up itself. No server has confirmed
 * them, so their number is bounded. At the limit the connection with the most reports loses its oldest one, and
 * connections of proven callers come last: a peer that invents calls displaces its own reports, not those of others.
 */
final class AdoptedCalls {
    /** The reported calls of one connection, oldest first. */
    private static final class Holder {
        final CallerConnection connection;
        final long number;
        final Set<NodeCall> calls = new LinkedHashSet<>();

        Holder(CallerConnection connection, long number) {
            this.connection = connection;
            this.number = number;
        }

        int size() {
            return calls.size();
        }

        long number() {
            return number;
        }
    }

    private final int limit;
    private final Map<CallerConnection, Holder> holders = new HashMap<>();
    private final TreeSet<Holder> heaviestFirst =
            new TreeSet<>(Comparator.comparingInt(Holder::size).reversed().thenComparingLong(Holder::number));
    private long holderCount;
    private int size;

    AdoptedCalls(int limit) {
        this.limit = limit;
    }

    /** Adds a call under the connection that reported it. */
    void add(NodeCall call) {
        Holder holder = holders.computeIfAbsent(call.caller, connection -> new Holder(connection, holderCount++));
        heaviestFirst.remove(holder);
        holder.calls.add(call);
        heaviestFirst.add(holder);
        size++;
    }

    /** Removes a call; its connection must be the one under which it was added. */
    void remove(NodeCall call) {
        Holder holder = holders.get(call.caller);
        if (holder == null || !holder.calls.contains(call)) {
            return;
        }
        heaviestFirst.remove(holder);
        holder.calls.remove(call);
        size--;
        if (holder.calls.isEmpty()) {
            holders.remove(holder.connection);
        } else {
            heaviestFirst.add(holder);
        }
    }

    /** Returns the call to give up so that no more than the limit remain, or null if there is room. */
    NodeCall excessCall() {
        if (size <= limit) {
            return null;
        }
        Holder heaviest = heaviestFirst.stream()
                .filter(holder -> !holder.connection.isProvenCaller())
                .findFirst()
                .orElseGet(heaviestFirst::first);
        return heaviest.calls.iterator().next();
    }
}
