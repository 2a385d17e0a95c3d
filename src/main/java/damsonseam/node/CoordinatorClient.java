package damsonseam.node;

import damsonseam.Front.State;
import damsonseam.config.Endpoint;
import damsonseam.core.Pool;
import damsonseam.core.Ports;
import damsonseam.core.Router;
import damsonseam.loop.Loop;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the coordinator: numbered changes of the list of servers in binary frames. A connection that breaks, brings
 * no frame for longer than the platform ever lets pass, or shows a gap in the numbers is made again from the last
 * number had. There is one watch at a time, and each one that ends is followed by one backoff, whoever asks: a fleet
 * that loses its coordinator must not storm it when it returns.
 */
final class CoordinatorClient implements Ports.Directory {
    private static final Logger LOG = LoggerFactory.getLogger(CoordinatorClient.class);
    /** A frame comes each second; two missing ones would be late for what a silent coordinator owes. */
    private static final double SILENCE_MS = 1_500;

    private static final double FIRST_BACKOFF_MS = 50;
    private static final double MOST_BACKOFF_MS = 500;
    private static final int CONNECT_MS = 500;
    private static final int HEADER = 9;
    private static final int RECORD = 27;
    private static final int MOST_FRAME = HEADER + RECORD * Pool.MOST_SERVERS;

    private final Loop loop;
    private final ServerLinks servers;
    private final SplittableRandom random;
    private Router router;
    private Endpoint address;
    private Channel channel;
    private double heardAt;
    private double backoff = FIRST_BACKOFF_MS;
    /** Counts watches and backoffs: what belongs to an earlier one is passed over. */
    private long generation;
    /** The highest number that a frame of nothing new made this node ask for: asked for once. */
    private long missed;

    private boolean closed;

    /** @param seed spreads the backoffs of a fleet */
    CoordinatorClient(Loop loop, ServerLinks servers, Endpoint address, long seed) {
        this.loop = loop;
        this.servers = servers;
        this.address = address;
        random = new SplittableRandom(seed);
    }

    /** Applies what the configuration knows already, and connects. */
    void start(Router router, List<ServerListUpdate> known) {
        this.router = router;
        known.forEach(this::apply);
        watch();
    }

    /** The module asks for the list before the start, which connects by itself, or when it was told of a failure. */
    @Override
    public void follow() {
        fetch();
    }

    /** Asks from the last number had, after the backoff; while an ask is out that is the one. */
    @Override
    public void fetch() {
        if (channel != null) {
            broke(generation, "asked for");
        }
    }

    /** The coordinator is at another address from now on; numbers go on. */
    void move(Endpoint to, List<ServerListUpdate> known) {
        known.forEach(this::apply);
        if (!to.equals(address)) {
            LOG.atInfo()
                    .addKeyValue("from", address.toString())
                    .addKeyValue("to", to.toString())
                    .log("coordinator moved");
            address = to;
            backoff = FIRST_BACKOFF_MS;
            watch();
        }
    }

