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

/**
 * A running front node. Owns the caller listener, the server endpoints, the coordinator client, the core's router and
 * the routing policy, which all run on one event loop. The public methods may be called from any other thread.
 */
public final class NodeServer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(NodeServer.class);
    /** Tick of the loop: well below the policy's sweep interval of 20 ms. */
    private static final double TICK_MS = 2;
    /** How long before its deadline the core fails a call that is still unanswered; the policy acts sooner. */
    private static final double ANSWER_MARGIN_MS = 8;
    /** How long the CANCEL of an attempt may take to be written before the attempt counts as ended anyway. */
    private static final double RELEASE_WRITE_TIMEOUT_MS = 100;

    private static final double DEFAULT_CONNECT_TIMEOUT_MS = 500;
    private static final int DEFAULT_MAX_OPEN_CALLS = 20_000;
    /** Open calls allowed per megabyte of memory; {@link UnansweredCallMemory} bounds what they hold. */
    private static final int CALLS_PER_MB = 32;
    /** File descriptors of the process itself: some 55 jars, pipes, the selector, the listener, and some in reserve. */
    private static final int RESERVED_DESCRIPTORS = 72;
    /** Limit of the connections to all servers together. */
    private static final int MAX_SERVER_CONNECTIONS = 96;
    /** Server connections use at most the file descriptors divided by this. */
    private static final int SERVER_DESCRIPTOR_DIVISOR = 6;
    /** Shortest pause of the event loop that is logged: callers and the policy's estimates are affected by it. */
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
    private volatile Thread eventLoopThread;
    private double lastTickMs;
    private boolean draining;
    private boolean closed;

    private NodeServer(NodeConfig config, MemoryLimits memoryLimits) {
        this.config = config;
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = new CoreLoop((EventLoop) group.next(), TICK_MS);
        pendingReleases = new PendingReleases(loop);
        callRegistry = new CallRegistry(pendingReleases);
        PolicySettings policySettings = config.settings().policySettings(config.seed());
        classes = policySettings.classes();
        InviteParser inviteParser = new InviteParser(config.settings());
        int maxServerConnections = Math.min(MAX_SERVER_CONNECTIONS, config.maxSockets() / SERVER_DESCRIPTOR_DIVISOR);
        serverEndpoints = new ServerEndpoints(
                loop,
                callRegistry,
                inviteParser.loadReportParser(),
                config.settings().connectTimeout().orElse(DEFAULT_CONNECT_TIMEOUT_MS),
                maxServerConnections,
                config.seed(),
                policySettings.mayProbe().orElse(false),
                memoryLimits.serverUnsentBytes());
        // Callers that send set-ups use up to a third of the descriptors; the rest is for peers that only connect.
        callerListener = new CallerListener(
                loop,
                inviteParser,
                callRegistry,
                serverEndpoints,
                config.maxSockets() - RESERVED_DESCRIPTORS,
                memoryLimits,
                this::isReady);
        coordinator = new CoordinatorClient(loop, serverEndpoints, config.coordinator(), config.seed());
        int maxOpenCalls = Math.min(
                config.settings().maxHeldCalls().orElse(DEFAULT_MAX_OPEN_CALLS),
                config.memoryMb() > 0 ? config.memoryMb() * CALLS_PER_MB : DEFAULT_MAX_OPEN_CALLS);
        router = new Router(
                new RouterSettings(policySettings, maxOpenCalls, TICK_MS, RELEASE_WRITE_TIMEOUT_MS, ANSWER_MARGIN_MS),
                actions -> new CongestionControlPolicy(policySettings, actions),
                new CallTable(maxOpenCalls, System.currentTimeMillis() / 1000),
                loop.timers(),
                (call, number, deadline) -> {
                    throw new IllegalStateException("a front node does not look up numbers");
                },
                serverEndpoints,
                coordinator,
                LoggerFactory.getLogger(CallLog.LOGGER_NAME).isInfoEnabled()
                        ? new CallLog(config.name())
                        : CallTracer.NONE);
    }

    /** Starts a front node and returns when its port is open. */
    public static NodeServer start(NodeConfig config) throws IOException {
        return start(config, MemoryLimits.ofVirtualMachine());
    }

    static NodeServer start(NodeConfig config, MemoryLimits memoryLimits) throws IOException {
        NodeServer node = new NodeServer(config, memoryLimits);
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
            eventLoopThread = Thread.currentThread();
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
            LOG.atInfo().addKeyValue("ms", Math.round(now - lastTickMs)).log("event loop paused");
        }
        lastTickMs = now;
        router.onTick(now);
    }

    private boolean isReady() {
        return !draining && serverEndpoints.isReady();
    }

    /** Returns the address on which callers connect. */
    public InetSocketAddress address() {
        return callerListener.address();
    }

    /** Returns whether the thread of the event loop runs; without it nothing is answered any more. */
    public boolean isEventLoopAlive() {
        return eventLoopThread.isAlive();
    }

    /** Applies a new configuration: its updates and the coordinator's address; nothing else changes at run time. */
    public void reload(NodeConfig newConfig) {
        if (!loop.eventLoop().isShuttingDown()) {
            callOnLoop(() -> {
                coordinator.changeAddress(newConfig.coordinator(), newConfig.knownUpdates());
                return null;
            });
        }
    }

    /** Answers the set-ups that still arrive, finishes the pending calls and stops; returns when that is done. */
    public void drain() throws InterruptedException {
        LOG.atInfo().addKeyValue("node", config.name()).log("front node stopping");
        CompletableFuture<Void> done = callOnLoop(() -> {
            draining = true;
            return new Shutdown(loop, router, callerListener, serverEndpoints, pendingReleases, classes).start();
        });
        done.join();
        LOG.atInfo()
                .addKeyValue("node", config.name())
                .addKeyValue("owed", unansweredCalls())
                .addKeyValue("standing", callOnLoop(() -> callRegistry.size()))
                .log("front node stopped");
        close();
    }

    private int unansweredCalls() {
        return callOnLoop(() -> router.unansweredCalls());
    }

    /** Returns the number of open calls, established ones included. */
    int openCalls() {
        return callOnLoop(() -> callRegistry.size());
    }

    /** Returns the number of connections from callers. */
    int callerConnections() {
        return callOnLoop(() -> callerListener.connectionCount());
    }

    /** Returns the number of signalling servers in use. */
    int serverCount() {
        return callOnLoop(() -> serverEndpoints.size());
    }

    /** Returns the number of the last server-list update. */
    long serverListVersion() {
        return callOnLoop(() -> router.serverList().version());
    }

    /**
     * Counts of the same things taken from different tables, for checking that these agree.
     *
     * @param openCalls open calls, established ones included
     * @param coreCalls open calls that the core knows: all but those adopted from before the start
     * @param unansweredCalls calls without a final answer, as counted by the core
     * @param attempts attempts without an outcome, at all servers
     * @param carriedAttempts the same as counted by the connections, and the attempts that wait for one
     * @param establishedAtServers established calls as counted by the servers
     * @param establishedAtCallers established calls as counted by the connections of their callers
     */
    record ConsistencyCounts(
            int openCalls,
            int coreCalls,
            int unansweredCalls,
            int attempts,
            int carriedAttempts,
            int establishedAtServers,
            int establishedAtCallers) {}

    ConsistencyCounts consistencyCounts() {
        return callOnLoop(() -> new ConsistencyCounts(
                callRegistry.size(),
                router.openCalls(),
                router.unansweredCalls(),
                serverEndpoints.outstandingAttempts(),
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

    /** Returns the counters since the start, which are consistent only while no call is being handled. */
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

    /** Stops at once without finishing any call: to peers this looks like a crash. */
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
