package damsonseam.node;

import damsonseam.RoutingPolicy.ServerState;
import damsonseam.core.ServerList;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;

/**
 * One numbered change of the list of signalling servers.
 *
 * @param number counts from 1 in each run of a node
 * @param full whether it holds the whole list
 * @param entries the servers of the list, or those that changed
 */
record ServerListUpdate(long number, boolean full, List<Entry> entries) {

    /**
     * One server.
     *
     * @param id its name
     * @param address host and port where it listens
     * @param cell what the destination of a call refers to
     * @param state whether it takes work
     * @param upSince Unix millisecond of a late start, else 0
     */
    record Entry(String id, String address, int cell, ServerState state, long upSince) {}

    /** The entries on the node's own clock, which reads {@code now} at the Unix millisecond {@code unix}. */
    List<ServerList.Server> toServers(double nowMs, long unixMs) {
        List<ServerList.Server> servers = new ArrayList<>(entries.size());
        for (Entry entry : entries) {
            servers.add(new ServerList.Server(
                    entry.id,
                    entry.cell,
                    entry.address,
                    0,
                    entry.state,
                    entry.upSince > 0 ? OptionalDouble.of(nowMs - (unixMs - entry.upSince)) : OptionalDouble.empty()));
        }
        return servers;
    }
}
