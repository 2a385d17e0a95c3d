package damsonseam.front;

import damsonseam.core.CallRecord;
import damsonseam.core.Router;
import damsonseam.dns.EnumService;
import damsonseam.loop.Loop;
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
 * DNS over TCP (RFC 7766) on the front's loop. Connections are bounded: where there is no room for one more, the one
 * that has been idle longest makes way, so that a caller with a question is never kept out by those without; with
 * none idle the new one is closed. Who does not read its answers is not read from, and closed after a while.
 */
final class StreamListener {
    private static final Logger LOG = LoggerFactory.getLogger(StreamListener.class);
    private static final int OCTETS = 65_535;
    private static final int LENGTH_OCTETS = 2;
    /** Idle connections are closed after this (RFC 7766 6.2.3 asks for seconds). */
    private static final int IDLE_S = 30;
    /** Questions open on one connection at most; beyond that it is not read until some are answered. */
    private static final int MOST_OPEN = 1_000;
    /** A reader that takes nothing for so long is closed. */
    private static final int SLOW_MS = 5_000;

    private final Loop loop;
    private final EnumService service;
    private final Router router;
    private final EnumService.AdmissionControl gate;
    private final int most;
    private final Set<Channel> all = new LinkedHashSet<>();
    /** Connections without an open question, the longest idle first. */
    private final Set<Channel> idle = new LinkedHashSet<>();

    private Channel server;

    StreamListener(Loop loop, EnumService service, Router router, EnumService.AdmissionControl gate, int most) {
        this.loop = loop;
        this.service = service;
        this.router = router;
        this.gate = gate;
        this.most = most;
    }

    void bind(InetSocketAddress at) throws IOException, InterruptedException {
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
                                        new IdleStateHandler(0, 0, IDLE_S),
                                        new LengthFieldBasedFrameDecoder(OCTETS, 0, LENGTH_OCTETS, 0, LENGTH_OCTETS),
                                        new LengthFieldPrepender(LENGTH_OCTETS),
                                        new Handler());
                    }
                })
                .bind(at)
                .await();
        if (!bound.isSuccess()) {
            throw new BindException(
                    "DNS over TCP on " + at + ": " + bound.cause().getMessage());
        }
        server = bound.channel();
    }

    boolean bound() {
        return server != null;
    }

    void close() {
        server.close();
    }

    /** Room for one more: true if there is, or if an idle one made it. */
    private boolean room() {
        if (all.size() < most) {
            return true;
        }
        Iterator<Channel> longest = idle.iterator();
        if (!longest.hasNext()) {
            return false;
        }
        Channel goes = longest.next();
        longest.remove();
        all.remove(goes);
        goes.close();
        return true;
    }

    private final class Handler extends SimpleChannelInboundHandler<ByteBuf> {
        private final Map<Long, CallRecord> open = new HashMap<>();

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (room()) {
                all.add(ctx.channel());
                idle.add(ctx.channel());
            } else {
                ctx.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            idle.remove(ctx.channel());
            CallRecord[] opened = new CallRecord[1];
            boolean[] answered = new boolean[1];
            opened[0] = service.handleQuery(
                    loop.now(),
                    ctx.channel(),
                    true,
                    router.turnAge(loop.now()),
                    ByteBufUtil.getBytes(frame),
                    gate,
                    answer -> {
                        answered[0] = true;
                        ctx.writeAndFlush(Unpooled.wrappedBuffer(answer));
                        if (opened[0] != null) {
                            open.remove(opened[0].id());
                            rest(ctx);
                        }
                    });
            if (opened[0] != null && !answered[0]) {
                open.put(opened[0].id(), opened[0]);
            }
            rest(ctx);
            loop.kick();
        }

        /** Reads on where that does no harm; a connection without open questions may have to make way. */
        private void rest(ChannelHandlerContext ctx) {
            ctx.channel()
                    .config()
                    .setAutoRead(open.size() < MOST_OPEN && ctx.channel().isWritable());
            if (open.isEmpty() && all.contains(ctx.channel())) {
                idle.add(ctx.channel());
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            rest(ctx);
            if (!ctx.channel().isWritable()) {
                long had = ctx.channel().bytesBeforeWritable();
                ctx.executor()
                        .schedule(
                                () -> {
                                    if (ctx.channel().isActive()
                                            && !ctx.channel().isWritable()
                                            && ctx.channel().bytesBeforeWritable() >= had) {
                                        ctx.close();
                                    }
                                },
                                SLOW_MS,
                                TimeUnit.MILLISECONDS);
            }
            ctx.fireChannelWritabilityChanged();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            all.remove(ctx.channel());
            idle.remove(ctx.channel());
            // Nobody is there to hear the answers: the calls are their callers' no more.
            open.values().forEach(call -> router.left(loop.now(), call));
            open.clear();
            loop.kick();
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof IdleStateEvent && open.isEmpty()) {
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
