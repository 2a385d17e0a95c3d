package damsonseam.node;

import damsonseam.CongestionControlPolicy;
import damsonseam.RoutingPolicy.CallClass;
import damsonseam.RoutingPolicy.PolicySettings;
import damsonseam.core.CallTable;
import damsonseam.core.CallTracer;
import damsonseam.core.Counters;
import damsonseam.core.Router;
import damsonseam.core.RouterSettings;
import damsonseam.loop.CallLog;
import damsonseam.loop.CoreLoop;
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
    static final ByteBufAllocator ALLOCATOR = new PooledByteBufAllocator(true, 1, 1, 8192, 5, 0, 0, true);
    /** The beat of the loop, in milliseconds: well under the module's own beat of 20. */
    private static final double TICK_MS = 2;
    /** How long before a caller gives up the core fails a call still unanswered; the module acts sooner. */
    private static final double ANSWER_MARGIN_MS = 8;
    /** How long a give-up may take to be written before its attempt counts as over all the same. */
    private static final double RELEASE_WRITE_TIMEOUT_MS = 100;

    private static final double DEFAULT_CONNECT_TIMEOUT_MS = 500;
    private static final int DEFAULT_MAX_OPEN_CALLS = 20_000;
    /** Open calls that a megabyte of memory is given for: one may hold two descriptions of 16 KiB at worst. */
    private static final int CALLS_PER_MB = 32;
    /** Descriptors that the process itself holds: some 55 jars, pipes, the selector, the listener; and some spare. */
    private static final int RESERVED_DESCRIPTORS = 72;
    /** Connections to all servers at the most, and as a share of the descriptors. */
    private static final int MAX_SERVER_CONNECTIONS = 96;

    private static final int SERVER_DESCRIPTOR_DIVISOR = 6;
    /** A pause of the loop that the log tells of: callers and the module's estimates feel it. */
    private static final double MIN_LOGGED_PAUSE_MS = 250;

    private final NodeConfig config;
    private final MultiThreadIoEventLoopGroup group;
    private final CoreLoop loop;
    private final PendingReleases pendingReleases;
    private final CallRegistry callRegistry;
    private final ServerEndpoints serverEndpoints;
    private final CallerListener callerListener;
    private final CoordinatorClient coordinator;
    private final Router router;
    private final List<CallClass> classes;
    private double lastTickMs;
    private boolean draining;
    private boolean closed;

    private NodeServer(NodeConfig config) {
        this.config = config;
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = new CoreLoop((EventLoop) group.next(), TICK_MS);
        pendingReleases = new PendingReleases(loop);
        callRegistry = new CallRegistry(pendingReleases);
        PolicySettings moduleSettings = config.settings().moduleSettings(config.seed());
        classes = moduleSettings.classes();
        InviteParser inviteParser = new InviteParser(config.settings());
        int maxServerConnections = Math.min(MAX_SERVER_CONNECTIONS, config.maxSockets() / SERVER_DESCRIPTOR_DIVISOR);
        serverEndpoints = new ServerEndpoints(
                loop,
                callRegistry,
                inviteParser.reportFields(),
                config.settings().connectTimeout().orElse(DEFAULT_CONNECT_TIMEOUT_MS),
                maxServerConnections,
                config.seed(),
                moduleSettings.mayProbe().orElse(false));
        // Callers may take a third of the descriptors; all that is left is room for those that only knock.
        callerListener = new CallerListener(
                loop,
                inviteParser,
                callRegistry,
                serverEndpoints,
                config.maxSockets() - RESERVED_DESCRIPTORS,
                this::isReady);
        coordinator = new CoordinatorClient(loop, serverEndpoints, config.coordinator(), config.seed());
        int maxOpenCalls = Math.min(
                config.settings().maxHeldCalls().orElse(DEFAULT_MAX_OPEN_CALLS),
                config.memoryMb() > 0 ? config.memoryMb() * CALLS_PER_MB : DEFAULT_MAX_OPEN_CALLS);
        router = new Router(
                new RouterSettings(moduleSettings, maxOpenCalls, TICK_MS, RELEASE_WRITE_TIMEOUT_MS, ANSWER_MARGIN_MS),
                actions -> new CongestionControlPolicy(moduleSettings, actions),
                new CallTable(maxOpenCalls, System.currentTimeMillis() / 1000),
                loop.timers(),
                (call, number, deadline) -> {
                    throw new IllegalStateException("a front node looks no numbers up");
                },
                serverEndpoints,
                coordinator,
                LoggerFactory.getLogger(CallLog.LOGGER_NAME).isInfoEnabled()
                        ? new CallLog(config.name())
                        : CallTracer.NONE);
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
        callOnLoop(() -> {
            callRegistry.start(router);
            pendingReleases.start(router, callerListener);
            serverEndpoints.start(router);
            callerListener.start(router);
            coordinator.start(router, config.knownUpdates());
            loop.start(this::tick, () -> router.endBatch(loop.now()));
            loop.scheduleBatchEnd();
            return null;
        });
        callerListener.bind(config.listen().toSocketAddress());
        LOG.atInfo()
                .addKeyValue("node", config.name())
                .addKeyValue("listen", callerListener.address().toString())
                .addKeyValue("servers", config.knownUpdates().size())
                .log("front node started");
    }

    private void tick() {
        double now = loop.now();
        if (now - lastTickMs > MIN_LOGGED_PAUSE_MS && lastTickMs > 0) {
            LOG.atInfo().addKeyValue("ms", Math.round(now - lastTickMs)).log("stood still");
        }
        lastTickMs = now;
        router.onTick(now);
    }

    private boolean isReady() {
        return !draining && serverEndpoints.isReady();
    }

    /** Where callers connect. */
    public InetSocketAddress address() {
        return callerListener.address();
    }

    /** A new configuration: only the coordinator's address changes while a node runs. */
    public void reload(NodeConfig newConfig) {
        if (!loop.eventLoop().isShuttingDown()) {
            callOnLoop(() -> {
                coordinator.changeAddress(newConfig.coordinator(), newConfig.knownUpdates());
                return null;
            });
        }
    }

    /** Answers what still comes, finishes what is open, and ends. */
    public void drain() throws InterruptedException {
        LOG.atInfo().addKeyValue("node", config.name()).log("ending");
        CompletableFuture<Void> done = callOnLoop(() -> {
            draining = true;
            return new Shutdown(loop, router, callerListener, serverEndpoints, pendingReleases, classes).start();
        });
        done.join();
        LOG.atInfo()
                .addKeyValue("node", config.name())
                .addKeyValue("owed", pendingAnswers())
                .addKeyValue("standing", callOnLoop(() -> callRegistry.size()))
                .log("ended");
        close();
    }

    private int pendingAnswers() {
        return callOnLoop(() -> router.unansweredCalls());
    }

    /** Calls of callers, those that stand included. */
    int openCalls() {
        return callOnLoop(() -> callRegistry.size());
    }

    /** Connections from callers. */
    int callerConnections() {
        return callOnLoop(() -> callerListener.connectionCount());
    }

    /** Signalling servers that are still of use. */
    int serverCount() {
        return callOnLoop(() -> serverEndpoints.size());
    }

    /** Number of the last change of the list. */
    long serverListVersion() {
        return callOnLoop(() -> router.serverList().version());
    }

    /**
     * What the node holds to be so, in places that must agree.
     *
     * @param openCalls calls of callers, those that stand included
     * @param coreCalls those that the core has, too: all but the ones taken over from before the start
     * @param pendingAnswers calls whose callers are owed an answer, by the core's count
     * @param attempts attempts that have not ended, at all servers
     * @param carriedAttempts attempts by the counts of the connections that carry them, and those that wait for one
     * @param establishedAtServers calls that stand, by servers
     * @param establishedAtCallers calls that stand, by the connections of their callers
     */
    record ConsistencyCounts(
            int openCalls,
            int coreCalls,
            int pendingAnswers,
            int attempts,
            int carriedAttempts,
            int establishedAtServers,
            int establishedAtCallers) {}

    ConsistencyCounts consistencyCounts() {
        return callOnLoop(() -> new ConsistencyCounts(
                callRegistry.size(),
                router.openCalls(),
                router.unansweredCalls(),
                serverEndpoints.attempts(),
                serverEndpoints.carriedAttempts(),
                serverEndpoints.establishedCalls(),
                callRegistry.establishedAtCallers()));
    }

    CoreLoop loop() {
        return loop;
    }

    CoordinatorClient coordinator() {
        return coordinator;
    }

    CallerListener callerListener() {
        return callerListener;
    }

    /** Counts since the start; read them when the node is at rest. */
    public Counters counters() {
        return router.counters();
    }

    private <T> T callOnLoop(Callable<T> task) {
        try {
            return loop.eventLoop().submit(task).get();
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
            callerListener.close();
            serverEndpoints.close();
            coordinator.close();
        });
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
