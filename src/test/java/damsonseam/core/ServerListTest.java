package damsonseam.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.RoutingPolicy.ServerState;
import java.util.Collections;
import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/** Guards against updates applied out of order and against drains or removals lost in a gap between versions. */
class ServerListTest {
    private final ServerList serverList = new ServerList();

    private static ServerList.Server server(String id, ServerState state) {
        return new ServerList.Server(id, 7, "127.0.0.1:1", 9, state, OptionalDouble.empty());
    }

    @Test
    void consecutiveUpdatesAreApplied() {
        serverList.applyUpdate(5, true, List.of(server("a", ServerState.RUNNING), server("b", ServerState.RUNNING)));
        ServerList.UpdateResult update = serverList.applyUpdate(6, false, List.of(server("a", ServerState.DRAINING)));
        assertFalse(update.versionGap());
        assertEquals(ServerState.DRAINING, update.entries().get(0).state());
        serverList.applyUpdate(7, false, List.of(server("a", ServerState.GONE)));
        assertEquals(
                List.of("b"),
                serverList.servers().stream().map(ServerList.Server::id).toList());
        assertEquals(-1, serverList.indexOf("a"));
    }

    /** A version gap requires the full list, but drains and removals in the update must take effect at once. */
    @Test
    void versionGapRequiresFullListButAppliesDrain() {
        serverList.applyUpdate(1, true, List.of(server("a", ServerState.RUNNING), server("b", ServerState.RUNNING)));
        ServerList.UpdateResult update = serverList.applyUpdate(
                3, false, List.of(server("a", ServerState.DRAINING), server("c", ServerState.RUNNING)));
        assertTrue(update.versionGap());
        assertEquals(1, update.entries().size());
        assertEquals("a", update.entries().get(0).id());
        assertEquals(1, serverList.version());
    }

    @Test
    void olderAndRepeatedUpdatesAreIgnored() {
        serverList.applyUpdate(4, true, List.of(server("a", ServerState.RUNNING)));
        serverList.applyUpdate(5, false, List.of(server("a", ServerState.DRAINING)));
        ServerList.UpdateResult repeated = serverList.applyUpdate(5, false, List.of(server("a", ServerState.RUNNING)));
        assertTrue(repeated.entries().isEmpty());
        assertFalse(repeated.versionGap());
    }

    @Test
    void fullListOfRestartedDirectoryAppliesDespiteLowerVersion() {
        serverList.applyUpdate(900, true, List.of(server("a", ServerState.RUNNING)));
        serverList.applyUpdate(1, true, List.of(server("b", ServerState.RUNNING)));
        assertEquals(
                List.of("b"),
                serverList.servers().stream().map(ServerList.Server::id).toList());
        assertFalse(serverList
                .applyUpdate(2, false, List.of(server("c", ServerState.RUNNING)))
                .versionGap());
    }

    @Test
    void updateBeyondTheLimitIsRejectedAsAWhole() {
        serverList.applyUpdate(1, true, List.of(server("a", ServerState.RUNNING)));
        List<ServerList.Server> tooMany =
                Collections.nCopies(ServerList.MAX_SERVERS + 1, server("x", ServerState.RUNNING));
        assertThrows(IllegalArgumentException.class, () -> serverList.applyUpdate(2, true, tooMany));
        assertEquals(
                List.of("a"),
                serverList.servers().stream().map(ServerList.Server::id).toList());
    }
}
