package damsonseam.front;

import damsonseam.RoutingPolicy.AttemptStatus;
import damsonseam.RoutingPolicy.RejectReason;
import damsonseam.RoutingPolicy.ServerLoadReport;
import damsonseam.config.FrontSettings;
import damsonseam.core.CircuitAllocator;
import damsonseam.core.Router;
import damsonseam.core.ServerList;
import damsonseam.loop.CoreLoop;
import damsonseam.ss7.AspSession;
import damsonseam.ss7.IsupMessage;
import damsonseam.ss7.M3uaMessage;
import damsonseam.ss7.ProtocolData;
import damsonseam.ss7.SignallingProtocolException;
import damsonseam.ss7.TrunkGroup;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.util.OptionalDouble;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The trunk group toward one calculator and its signalling connection (ISUP over M3UA). While the calculator is on the
 * server list a lost connection is re-established with exponential back-off; the state of the circuits outlives the
 * connection. Confined to the event loop.
 */
final class TrunkLink {
    private static final Logger LOG = LoggerFactory.getLogger(TrunkLink.class);
    private static final double INITIAL_BACKOFF_MS = 50;
    private static final double MAX_BACKOFF_MS = 2_000;
    /** Bytes waiting to be sent beyond which the server is considered not to read; no set-up is sent to it then. */
    private static final int MAX_UNSENT_BYTES = 1 << 20;

    private final CoreLoop loop;
    private final Router router;
    private final FrontSettings settings;
    private ServerList.Server server;
    private final AspSession session;
    private final TrunkGroup group;
    private Channel channel;
    private boolean listed = true;
    private double backoffMs = INITIAL_BACKOFF_MS;
    private long malformedMessages;
    private boolean flushPending;
    private boolean closedLocally;

    TrunkLink(CoreLoop loop, Router router, FrontSettings settings, ServerList.Server server) {
        this.loop = loop;
        this.router = router;
        this.settings = settings;
        this.server = server;
        FrontSettings.Trunks trunks = settings.trunks();
        int ownPointCode = settings.front().pointCode();
        Output output = new Output();
        session = new AspSession(
                output,
                loop.timers(),
                ownPointCode,
                server.pointCode(),
                trunks.probeTimeout().ms(),
                trunks.heartbeat().ms());
        group = new TrunkGroup(
                new CircuitAllocator(trunks.circuits(), ownPointCode > server.pointCode()),
                loop.timers(),
                new TrunkGroup.TimerValues(
                        trunks.t1().ms(), trunks.t5().ms(), trunks.t17().ms()),
                ownPointCode,
                output);
        connect();
    }

    /** Handles that the server list contains this server, possibly at a new address. */
    void onListed(ServerList.Server listedServer) {
        boolean addressChanged = !listedServer.address().equals(server.address());
        server = listedServer;
        listed = true;
        if (addressChanged) {
            closeLocally();
        }
    }

    /** Handles that the list no longer names this server: its calls continue, but a lost connection is not reopened. */
    void onDelisted() {
        listed = false;
        closeIfIdle();
    }

    private void closeIfIdle() {
        if (!listed && group.busyCircuits() == 0) {
            closeLocally();
        }
    }

    /**
     * Closes the connection from this side. The outcome of the attempts it cuts off is reported after
     * {@code trunks.releaseWait}, when the calculator can be assumed to have noticed the closure.
     */
    private void closeLocally() {
        if (channel != null) {
            closedLocally = true;
            channel.close();
        }
    }

    /** Returns whether the server has left the list and the connection is closed. */
    boolean isObsolete() {
        return !listed && channel == null;
    }

    boolean isUsable() {
        return channel != null && session.isUsable() && channel.isWritable();
    }

    boolean setUp(long callId, int attempt, String number, int category) {
        return group.setUp(callId, attempt, number, category);
    }

    void release(double now, long callId, int attempt, int cause) {
        group.release(now, callId, attempt, cause);
    }

    void probe(double now) {
        session.sendProbe(now);
    }

    /** Flushes written messages: one system call for all messages of an event-loop iteration. */
    void flush() {
        if (flushPending && channel != null) {
            channel.flush();
        }
        flushPending = false;
    }

    void close() {
        listed = false;
        closeLocally();
    }

