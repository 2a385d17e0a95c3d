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

class PoolTest {
    private final ServerList pool = new ServerList();

    private static ServerList.Server server(String id, ServerState state) {
        return new ServerList.Server(id, 7, "127.0.0.1:1", 9, state, OptionalDouble.empty());
    }

    @Test
    void changesInOrderAreApplied() {
        pool.applyUpdate(5, true, List.of(server("a", ServerState.RUNNING), server("b", ServerState.RUNNING)));
        ServerList.UpdateResult news = pool.applyUpdate(6, false, List.of(server("a", ServerState.DRAINING)));
        assertFalse(news.versionGap());
        assertEquals(ServerState.DRAINING, news.entries().get(0).state());
        pool.applyUpdate(7, false, List.of(server("a", ServerState.GONE)));
        assertEquals(
                List.of("b"), pool.servers().stream().map(ServerList.Server::id).toList());
        assertEquals(-1, pool.indexOf("a"));
    }

    /** Guards drains: a gap asks for the list, but what the change takes away is taken away at once. */
    @Test
    void aGapAsksForTheListYetHonoursADrain() {
        pool.applyUpdate(1, true, List.of(server("a", ServerState.RUNNING), server("b", ServerState.RUNNING)));
        ServerList.UpdateResult news = pool.applyUpdate(
                3, false, List.of(server("a", ServerState.DRAINING), server("c", ServerState.RUNNING)));
        assertTrue(news.versionGap());
        assertEquals(1, news.entries().size());
        assertEquals("a", news.entries().get(0).id());
        assertEquals(1, pool.version());
    }

    @Test
    void olderAndRepeatedChangesArePassedOver() {
        pool.applyUpdate(4, true, List.of(server("a", ServerState.RUNNING)));
        pool.applyUpdate(5, false, List.of(server("a", ServerState.DRAINING)));
        ServerList.UpdateResult late = pool.applyUpdate(5, false, List.of(server("a", ServerState.RUNNING)));
        assertTrue(late.entries().isEmpty());
        assertFalse(late.versionGap());
    }

    @Test
    void aDirectoryStartedAnewStandsForItself() {
        pool.applyUpdate(900, true, List.of(server("a", ServerState.RUNNING)));
        pool.applyUpdate(1, true, List.of(server("b", ServerState.RUNNING)));
        assertEquals(
                List.of("b"), pool.servers().stream().map(ServerList.Server::id).toList());
        assertFalse(pool.applyUpdate(2, false, List.of(server("c", ServerState.RUNNING)))
                .versionGap());
    }

    @Test
    void anUpdateBeyondTheLimitIsRefusedAsAWhole() {
        pool.applyUpdate(1, true, List.of(server("a", ServerState.RUNNING)));
        List<ServerList.Server> many =
                Collections.nCopies(ServerList.MAX_SERVERS + 1, server("x", ServerState.RUNNING));
        assertThrows(IllegalArgumentException.class, () -> pool.applyUpdate(2, true, many));
        assertEquals(
                List.of("a"), pool.servers().stream().map(ServerList.Server::id).toList());
    }
}
