package damsonseam.node;

import damsonseam.Decide;
import damsonseam.Front.CallClass;
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
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
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
    /** A pause of the loop that the log tells of: callers and the module's estimates feel it. */
    private static final double PAUSE_MS = 250;

    private final NodeConfig config;
    private final MultiThreadIoEventLoopGroup group;
    private final Loop loop;
    private final Releases releases;
    private final CallBook book;
    private final ServerLinks servers;
    private final CallerListener callers;
    private final CoordinatorClient coordinator;
    private final Router router;
    private final List<CallClass> classes;
    private double beatAt;
    private boolean ending;
    private boolean closed;

    private NodeServer(NodeConfig config) {
        this.config = config;
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = new Loop((EventLoop) group.next(), BEAT);
        releases = new Releases(loop);
        book = new CallBook(releases);
        Settings module = config.settings().settings(config.seed());
        classes = module.classes();
        CallSettings calls = new CallSettings(config.settings());
        int links = Math.min(MOST_SERVER_CONNECTIONS, config.maxSockets() / SERVERS_SHARE);
        servers = new ServerLinks(
                loop,
                book,
                calls.reports(),
                config.settings().connectTimeout().orElse(CONNECT_TIMEOUT),
                links,
                config.seed(),
                module.mayProbe().orElse(false));
        // Callers may take a third of the descriptors; all that is left is room for those that only knock.
        callers = new CallerListener(loop, calls, book, servers, config.maxSockets() - OWN_DESCRIPTORS, this::ready);
        coordinator = new CoordinatorClient(loop, servers, config.coordinator(), config.seed());
        int most = Math.min(
                config.settings().mostHeld().orElse(MOST_HELD),
                config.memoryMb() > 0 ? config.memoryMb() * CALLS_A_MB : MOST_HELD);
        router = new Router(
                new RouterSettings(module, most, BEAT, RELEASE_WAIT, LAST_MOMENT),
                actions -> new Decide(module, actions),
                new CallTable(most, System.currentTimeMillis() / 1000),
                loop.timers(),
                (call, number, deadline) -> {
                    throw new IllegalStateException("a front node looks no numbers up");
                },
                servers,
                coordinator,
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
            book.start(router);
            releases.start(router, callers);
            servers.start(router);
            callers.start(router);
            coordinator.start(router, config.knownUpdates());
            loop.start(this::beat, () -> router.settle(loop.now()));
            loop.kick();
            return null;
        });
        callers.bind(config.listen().toSocketAddress());
        LOG.atInfo()
                .addKeyValue("node", config.name())
                .addKeyValue("listen", callers.address().toString())
                .addKeyValue("servers", config.knownUpdates().size())
                .log("front node started");
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
        if (!loop.eventLoop().isShuttingDown()) {
            call(() -> {
                coordinator.move(news.coordinator(), news.knownUpdates());
                return null;
            });
        }
    }

    /** Answers what still comes, finishes what is open, and ends. */
    public void drain() throws InterruptedException {
        LOG.atInfo().addKeyValue("node", config.name()).log("ending");
        CompletableFuture<Void> done = call(() -> {
            ending = true;
            return new Shutdown(loop, router, callers, servers, releases, classes).begin();
        });
        done.join();
        LOG.atInfo()
                .addKeyValue("node", config.name())
                .addKeyValue("owed", owed())
                .addKeyValue("standing", call(() -> book.size()))
                .log("ended");
        close();
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

    /**
     * What the node holds to be so, in places that must agree.
     *
     * @param calls calls of callers, those that stand included
     * @param core those that the core has, too: all but the ones taken over from before the start
     * @param owed calls whose callers are owed an answer, by the core's count
     * @param attempts attempts that have not ended, at all servers
     * @param carried attempts by the counts of the connections that carry them, and those that wait for one
     * @param standing calls that stand, by servers
     * @param named calls that stand, by the connections of their callers
     */
    record Beliefs(int calls, int core, int owed, int attempts, int carried, int standing, int named) {}

    Beliefs beliefs() {
        return call(() -> new Beliefs(
                book.size(),
                router.open(),
                router.owed(),
                servers.attempts(),
                servers.carried(),
                servers.standing(),
                book.named()));
    }

    Loop loop() {
        return loop;
    }

    CoordinatorClient coordinator() {
        return coordinator;
    }

    CallerListener listener() {
        return callers;
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
