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
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the coordinator: numbered changes of the list of servers in binary frames. A connection that breaks, or
 * brings no frame for longer than the platform ever lets pass, is made again from the last number had.
 */
final class CoordinatorClient implements Ports.Directory {
    private static final Logger LOG = LoggerFactory.getLogger(CoordinatorClient.class);
    /** A frame comes each second; two missing ones would be late for what a silent coordinator owes. */
    private static final double SILENCE_MS = 1_500;
    private static final double FIRST_PAUSE = 50;
    private static final double MOST_PAUSE = 500;
    private static final int CONNECT_MS = 500;
    private static final int HEADER = 9;
    private static final int RECORD = 27;
    private static final int MOST_FRAME = HEADER + RECORD * Pool.MOST_SERVERS;

    private final Loop loop;
    private final ServerLinks servers;
    private Router router;
    private Endpoint address;
    private Channel channel;
    private double heardAt;
    private double pause = FIRST_PAUSE;
    private long generation;
    private boolean closed;

    CoordinatorClient(Loop loop, ServerLinks servers, Endpoint address) {
        this.loop = loop;
        this.servers = servers;
        this.address = address;
    }

    /** Applies what the configuration knows already. */
    void start(Router router, List<ListEvent> known) {
        this.router = router;
        known.forEach(this::apply);
    }

    /** Connects. */
    @Override
    public void follow() {
        long of = ++generation;
        if (closed) {
            return;
        }
        if (channel != null) {
            channel.close();
            channel = null;
        }
        heardAt = loop.now();
        new Bootstrap().group(loop.eventLoop()).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.ALLOCATOR, NodeServer.BUFFERS)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel made) {
                        made.pipeline().addLast(new LengthFieldBasedFrameDecoder(MOST_FRAME, 0, 4, 0, 4),
                                new Frames(of));
                    }
                }).connect(address.socket()).addListener(f -> {
                    if (!f.isSuccess()) {
                        broke(of, f.cause().toString());
                    }
                });
        watch(of);
    }

    @Override
    public void fetch() {
        follow();
    }

    /** The coordinator is at another address from now on; numbers go on. */
    void move(Endpoint to, List<ListEvent> known) {
        known.forEach(this::apply);
        if (!to.equals(address)) {
            LOG.atInfo().addKeyValue("from", address.toString()).addKeyValue("to", to.toString())
                    .log("coordinator moved");
            address = to;
            pause = FIRST_PAUSE;
            follow();
        }
    }

    private void watch(long of) {
        loop.timers().set(loop.now() + SILENCE_MS / 4, now -> {
            if (of != generation) {
                return;
            }
            if (now - heardAt > SILENCE_MS) {
                broke(of, "silent");
            } else {
                watch(of);
            }
        });
    }

    private void broke(long of, String why) {
        if (of != generation || closed) {
            return;
        }
        LOG.atInfo().addKeyValue("why", why).addKeyValue("last", router.pool().version()).log("coordinator lost");
        generation++;
        if (channel != null) {
            channel.close();
            channel = null;
        }
        double wait = pause * (0.5 + 0.5 * Math.random());
        pause = Math.min(MOST_PAUSE, 2 * pause);
        long asked = generation;
        loop.timers().set(loop.now() + wait, now -> {
            if (asked == generation) {
                follow();
            }
        });
    }

    /** Events that were had already are passed over; a gap asks again from the last number had. */
    private boolean apply(ListEvent event) {
        if (event.number() <= router.pool().version()) {
            return true;
        }
        double now = loop.now();
        boolean gap = router.directory(now, event.number(), event.full(),
                event.servers(now, System.currentTimeMillis()));
        servers.follow(router.pool());
        LOG.atInfo().addKeyValue("number", event.number()).addKeyValue("full", event.full())
                .addKeyValue("entries", event.entries().toString()).log("list");
        return !gap;
    }

    /** Reads one frame without its length; null where it holds nothing new. */
    static ListEvent read(ByteBuf frame) {
        if (frame.readableBytes() < HEADER) {
            throw new IllegalArgumentException("a frame of " + frame.readableBytes() + " octets");
        }
        long number = frame.readLong();
        int kind = frame.readUnsignedByte();
        if (kind == 0) {
            return null;
        }
        if (kind > 2 || frame.readableBytes() % RECORD != 0) {
            throw new IllegalArgumentException("a frame of kind " + kind + " with " + frame.readableBytes()
                    + " octets of records");
        }
        List<ListEvent.Entry> entries = new ArrayList<>();
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
            entries.add(new ListEvent.Entry(id, host + ":" + port, cell,
                    new State[] {State.RUNNING, State.DRAINING, State.GONE}[state], frame.readLong()));
        }
        return new ListEvent(number, kind == 1, entries);
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
            heardAt = loop.now();
            pause = FIRST_PAUSE;
            ListEvent event = read(frame);
            if (event != null && !apply(event)) {
                follow();
            }
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
