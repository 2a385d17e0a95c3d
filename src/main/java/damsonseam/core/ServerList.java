package damsonseam.core;

import damsonseam.RoutingPolicy.ServerEntry;
import damsonseam.RoutingPolicy.ServerState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * The server list as published by the pool directory, in numbered versions. An incremental update applies only to the
 * version directly before it. After a gap, the full list has to be requested; until it arrives, drains and removals in
 * the update are applied regardless. If the directory stops sending updates, the last list remains in use. Used by the
 * core's thread only.
 */
public final class ServerList {
    /**
     * Maximum number of servers. An update that exceeds it is rejected as a whole, since its sender must be faulty.
     */
    public static final int MAX_SERVERS = 1_000;

    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final Map<Integer, String> idByIndex = new HashMap<>();
    private long version;

    /**
     * A server of the list.
     *
     * @param id name of the server
     * @param index index by which a call's first choice refers to the server
     * @param address host and port of its signalling connection
     * @param pointCode signalling point code, 0 if the signalling protocol has none
     * @param state whether the server accepts calls
     * @param startedAt start time of its processor on the front's clock in milliseconds, empty if long ago
     */
    public record Server(
            String id, int index, String address, int pointCode, ServerState state, OptionalDouble startedAt) {
        ServerEntry entry() {
            return new ServerEntry(id, index, startedAt, state);
        }
    }

    /**
     * The result of an update.
     *
     * @param full whether the entries replace the whole list
     * @param entries the entries to report to the routing policy
     * @param versionGap whether an update was missed and the full list must be requested
     */
    public record UpdateResult(boolean full, List<ServerEntry> entries, boolean versionGap) {}

    /** Applies an update; an incremental one whose version is not newer than the current version is ignored. */
    public UpdateResult applyUpdate(long newVersion, boolean full, List<Server> entries) {
        if (entries.size() > MAX_SERVERS || !full && servers.size() + entries.size() > 2 * MAX_SERVERS) {
            throw new IllegalArgumentException(
                    "update of " + entries.size() + " servers rejected, at most " + MAX_SERVERS + " are kept");
        }
        if (full) {
            // A restarted directory counts versions from the beginning, so a full list applies whatever its version.
            servers.clear();
            idByIndex.clear();
            entries.forEach(this::store);
            version = newVersion;
            return new UpdateResult(true, toEntries(entries), false);
        }
        if (newVersion <= version) {
            return new UpdateResult(false, List.of(), false);
        }
        if (newVersion > version + 1) {
            // Keeps drains effective when updates were lost: removals are applied before the full list arrives.
            List<Server> leaving = entries.stream()
                    .filter(s -> s.state() != ServerState.RUNNING)
                    .toList();
            leaving.stream().filter(s -> servers.containsKey(s.id())).forEach(this::store);
            return new UpdateResult(false, toEntries(leaving), true);
        }
        entries.forEach(this::store);
        version = newVersion;
        return new UpdateResult(false, toEntries(entries), false);
    }

    private static List<ServerEntry> toEntries(List<Server> changed) {
        List<ServerEntry> entries = new ArrayList<>();
        changed.forEach(s -> entries.add(s.entry()));
        return entries;
    }

    private void store(Server server) {
        if (server.state() == ServerState.GONE) {
            Server old = servers.remove(server.id());
            if (old != null) {
                idByIndex.remove(old.index(), server.id());
            }
            return;
        }
        servers.put(server.id(), server);
        idByIndex.put(server.index(), server.id());
    }

    /** Returns the version applied last, 0 before the first update. */
    public long version() {
        return version;
    }

    /** Returns a copy of the listed servers, draining ones included. */
    public List<Server> servers() {
        return new ArrayList<>(servers.values());
    }

    /** Returns the index of the server with this id, or -1 if it is not listed. */
    public int indexOf(String id) {
        Server server = servers.get(id);
        return server == null ? -1 : server.index();
    }
}
