package damsonseam.node;

import damsonseam.Decide;
import damsonseam.Front.Settings;
import damsonseam.core.CallTable;
import damsonseam.core.Counters;
import damsonseam.core.Router;
import damsonseam.core.RouterSettings;
import damsonseam.core.Story;
import damsonseam.loop.CallLog;
import damsonseam.loop.Loop;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One running front node: its sockets, its core and its module, all on one event loop. */
public final class NodeServer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(NodeServer.class);
    /** One arena of 256 KiB chunks without caches of other threads: all buffers belong to one loop. */
    static final ByteBufAllocator BUFFERS = new PooledByteBufAllocator(true, 1, 1, 8192, 5, 0, 0, true);
    /** The beat of the loop, in milliseconds: well under the module's own beat of 20. */
    private static final double BEAT = 2;
    /** How long before a caller gives up the core fails a call still unanswered; the module acts sooner. */
    private static final double LAST_MOMENT = 8;
    /** How long a give-up may take to be written before its attempt counts as over all the same. */
    private static final double RELEASE_WAIT = 100;
    private static final double CONNECT_TIMEOUT = 500;
    private static final int MOST_HELD = 20_000;
    /** Open calls that a megabyte of memory is given for: one may hold two descriptions of 16 KiB at worst. */
    private static final int CALLS_A_MB = 32;
    /** Descriptors that the process itself holds: some 55 jars, pipes, the selector, the listener; and some spare. */
    private static final int OWN_DESCRIPTORS = 72;
    /** Connections to all servers at the most, and as a share of the descriptors. */
    private static final int MOST_SERVER_CONNECTIONS = 96;
    private static final int SERVERS_SHARE = 6;
    /** After SIGTERM the platform still sends for 0.6 s, and what comes later than 0.7 s is none of this node's. */
    private static final double LINGER_MS = 900;
    private static final double MOST_LINGER_MS = 3_500;
    private static final int POLL_MS = 10;
    /** A pause of the loop that the log tells of: callers and the module's estimates feel it. */
    private static final double PAUSE_MS = 250;

    private final NodeConfig config;
    private final MultiThreadIoEventLoopGroup group;
    private final Loop loop;
    private final CallBook book = new CallBook();
    private final ServerLinks servers;
    private final CallerListener callers;
    private final CoordinatorClient coordinator;
    private final Router router;
    private double beatAt;
    private boolean ending;
    private boolean closed;

    private NodeServer(NodeConfig config) {
        this.config = config;
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = new Loop((EventLoop) group.next(), BEAT);
        Settings module = config.settings().settings(config.seed());
        CallSettings calls = new CallSettings(config.settings());
        int links = Math.min(MOST_SERVER_CONNECTIONS, config.sockets() / SERVERS_SHARE);
        servers = new ServerLinks(loop, book, calls.reports(),
                config.settings().connectTimeout().orElse(CONNECT_TIMEOUT), links);
        // Callers may take a third of the descriptors; all that is left is room for those that only knock.
        callers = new CallerListener(loop, calls, book, servers, config.sockets() - OWN_DESCRIPTORS - links,
                this::ready);
        coordinator = new CoordinatorClient(loop, servers, config.coordinator());
        int most = Math.min(config.settings().mostHeld().orElse(MOST_HELD),
                config.memoryMb() > 0 ? config.memoryMb() * CALLS_A_MB : MOST_HELD);
        router = new Router(new RouterSettings(module, most, BEAT, RELEASE_WAIT, LAST_MOMENT),
                actions -> new Decide(module, actions), new CallTable(most, System.currentTimeMillis() / 1000),
                loop.timers(), (call, number, deadline) -> {
                    throw new IllegalStateException("a front node looks no numbers up");
                }, servers, coordinator,
                LoggerFactory.getLogger(CallLog.NAME).isInfoEnabled() ? new CallLog(config.name()) : Story.NONE);
    }

    /** Starts a front node; returns when its port is open. */
    public static NodeServer start(NodeConfig config) throws IOException {
        NodeServer node = new NodeServer(config);
        try {
            node.listen();
        } catch (IOException e) {
            node.close();
            throw e;
        }
        return node;
    }

    private void listen() throws IOException {
        call(() -> {
            book.start(router, callers);
            servers.start(router);
            callers.start(router);
            coordinator.start(router, config.known());
            coordinator.follow();
            loop.start(this::beat, () -> router.settle(loop.now()));
            loop.kick();
            return null;
        });
        callers.bind(config.listen().socket());
        LOG.atInfo().addKeyValue("node", config.name()).addKeyValue("listen", callers.address().toString())
                .addKeyValue("servers", config.known().size()).log("front node started");
    }

    private void beat() {
        double now = loop.now();
        if (now - beatAt > PAUSE_MS && beatAt > 0) {
            LOG.atInfo().addKeyValue("ms", Math.round(now - beatAt)).log("stood still");
        }
        beatAt = now;
        router.beat(now);
    }

    private boolean ready() {
        return !ending && servers.ready();
    }

    /** Where callers connect. */
    public InetSocketAddress address() {
        return callers.address();
    }

    /** A new configuration: only the coordinator's address changes while a node runs. */
    public void reload(NodeConfig news) {
        call(() -> {
            coordinator.move(news.coordinator(), news.known());
            return null;
        });
    }

    /** Answers what still comes, finishes what is open, and ends. */
    public void drain() throws InterruptedException {
        LOG.atInfo().addKeyValue("node", config.name()).log("ending");
        double from = call(() -> {
            ending = true;
            return loop.now();
        });
        while (loop.now() - from < LINGER_MS || loop.now() - from < MOST_LINGER_MS && !settled()) {
            Thread.sleep(POLL_MS);
        }
        LOG.atInfo().addKeyValue("node", config.name()).addKeyValue("owed", owed())
                .addKeyValue("standing", call(() -> book.size())).log("ended");
        close();
    }

    /** Whether nothing is owed, and nothing that a caller has sent waits to be read. */
    private boolean settled() {
        return call(() -> router.owed() == 0 && callers.accepting());
    }

    private int owed() {
        return call(() -> router.owed());
    }

    /** Calls of callers, those that stand included. */
    int open() {
        return call(() -> book.size());
    }

    /** Connections from callers. */
    int callers() {
        return call(() -> callers.connections());
    }

    /** Signalling servers that are still of use. */
    int links() {
        return call(() -> servers.size());
    }

    /** Number of the last change of the list. */
    long listVersion() {
        return call(() -> router.pool().version());
    }

    /** Counts since the start; read them when the node is at rest. */
    public Counters counters() {
        return router.counters();
    }

    private <T> T call(Callable<T> what) {
        try {
            return loop.eventLoop().submit(what).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    /** Ends at once, as a crash would look from outside. */
    @Override
    public synchronized void close() {
        if (closed) {
            return;
        }
        closed = true;
        loop.eventLoop().execute(() -> {
            loop.stop();
            callers.close();
            servers.close();
            coordinator.close();
        });
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
