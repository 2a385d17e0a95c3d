package damsonseam.front;

import damsonseam.core.CallRecord;
import damsonseam.core.Router;
import damsonseam.dns.EnumService;
import damsonseam.loop.CoreLoop;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves DNS over TCP (RFC 7766) on the front's event loop. The number of connections is bounded. At the bound a new
 * connection evicts the one that has been idle longest, so that idle connections cannot lock out a caller with a
 * query; if none is idle the new connection is closed. A connection whose peer does not read its answers is no
 * longer read from, and closed after {@link #SLOW_READER_TIMEOUT_MS}.
 */
final class StreamListener {
    private static final Logger LOG = LoggerFactory.getLogger(StreamListener.class);
    private static final int MAX_MESSAGE_BYTES = 65_535;
    private static final int LENGTH_FIELD_BYTES = 2;
    /** Idle connections are closed after this time (RFC 7766 6.2.3 recommends some seconds). */
    private static final int IDLE_TIMEOUT_S = 30;
    /** Limit of open queries per connection; at the limit it is not read until some are answered. */
    private static final int MAX_OPEN_QUERIES = 1_000;
    /** A connection whose peer has read nothing for this time is closed. */
    private static final int SLOW_READER_TIMEOUT_MS = 5_000;

    private final CoreLoop loop;
    private final EnumService enumService;
    private final Router router;
    private final EnumService.AdmissionControl admissionControl;
    private final int maxConnections;
    private final Set<Channel> connections = new LinkedHashSet<>();
    /** Connections without an open query, longest idle first. */
    private final Set<Channel> idleConnections = new LinkedHashSet<>();

    private Channel serverChannel;

    StreamListener(
            CoreLoop loop,
            EnumService enumService,
            Router router,
            EnumService.AdmissionControl admissionControl,
            int maxConnections) {
        this.loop = loop;
        this.enumService = enumService;
        this.router = router;
        this.admissionControl = admissionControl;
        this.maxConnections = maxConnections;
    }

    void bind(InetSocketAddress address) throws IOException, InterruptedException {
        EventLoop eventLoop = loop.eventLoop();
        var bound = new ServerBootstrap()
                .group(eventLoop, eventLoop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(
                                        new IdleStateHandler(0, 0, IDLE_TIMEOUT_S),
                                        new LengthFieldBasedFrameDecoder(
                                                MAX_MESSAGE_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES),
                                        new LengthFieldPrepender(LENGTH_FIELD_BYTES),
                                        new Handler());
                    }
                })
                .bind(address)
                .await();
        if (!bound.isSuccess()) {
            throw new BindException("cannot listen for DNS over TCP on " + address + ": "
                    + bound.cause().getMessage());
        }
        serverChannel = bound.channel();
    }

    boolean isBound() {
        return serverChannel != null;
    }

    void close() {
        serverChannel.close();
    }

    /** Evicts the longest idle connection if the bound is reached; returns whether a new connection may be added. */
    private boolean ensureCapacity() {
        if (connections.size() < maxConnections) {
            return true;
        }
        Iterator<Channel> oldestFirst = idleConnections.iterator();
        if (!oldestFirst.hasNext()) {
            return false;
        }
        Channel evicted = oldestFirst.next();
        oldestFirst.remove();
        connections.remove(evicted);
        evicted.close();
        return true;
    }

    private final class Handler extends SimpleChannelInboundHandler<ByteBuf> {
        private final Map<Long, CallRecord> openCalls = new HashMap<>();

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (ensureCapacity()) {
                connections.add(ctx.channel());
                idleConnections.add(ctx.channel());
            } else {
                ctx.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            idleConnections.remove(ctx.channel());
            CallRecord[] opened = new CallRecord[1];
            boolean[] answered = new boolean[1];
            opened[0] = enumService.handleQuery(
                    loop.now(),
                    ctx.channel(),
                    true,
                    router.maxReadAge(loop.now()),
                    ByteBufUtil.getBytes(frame),
                    admissionControl,
                    answer -> {
                        answered[0] = true;
                        ctx.writeAndFlush(Unpooled.wrappedBuffer(answer));
                        if (opened[0] != null) {
                            openCalls.remove(opened[0].id());
                            updateReadState(ctx);
                        }
                    });
            if (opened[0] != null && !answered[0]) {
                openCalls.put(opened[0].id(), opened[0]);
            }
            updateReadState(ctx);
            loop.scheduleBatchEnd();
        }

        /** Pauses or resumes reading; a connection without open queries becomes a candidate for eviction. */
        private void updateReadState(ChannelHandlerContext ctx) {
            ctx.channel()
                    .config()
                    .setAutoRead(
                            openCalls.size() < MAX_OPEN_QUERIES && ctx.channel().isWritable());
            if (openCalls.isEmpty() && connections.contains(ctx.channel())) {
                idleConnections.add(ctx.channel());
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            updateReadState(ctx);
            if (!ctx.channel().isWritable()) {
                long unsentBytes = ctx.channel().bytesBeforeWritable();
                ctx.executor()
                        .schedule(
                                () -> {
                                    if (ctx.channel().isActive()
                                            && !ctx.channel().isWritable()
                                            && ctx.channel().bytesBeforeWritable() >= unsentBytes) {
                                        ctx.close();
                                    }
                                },
                                SLOW_READER_TIMEOUT_MS,
                                TimeUnit.MILLISECONDS);
            }
            ctx.fireChannelWritabilityChanged();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(ctx.channel());
            idleConnections.remove(ctx.channel());
            // The answers cannot be delivered any more: the open calls count as abandoned.
            openCalls.values().forEach(call -> router.callerAbandoned(loop.now(), call));
            openCalls.clear();
            loop.scheduleBatchEnd();
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof IdleStateEvent && openCalls.isEmpty()) {
                ctx.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.atInfo().addKeyValue("error", cause.toString()).log("DNS over TCP");
            ctx.close();
        }
    }
}
