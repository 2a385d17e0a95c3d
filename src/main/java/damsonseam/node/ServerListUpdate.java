package damsonseam.node;

import damsonseam.RoutingPolicy.ServerState;
import damsonseam.core.ServerList;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;

/**
 * One numbered update of the list of signalling servers.
 *
 * @param number number of the update, from 1 in each run of a node
 * @param full whether the update holds the whole list
 * @param entries all servers of the list, or those that changed
 */
record ServerListUpdate(long number, boolean full, List<Entry> entries) {

    /**
     * One server. The log writes the entries with these component names.
     *
     * @param id id of the server
     * @param address host and port on which it listens
     * @param cell number of the cell that it serves, to which the destination of a call refers
     * @param state whether it takes calls
     * @param upSince Unix time of a late start in milliseconds, else 0
     */
    record Entry(String id, String address, int cell, ServerState state, long upSince) {}

    /** Converts the entries to the node's clock, which shows {@code nowMs} at the Unix time {@code unixMs}. */
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
