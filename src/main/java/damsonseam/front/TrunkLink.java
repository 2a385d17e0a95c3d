package damsonseam.front;

import damsonseam.Front.Reason;
import damsonseam.Front.Report;
import damsonseam.Front.Result;
import damsonseam.config.FrontSettings;
import damsonseam.core.Circuits;
import damsonseam.core.Pool;
import damsonseam.core.Router;
import damsonseam.loop.Loop;
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
 * The trunk group toward one calculator with its signalling connection. The connection is made again, with
 * growing pauses, for as long as the calculator is on the list; the group's circuits outlive it.
 */
final class TrunkLink {
    private static final Logger LOG = LoggerFactory.getLogger(TrunkLink.class);
    private static final double FIRST_PAUSE = 50;
    private static final double MOST_PAUSE = 2_000;
    /** Octets waiting to be sent beyond which the far end is taken not to read: no set-up goes there then. */
    private static final int MOST_UNSENT = 1 << 20;

    private final Loop loop;
    private final Router router;
    private final FrontSettings settings;
    private Pool.Server server;
    private final AspSession session;
    private final TrunkGroup group;
    private Channel channel;
    private boolean wanted = true;
    private double pause = FIRST_PAUSE;
    private long badMessages;
    private boolean unsent;
    private boolean closedHere;

    TrunkLink(Loop loop, Router router, FrontSettings settings, Pool.Server server) {
        this.loop = loop;
        this.router = router;
        this.settings = settings;
        this.server = server;
        FrontSettings.Trunks t = settings.trunks();
        int own = settings.front().pointCode();
        Output output = new Output();
        session = new AspSession(
                output,
                loop.timers(),
                own,
                server.pointCode(),
                t.probeTimeout().ms(),
                t.heartbeat().ms());
        group = new TrunkGroup(
                new Circuits(t.circuits(), own > server.pointCode()),
                loop.timers(),
                new TrunkGroup.TimerValues(t.t1().ms(), t.t5().ms(), t.t17().ms()),
                own,
                output);
        connect();
    }

    /** The list names this server, perhaps at a new address. */
    void update(Pool.Server now) {
        boolean moved = !now.address().equals(server.address());
        server = now;
        wanted = true;
        if (moved) {
            closeHere();
        }
    }

    /** The list names it no more: calls on it run on, but a lost connection is not made again. */
    void unwanted() {
        wanted = false;
        closeIfIdle();
    }

    private void closeIfIdle() {
        if (!wanted && group.busyCircuits() == 0) {
            closeHere();
        }
    }

    /** Closes from this side: what is cut is told later, when the far side can be taken to know of it too. */
    private void closeHere() {
        if (channel != null) {
            closedHere = true;
            channel.close();
        }
    }

    /** Whether this link is of no more use. */
    boolean over() {
        return !wanted && channel == null;
    }

    boolean usable() {
        return channel != null && session.isUsable() && channel.isWritable();
    }

    boolean setUp(long call, int attempt, String number, int category) {
        return group.setUp(call, attempt, number, category);
    }

    void release(double now, long call, int attempt, int cause) {
        group.release(now, call, attempt, cause);
    }

    void probe(double now) {
        session.sendProbe(now);
    }

    /** Sends what was written: one call to the system for all messages of a turn. */
    void flush() {
        if (unsent && channel != null) {
            channel.flush();
        }
        unsent = false;
    }

    void close() {
        wanted = false;
        closeHere();
    }

    private void connect() {
        ChannelFuture made = new Bootstrap()
                .group(loop.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        settings.trunks().connectTimeout().ms())
                .option(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new io.netty.channel.WriteBufferWaterMark(MOST_UNSENT / 2, MOST_UNSENT))
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel made) {
                        made.pipeline()
                                .addLast(
                                        new LengthFieldBasedFrameDecoder(
                                                M3uaMessage.MAX_FRAME_BYTES, 4, 4, -M3uaMessage.HEADER_BYTES, 0),
                                        new Handler());
                    }
                })
                .connect(damsonseam.config.Endpoint.parse(server.address()).toSocketAddress());
        made.addListener(f -> {
            if (!f.isSuccess()) {
                again();
            }
        });
    }

    private void again() {
        if (!wanted) {
            return;
        }
        // Fronts lose a server together: half to all of the pause keeps their connections apart.
        double wait = pause * (0.5 + 0.5 * Math.random());
        pause = Math.min(MOST_PAUSE, 2 * pause);
        loop.timers().set(loop.now() + wait, now -> {
            if (wanted && channel == null) {
                connect();
            }
        });
    }

    /** Octets of a DATA whose ISUP can't be read still name their circuit. */
    private void isup(double now, ProtocolData data) {
        try {
            if (data.opc() == server.pointCode()
                    && data.dpc() == settings.front().pointCode()) {
                group.onMessage(now, IsupMessage.decode(data.isup()));
            } else {
                badMessages++;
            }
        } catch (SignallingProtocolException e) {
            badMessages++;
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
                unsent = true;
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
        public void close(String why) {
            LOG.atWarn()
                    .addKeyValue("server", server.id())
                    .addKeyValue("why", why)
                    .addKeyValue("badMessages", badMessages)
                    .addKeyValue("confused", group.unexpectedMessages())
                    .log("signalling closed");
            closeHere();
        }

        @Override
        public void onActive() {
            pause = FIRST_PAUSE;
            group.onConnectionUp(loop.now());
            LOG.atInfo().addKeyValue("server", server.id()).log("signalling active");
        }

        @Override
        public void onDestinationState(boolean reachable, int congestionLevel) {
            LOG.atInfo()
                    .addKeyValue("server", server.id())
                    .addKeyValue("reachable", reachable)
                    .addKeyValue("congestion", congestionLevel)
                    .log("destination");
        }

        @Override
        public void onData(ProtocolData data) {
            isup(loop.now(), data);
        }

        @Override
        public void onProbeResult(boolean answered, double delay) {
            router.probed(loop.now(), server.id(), true, answered, delay, Report.NONE);
            loop.kick();
        }

        @Override
        public void onAnswered(double now, long call, int attempt, Report report) {
            router.stands(now, call, attempt, report);
        }

        @Override
        public void onOutcome(
                double now,
                long call,
                int attempt,
                Result result,
                Reason reason,
                OptionalDouble toldWait,
                Report report) {
            if (closedHere) {
                loop.timers().set(now + settings.trunks().releaseWait().ms(), at -> {
                    router.ended(at, call, attempt, result, reason, toldWait, report);
                    loop.kick();
                });
            } else {
                router.ended(now, call, attempt, result, reason, toldWait, report);
            }
        }

        @Override
        public void onReleaseComplete(double now, long call, int attempt) {
            router.released(now, call, attempt);
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
            router.catchUp(loop.now());
            byte[] octets = ByteBufUtil.getBytes(frame);
            try {
                session.onMessage(loop.now(), M3uaMessage.decode(octets));
            } catch (SignallingProtocolException e) {
                // The frame is told back and passed over; the connection is still in step (RFC 4666 4.8).
                badMessages++;
                ctx.writeAndFlush(Unpooled.wrappedBuffer(
                        M3uaMessage.error(e.code(), octets).encode()));
            }
            closeIfIdle();
            loop.kick();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            channel = null;
            double now = loop.now();
            session.onClosed(now);
            group.onConnectionLost(now);
            closedHere = false;
            loop.kick();
            again();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A length that can't be: where the next frame starts is not known any more.
            LOG.atWarn()
                    .addKeyValue("server", server.id())
                    .addKeyValue("error", cause.toString())
                    .log("signalling connection");
            closeHere();
        }
    }
}
