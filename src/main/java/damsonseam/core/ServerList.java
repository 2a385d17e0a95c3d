package damsonseam.core;

import damsonseam.Front.ServerEntry;
import damsonseam.Front.State;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * The list of servers as the pool directory told it, in numbered versions. Changes apply only to the version
 * before; a gap is answered by asking for the whole list, and until it comes what the change said of drains
 * and removals is honoured all the same. A directory that is silent leaves the last list as it is.
 */
public final class ServerList {
    /** Servers kept at most; more in one update is refused as a whole, as something is wrong with its sender. */
    public static final int MAX_SERVERS = 1_000;

    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final Map<Integer, String> idByIndex = new HashMap<>();
    private long version;

    /**
     * One server of the list.
     *
     * @param id its name
     * @param index what a first choice refers to
     * @param address host and port of its signalling
     * @param pointCode its signalling point code, 0 where the signalling knows none
     * @param state whether it takes work
     * @param startedAt when its processor started, on the front's clock, empty if long ago
     */
    public record Server(String id, int index, String address, int pointCode, State state, OptionalDouble startedAt) {
        ServerEntry entry() {
            return new ServerEntry(id, index, startedAt, state);
        }
    }

    /** What came of an update: news for the module, and whether the whole list must be asked for. */
    public record UpdateResult(boolean full, List<ServerEntry> entries, boolean versionGap) {}

    /** Applies an update; an older or repeated version is passed over. */
    public UpdateResult applyUpdate(long newVersion, boolean full, List<Server> entries) {
        if (entries.size() > MAX_SERVERS || !full && servers.size() + entries.size() > 2 * MAX_SERVERS) {
            throw new IllegalArgumentException(
                    "an update of " + entries.size() + " servers, at most " + MAX_SERVERS + " are kept");
        }
        if (full) {
            // A directory that was started anew counts from the beginning: its full list stands for itself.
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
            // Guards drains against lost news: what the change takes away is taken away before the list comes.
            List<Server> closing =
                    entries.stream().filter(s -> s.state() != State.RUNNING).toList();
            closing.stream().filter(s -> servers.containsKey(s.id())).forEach(this::store);
            return new UpdateResult(false, toEntries(closing), true);
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
        if (server.state() == State.GONE) {
            Server old = servers.remove(server.id());
            if (old != null) {
                idByIndex.remove(old.index(), server.id());
            }
            return;
        }
        servers.put(server.id(), server);
        idByIndex.put(server.index(), server.id());
    }

    /** The version applied last, 0 before the first. */
    public long version() {
        return version;
    }

    /** The servers of the list, draining ones included. */
    public List<Server> servers() {
        return new ArrayList<>(servers.values());
    }

    /** The number of a server by its name, or -1 if it is not on the list. */
    public int indexOf(String id) {
        Server server = servers.get(id);
        return server == null ? -1 : server.index();
    }
}
