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
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Where callers connect. Connections are bounded; at the limit those of no use give way. */
final class CallerListener {
    private static final Logger LOG = LoggerFactory.getLogger(CallerListener.class);
    /** Octets waiting to be sent beyond which a caller is taken not to read, and is closed. */
    static final int MAX_UNSENT_BYTES = 256 << 10;

    private static final int ACCEPT_BACKLOG = 512;
    /** Connections accepted in one turn of the loop: callers with calls are not kept waiting by newcomers. */
    private static final int ACCEPTS_PER_ITERATION = 4;
    /** How long nobody is accepted where the system had no descriptor for the last. */
    private static final double ACCEPT_RETRY_DELAY_MS = 50;

    private static final double SWEEP_INTERVAL_MS = 50;

    private final CoreLoop loop;
    private final InviteParser inviteParser;
    private final CallRegistry callRegistry;
    private final ServerEndpoints serverEndpoints;
    /** Descriptors for callers and for servers together. */
    private final int maxDescriptors;

    private final BooleanSupplier ready;
    /** In the order in which they were last heard of. */
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
            BooleanSupplier ready) {
        this.loop = loop;
        this.inviteParser = inviteParser;
        this.callRegistry = callRegistry;
        this.serverEndpoints = serverEndpoints;
        this.maxDescriptors = maxDescriptors;
        this.ready = ready;
    }

    void start(Router router) {
        this.router = router;
        loop.timers().schedule(loop.now() + SWEEP_INTERVAL_MS, this::sweep);
    }

    /** Opens the port. */
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
                .childOption(ChannelOption.ALLOCATOR, NodeServer.ALLOCATOR)
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

    /** The most connections that there were at a time. */
    int peakConnections() {
        return peakConnections;
    }

    ChannelPipeline pipeline() {
        return channel.pipeline();
    }

    /** Whether no connection waits for room to be accepted: what came on one has been read. */
    boolean isAccepting() {
        return channel.config().isAutoRead();
    }

    /** A connection was accepted. */
    void onConnected(CallerConnection connection) {
        connections.add(connection);
        lastActivityMs = loop.now();
        peakConnections = Math.max(peakConnections, connections.size());
        enforceConnectionLimit(lastActivityMs);
    }

    /** What is left beside a connection to each server that the list names, however many these are. */
    private int maxConnections() {
        return Math.max(1, maxDescriptors - serverEndpoints.reservedDescriptors());
    }

    /** Netty's own answer to an accept that fails is a second without any; here one connection may give way. */
    private final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            double now = loop.now();
            LOG.atWarn()
                    .addKeyValue("why", cause.toString())
                    .addKeyValue("connections", connections.size())
                    .log("a caller could not be accepted");
            acceptFromMs = now + ACCEPT_RETRY_DELAY_MS;
            evictOne(now);
            enforceConnectionLimit(now);
        }
    }

    /** Closes the connection of the least use; false if each may be needed. */
    private boolean evictOne(double now) {
        CallerConnection evicted = connections.stream()
                .filter(connection -> connection.isEvictable(now) && !connection.hasSentInvite())
                .findFirst()
                .orElseGet(() -> connections.stream()
                        .filter(connection -> connection.isEvictable(now))
                        .findFirst()
                        .orElse(null));
        if (evicted == null) {
            return false;
        }
        evictedConnections++;
        connections.remove(evicted);
        evicted.close("gives way");
        return true;
    }

    /**
     * Where the limit is reached, connections that have been silent for long enough give way, then those without calls,
     * the longest ago first. One that has just come is never closed for another, as its first set-up may be on its way:
     * while none can give way, the next wait with the system.
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
                    .log(accept ? "callers are accepted again" : "callers wait to be accepted");
        }
    }

    void onClosed(CallerConnection connection) {
        connections.remove(connection);
    }

    /**
     * Another connection that a release may take, or null. No connection owns a call, and callers need not come from
     * one host: one on which a call stands is a caller's for sure, as nobody else is ever given one; of these, one of
     * the same host before others. Else one of the same host that has sent a set-up. Of equals the one heard of last.
     *
     * @param excluded the connection on which the release was said before, or null
     */
    CallerConnection findAlternative(CallerConnection original, CallerConnection excluded) {
        CallerConnection found = null;
        int bestScore = 1;
        for (CallerConnection connection : connections) {
            boolean eligible = connection != excluded && connection.isUsable() && connection.hasSentInvite();
            int score = !eligible
                    ? 0
                    : (connection.hasEstablishedCalls() ? 2 : 0) + (connection.hasSameHost(original) ? 1 : 0);
            if (score >= bestScore) {
                found = connection;
                bestScore = score;
            }
        }
        return found;
    }

    void onMessage(CallerConnection connection) {
        lastActivityMs = loop.now();
        if (connections.remove(connection)) {
            connections.add(connection);
        }
    }

    private void sweep(double now) {
        List<CallerConnection> expired = new ArrayList<>();
        connections.forEach(connection -> {
            if (connection.isExpired(now)) {
                expired.add(connection);
            }
        });
        expired.forEach(connection -> connection.close("silent or idle"));
        enforceConnectionLimit(now);
        loop.timers().schedule(now + SWEEP_INTERVAL_MS, this::sweep);
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

    /** When a caller last said something or connected. */
    double lastActivityMs() {
        return lastActivityMs;
    }

    /** Closes the port, and each connection once its caller has read all that was said there. */
    void finish() {
        channel.close();
        List.copyOf(connections).forEach(CallerConnection::finish);
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
        List.copyOf(connections).forEach(connection -> connection.close("node ends"));
    }
}