    private void connect() {
        ChannelFuture connecting = new Bootstrap()
                .group(loop.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        settings.trunks().connectTimeout().ms())
                .option(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new io.netty.channel.WriteBufferWaterMark(MAX_UNSENT_BYTES / 2, MAX_UNSENT_BYTES))
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel newChannel) {
                        newChannel
                                .pipeline()
                                .addLast(
                                        new LengthFieldBasedFrameDecoder(
                                                M3uaMessage.MAX_FRAME_BYTES, 4, 4, -M3uaMessage.HEADER_BYTES, 0),
                                        new Handler());
                    }
                })
                .connect(damsonseam.config.Endpoint.parse(server.address()).toSocketAddress());
        connecting.addListener(connectResult -> {
            if (!connectResult.isSuccess()) {
                scheduleReconnect();
            }
        });
    }

    private void scheduleReconnect() {
        if (!listed) {
            return;
        }
        // All fronts lose a server at the same time: a delay of half to all of the backoff spreads them.
        double delayMs = backoffMs * (0.5 + 0.5 * Math.random());
        backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
        loop.timers().schedule(loop.now() + delayMs, now -> {
            if (listed && channel == null) {
                connect();
            }
        });
    }

    /** Handles an ISUP message. One that cannot be decoded still names its circuit, which is reported to the group. */
    private void handleIsup(double now, ProtocolData data) {
        try {
            if (data.opc() == server.pointCode()
                    && data.dpc() == settings.front().pointCode()) {
                group.onMessage(now, IsupMessage.decode(data.isup()));
            } else {
                malformedMessages++;
            }
        } catch (SignallingProtocolException e) {
            malformedMessages++;
            if (data.isup().length >= 2) {
                group.onMalformedMessage((data.isup()[0] & 0xff) | (data.isup()[1] & 0x0f) << 8, e.code());
            }
        }
    }

    private final class Output implements AspSession.Output, TrunkGroup.Output {
        @Override
        public void send(M3uaMessage message) {
            if (channel != null) {
                channel.write(Unpooled.wrappedBuffer(message.encode()));
                flushPending = true;
            }
        }

        @Override
        public void send(IsupMessage message) {
            send(new ProtocolData(
                            settings.front().pointCode(),
                            server.pointCode(),
                            message.circuit() & 0x0f,
                            message.encode())
                    .toMessage());
        }

        @Override
        public void close(String reason) {
            LOG.atWarn()
                    .addKeyValue("server", server.id())
                    .addKeyValue("why", reason)
                    .addKeyValue("badMessages", malformedMessages)
                    .addKeyValue("confused", group.unexpectedMessages())
                    .log("signalling connection closed");
            closeLocally();
        }

        @Override
        public void onActive() {
            backoffMs = INITIAL_BACKOFF_MS;
            group.onConnectionUp(loop.now());
            LOG.atInfo().addKeyValue("server", server.id()).log("signalling connection active");
        }

        @Override
        public void onDestinationState(boolean reachable, int congestionLevel) {
            LOG.atInfo()
                    .addKeyValue("server", server.id())
                    .addKeyValue("reachable", reachable)
                    .addKeyValue("congestion", congestionLevel)
                    .log("destination status");
        }

        @Override
        public void onData(ProtocolData data) {
            handleIsup(loop.now(), data);
        }

        @Override
        public void onProbeResult(boolean answered, double delay) {
            router.probeCompleted(loop.now(), server.id(), true, answered, delay, ServerLoadReport.NONE);
            loop.scheduleBatchEnd();
        }

        @Override
        public void onAnswered(double now, long callId, int attempt, ServerLoadReport report) {
            router.callEstablished(now, callId, attempt, report);
        }

        @Override
        public void onAttemptEnded(
                double now,
                long callId,
                int attempt,
                AttemptStatus status,
                RejectReason reason,
                OptionalDouble retryAfterMs,
                ServerLoadReport report) {
            if (closedLocally) {
                loop.timers().schedule(now + settings.trunks().releaseWait().ms(), at -> {
                    router.attemptEnded(at, callId, attempt, status, reason, retryAfterMs, report);
                    loop.scheduleBatchEnd();
                });
            } else {
                router.attemptEnded(now, callId, attempt, status, reason, retryAfterMs, report);
            }
        }

        @Override
        public void onReleaseComplete(double now, long callId, int attempt) {
            router.releaseConfirmed(now, callId, attempt);
        }
    }

    private final class Handler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            session.onConnected(loop.now());
            flush();
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            flush();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            router.fireOverdueTimers(loop.now());
            byte[] message = ByteBufUtil.getBytes(frame);
            try {
                session.onMessage(loop.now(), M3uaMessage.decode(message));
            } catch (SignallingProtocolException e) {
                // Answered with an ERR message and skipped; the framing is still in step (RFC 4666 4.8).
                malformedMessages++;
                ctx.writeAndFlush(Unpooled.wrappedBuffer(
                        M3uaMessage.error(e.code(), message).encode()));
            }
            closeIfIdle();
            loop.scheduleBatchEnd();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            channel = null;
            double now = loop.now();
            session.onClosed(now);
            group.onConnectionLost(now);
            closedLocally = false;
            loop.scheduleBatchEnd();
            scheduleReconnect();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // Invalid frame length: the start of the next frame is unknown.
            LOG.atWarn()
                    .addKeyValue("server", server.id())
                    .addKeyValue("error", cause.toString())
                    .log("server connection failed");
            closeLocally();
        }
    }
}