    private void watch() {
        if (closed) {
            return;
        }
        long of = leave();
        heardAt = loop.now();
        ChannelFuture made = new Bootstrap()
                .group(loop.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOCATOR, NodeServer.BUFFERS)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel made) {
                        made.pipeline()
                                .addLast(new LengthFieldBasedFrameDecoder(MOST_FRAME, 0, 4, 0, 4), new Frames(of));
                    }
                })
                .connect(address.toSocketAddress());
        made.addListener(f -> {
            if (!f.isSuccess()) {
                broke(of, f.cause().toString());
            }
        });
        lookAt(of);
    }

    /** Ends the watch or backoff that there is, and begins the count of the next. */
    private long leave() {
        if (channel != null) {
            channel.close();
            channel = null;
        }
        return ++generation;
    }

    private void lookAt(long of) {
        loop.timers().set(loop.now() + SILENCE_MS / 4, now -> {
            if (of != generation) {
                return;
            }
            if (now - heardAt > SILENCE_MS) {
                broke(of, "silent");
            } else {
                lookAt(of);
            }
        });
    }

    private void broke(long of, String why) {
        if (of != generation || closed) {
            return;
        }
        LOG.atInfo()
                .addKeyValue("why", why)
                .addKeyValue("last", router.pool().version())
                .log("coordinator lost");
        long next = leave();
        double wait = backoff * (0.5 + 0.5 * random.nextDouble());
        backoff = Math.min(MOST_BACKOFF_MS, 2 * backoff);
        loop.timers().set(loop.now() + wait, now -> {
            if (next == generation) {
                watch();
            }
        });
    }

    /** One frame; null says that nothing is new, as of {@code number}. */
    private void received(long of, long number, ServerListUpdate event) {
        heardAt = loop.now();
        if (event != null ? apply(event) : number <= router.pool().version() || number <= missed) {
            backoff = FIRST_BACKOFF_MS;
            return;
        }
        // An event before this number never came, and none will on this connection.
        missed = Math.max(missed, number);
        broke(of, "a gap before " + number);
    }

    /** Events that were had already are passed over; a gap asks again from the last number had. */
    private boolean apply(ServerListUpdate event) {
        if (event.number() <= router.pool().version()) {
            return true;
        }
        double now = loop.now();
        boolean gap =
                router.directory(now, event.number(), event.full(), event.servers(now, System.currentTimeMillis()));
        servers.follow(router.pool());
        LOG.atInfo()
                .addKeyValue("number", event.number())
                .addKeyValue("full", event.full())
                .addKeyValue("entries", event.entries().toString())
                .log("list");
        return !gap;
    }

    /** Reads one frame behind its length and number; null where it holds nothing new. */
    static ServerListUpdate read(long number, ByteBuf frame) {
        int kind = frame.readUnsignedByte();
        if (kind == 0) {
            return null;
        }
        if (kind > 2 || frame.readableBytes() % RECORD != 0) {
            throw new IllegalArgumentException(
                    "a frame of kind " + kind + " with " + frame.readableBytes() + " octets of records");
        }
        List<ServerListUpdate.Entry> entries = new ArrayList<>();
        while (frame.isReadable()) {
            String id = String.format("s-%08x", frame.readInt());
            String host = frame.readUnsignedByte() + "." + frame.readUnsignedByte() + "." + frame.readUnsignedByte()
                    + "." + frame.readUnsignedByte();
            int port = frame.readUnsignedShort();
            int state = frame.readUnsignedByte();
            if (state > 2) {
                throw new IllegalArgumentException("a server in state " + state);
            }
            frame.skipBytes(2); // Zone and kind: the module has no use for them.
            int cell = frame.readUnsignedShort();
            frame.skipBytes(4); // Weight.
            entries.add(new ServerListUpdate.Entry(
                    id,
                    host + ":" + port,
                    cell,
                    new State[] {State.RUNNING, State.DRAINING, State.GONE}[state],
                    frame.readLong()));
        }
        return new ServerListUpdate(number, kind == 1, entries);
    }

    void close() {
        closed = true;
        generation++;
        if (channel != null) {
            channel.close();
        }
    }

    private final class Frames extends SimpleChannelInboundHandler<ByteBuf> {
        private final long of;

        Frames(long of) {
            this.of = of;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (of != generation) {
                ctx.close();
                return;
            }
            channel = ctx.channel();
            ctx.writeAndFlush(ctx.alloc().buffer(8).writeLong(router.pool().version()));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            if (of != generation) {
                return;
            }
            if (frame.readableBytes() < HEADER) {
                throw new IllegalArgumentException("a frame of " + frame.readableBytes() + " octets");
            }
            long number = frame.readLong();
            received(of, number, read(number, frame));
            loop.kick();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            broke(of, "closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.atInfo().addKeyValue("why", cause.toString()).log("coordinator's connection");
            ctx.close();
        }
    }
}
