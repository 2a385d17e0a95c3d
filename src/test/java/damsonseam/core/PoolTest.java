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
    private final Pool pool = new Pool();

    private static Pool.Server server(String id, ServerState state) {
        return new Pool.Server(id, 7, "127.0.0.1:1", 9, state, OptionalDouble.empty());
    }

    @Test
    void changesInOrderAreApplied() {
        pool.apply(5, true, List.of(server("a", ServerState.RUNNING), server("b", ServerState.RUNNING)));
        Pool.News news = pool.apply(6, false, List.of(server("a", ServerState.DRAINING)));
        assertFalse(news.gap());
        assertEquals(ServerState.DRAINING, news.entries().get(0).state());
        pool.apply(7, false, List.of(server("a", ServerState.GONE)));
        assertEquals(List.of("b"), pool.servers().stream().map(Pool.Server::id).toList());
        assertEquals(-1, pool.number("a"));
    }

    /** Guards drains: a gap asks for the list, but what the change takes away is taken away at once. */
    @Test
    void aGapAsksForTheListYetHonoursADrain() {
        pool.apply(1, true, List.of(server("a", ServerState.RUNNING), server("b", ServerState.RUNNING)));
        Pool.News news =
                pool.apply(3, false, List.of(server("a", ServerState.DRAINING), server("c", ServerState.RUNNING)));
        assertTrue(news.gap());
        assertEquals(1, news.entries().size());
        assertEquals("a", news.entries().get(0).id());
        assertEquals(1, pool.version());
    }

    @Test
    void olderAndRepeatedChangesArePassedOver() {
        pool.apply(4, true, List.of(server("a", ServerState.RUNNING)));
        pool.apply(5, false, List.of(server("a", ServerState.DRAINING)));
        Pool.News late = pool.apply(5, false, List.of(server("a", ServerState.RUNNING)));
        assertTrue(late.entries().isEmpty());
        assertFalse(late.gap());
    }

    @Test
    void aDirectoryStartedAnewStandsForItself() {
        pool.apply(900, true, List.of(server("a", ServerState.RUNNING)));
        pool.apply(1, true, List.of(server("b", ServerState.RUNNING)));
        assertEquals(List.of("b"), pool.servers().stream().map(Pool.Server::id).toList());
        assertFalse(
                pool.apply(2, false, List.of(server("c", ServerState.RUNNING))).gap());
    }

    @Test
    void anUpdateBeyondTheLimitIsRefusedAsAWhole() {
        pool.apply(1, true, List.of(server("a", ServerState.RUNNING)));
        List<Pool.Server> many = Collections.nCopies(Pool.MOST_SERVERS + 1, server("x", ServerState.RUNNING));
        assertThrows(IllegalArgumentException.class, () -> pool.apply(2, true, many));
        assertEquals(List.of("a"), pool.servers().stream().map(Pool.Server::id).toList());
    }
}
