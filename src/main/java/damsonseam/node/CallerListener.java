package damsonseam.node;

import damsonseam.core.Router;
import damsonseam.loop.CoreLoop;
import damsonseam.sip.SipDecoder;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts connections from callers and keeps them. The number of connections is bounded by the file descriptors that
 * are left beside those reserved for servers; at the limit, connections that serve no call are evicted. Used on the
 * event loop only, except {@link #bind}, {@link #address} and {@link #peakConnections}.
 */
final class CallerListener {
    private static final Logger LOG = LoggerFactory.getLogger(CallerListener.class);
    /** Bytes waiting to be sent beyond which a caller is considered not to read, and is closed. */
    static final int MAX_UNSENT_BYTES = 256 << 10;

    private static final int ACCEPT_BACKLOG = 512;
    /** Connections accepted per event-loop iteration: new connections must not delay callers that have calls. */
    private static final int ACCEPTS_PER_ITERATION = 4;
    /** Pause in accepting after an accept failed, which means that the process had no file descriptor left. */
    private static final double ACCEPT_RETRY_DELAY_MS = 50;

    private static final double SWEEP_INTERVAL_MS = 50;

    private final CoreLoop loop;
    private final InviteParser inviteParser;
    private final CallRegistry callRegistry;
    private final ServerEndpoints serverEndpoints;
    private final CallerBuffers buffers;
    private final UnansweredCallMemory unansweredCallMemory;
    /** File descriptors for callers and servers together. */
    private final int maxDescriptors;

    private final BooleanSupplier ready;
    /** Open connections, the one with the latest message last. */
    private final Set<CallerConnection> connections = new LinkedHashSet<>();

    private Router router;
    private Channel channel;
    private long evictedConnections;
    private volatile int peakConnections;
    private double lastActivityMs;
    private double acceptFromMs = Double.NEGATIVE_INFINITY;

    CallerListener(
            CoreLoop loop,
            InviteParser inviteParser,
            CallRegistry callRegistry,
            ServerEndpoints serverEndpoints,
            int maxDescriptors,
            MemoryLimits memoryLimits,
            BooleanSupplier ready) {
        this.loop = loop;
        this.inviteParser = inviteParser;
        this.callRegistry = callRegistry;
        this.serverEndpoints = serverEndpoints;
        this.maxDescriptors = maxDescriptors;
        buffers = new CallerBuffers(memoryLimits.callerBufferBytes());
        unansweredCallMemory = new UnansweredCallMemory(memoryLimits.unansweredCallBytes());
        this.ready = ready;
    }

    void start(Router router) {
        this.router = router;
        loop.timers().schedule(loop.now() + SWEEP_INTERVAL_MS, this::sweep);
    }

    /** Opens the port and waits until it is open. */
    void bind(InetSocketAddress address) throws IOException {
        ChannelFuture bindFuture = new ServerBootstrap()
                .group(loop.eventLoop())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(ACCEPTS_PER_ITERATION))
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.ALLOCATOR, NodeBuffers.ALLOCATOR)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, NodeBuffers.receiveBuffers())
                .childOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(MAX_UNSENT_BYTES / 2, MAX_UNSENT_BYTES))
                .handler(new AcceptFailureHandler())
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        SipDecoder decoder = new SipDecoder();
                        channel.pipeline()
                                .addLast(decoder, new CallerConnection(CallerListener.this, channel, decoder));
                    }
                })
                .bind(address)
                .awaitUninterruptibly();
        if (!bindFuture.isSuccess()) {
            throw new IOException(
                    "cannot listen on " + address + ": " + bindFuture.cause().getMessage(), bindFuture.cause());
        }
        channel = bindFuture.channel();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /** Returns the largest number of connections that were open at a time. */
    int peakConnections() {
        return peakConnections;
    }

    ChannelPipeline pipeline() {
        return channel.pipeline();
    }

    /** Returns whether new connections are accepted, so that none waits unread in the backlog. */
    boolean isAccepting() {
        return channel.config().isAutoRead();
    }

    /** Registers a connection that was accepted. */
    void onConnected(CallerConnection connection) {
        connections.add(connection);
        lastActivityMs = loop.now();
        peakConnections = Math.max(peakConnections, connections.size());
        enforceConnectionLimit(lastActivityMs);
    }

    /** Returns the limit of caller connections: what the server connections leave of the file descriptors. */
    private int maxConnections() {
        return Math.max(1, maxDescriptors - serverEndpoints.reservedDescriptors());
    }

    /** Evicts a connection when an accept fails. Netty itself would stop accepting for a second. */
    private final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            double now = loop.now();
            LOG.atWarn()
                    .addKeyValue("why", cause.toString())
                    .addKeyValue("connections", connections.size())
                    .log("caller connection could not be accepted");
            acceptFromMs = now + ACCEPT_RETRY_DELAY_MS;
            evictOne(now);
            enforceConnectionLimit(now);
        }
    }

    /**
     * Closes the connection with the weakest evidence and returns true, or returns false if none may be evicted. A
     * connection with an established call does not give way while a peer without evidence needs a moment longer: the
     * release of the call would have no sure way to its caller.
     */
    private boolean evictOne(double now) {
        CallerConnection evicted = null;
        boolean hasUnprovenPeer = false;
        for (CallerConnection connection : connections) {
            if (connection.hasPendingCalls()) {
                continue;
            }
            hasUnprovenPeer |= !connection.evidence().isProven();
            boolean weakest = evicted == null || connection.evidence().isEvictedBefore(evicted.evidence());
            if (weakest && connection.isEvictable(now)) {
                evicted = connection;
            }
        }
        if (evicted == null || evicted.evidence() == CallerEvidence.ESTABLISHED_CALL && hasUnprovenPeer) {
            return false;
        }
        evictedConnections++;
        connections.remove(evicted);
        evicted.close("evicted at the connection limit");
        return true;
    }

    /**
     * Evicts connections while the limit is reached, those with the weakest {@link CallerEvidence} first and among
     * these the longest silent. A new connection is never evicted, as its first set-up may be on its way: while none
     * can be evicted, accepting stops and further connections wait in the operating system's backlog.
     */
    private void enforceConnectionLimit(double now) {
        while (connections.size() >= maxConnections()) {
            if (!evictOne(now)) {
                break;
            }
        }
        boolean accept = connections.size() < maxConnections() && now >= acceptFromMs;
        if (channel != null && channel.isActive() && channel.config().isAutoRead() != accept) {
            channel.config().setAutoRead(accept);
            LOG.atInfo()
                    .addKeyValue("connections", connections.size())
                    .addKeyValue("peak", peakConnections)
                    .addKeyValue("gaveWay", evictedConnections)
                    .log(accept ? "accepting caller connections again" : "not accepting caller connections");
        }
    }

    void onClosed(CallerConnection connection) {
        connections.remove(connection);
        buffers.remove(connection);
    }

    /** Accounts for the buffers of a connection that was read or written, and closes connections beyond the limit. */
    void onBuffersChanged(CallerConnection connection) {
        if (connections.contains(connection) && buffers.update(connection)) {
            enforceBufferLimit();
        }
    }

    private void enforceBufferLimit() {
        CallerConnection excess = buffers.excessConnection(connections);
        while (excess != null) {
            connections.remove(excess);
            buffers.remove(excess);
            excess.close("holds the most buffer memory");
            excess = buffers.excessConnection(connections);
        }
    }

    UnansweredCallMemory unansweredCallMemory() {
        return unansweredCallMemory;
    }

    CallerBuffers buffers() {
        return buffers;
    }

    /**
     * Returns another connection on which a release may be sent, or null. Calls are not bound to a connection, and
     * callers need not be on one host. A connection with a call that a server has answered certainly belongs to a
     * caller and is preferred, one on the same host before others. Otherwise a connection on the same host is chosen,
     * that of a proven caller before one that has only sent a set-up. Among equals the one with the latest message
     * wins.
     *
     * @param original the connection that the call belongs to, or null
     * @param excluded the connection on which the release was sent before, or null
     */
    CallerConnection findAlternative(CallerConnection original, CallerConnection excluded) {
        CallerConnection alternative = null;
        int bestRank = 1;
        for (CallerConnection connection : connections) {
            int rank = connection != excluded && connection.isUsable() ? alternativeRank(connection, original) : 0;
            if (rank >= bestRank) {
                alternative = connection;
                bestRank = rank;
            }
        }
        return alternative;
    }

    /** Ranks a connection for releases of another one's calls; 0 if it may not get them. */
    private static int alternativeRank(CallerConnection connection, CallerConnection original) {
        boolean sameHost = connection.hasSameHost(original);
        return switch (connection.evidence()) {
            case ESTABLISHED_CALL -> sameHost ? 4 : 3;
            case PROVEN -> sameHost ? 2 : 0;
            case CLAIMED -> sameHost ? 1 : 0;
            case NONE -> 0;
        };
    }

    void onMessage(CallerConnection connection) {
        lastActivityMs = loop.now();
        if (connections.remove(connection)) {
            connections.add(connection);
        }
    }

    private void sweep(double now) {
        loop.timers().schedule(now + SWEEP_INTERVAL_MS, this::sweep);
        Set<InetAddress> provenHosts = new HashSet<>();
        connections.forEach(connection -> {
            if (connection.isProvenCaller()) {
                provenHosts.add(connection.remoteHost());
            }
        });
        List<CallerConnection> expired = new ArrayList<>();
        connections.forEach(connection -> {
            if (connection.isExpired(now, provenHosts.contains(connection.remoteHost()))) {
                expired.add(connection);
            }
        });
        expired.forEach(connection -> connection.close("silent or idle"));
        enforceConnectionLimit(now);
    }

    boolean isReady() {
        return ready.getAsBoolean();
    }

    CoreLoop loop() {
        return loop;
    }

    InviteParser inviteParser() {
        return inviteParser;
    }

    CallRegistry callRegistry() {
        return callRegistry;
    }

    ServerEndpoints serverEndpoints() {
        return serverEndpoints;
    }

    Router router() {
        return router;
    }

    int connectionCount() {
        return connections.size();
    }

    /** Returns when a caller last connected or sent a message, in milliseconds of the loop's clock. */
    double lastActivityMs() {
        return lastActivityMs;
    }

    /** Passes all set-ups that have been read to the core. */
    void routeAllReceivedSetUps() {
        connections.forEach(CallerConnection::routeAllReceivedSetUps);
    }

    /** Closes the port, and lets each connection close once its caller has read all that was written to it. */
    void finish() {
        channel.close();
        List.copyOf(connections).forEach(CallerConnection::finish);
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
        List.copyOf(connections).forEach(connection -> connection.close("node stops"));
    }
}
