package damsonseam.node;

import damsonseam.RoutingPolicy.ServerState;
import damsonseam.config.Endpoint;
import damsonseam.core.Router;
import damsonseam.core.RouterPorts;
import damsonseam.core.ServerList;
import damsonseam.loop.CoreLoop;
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
final class CoordinatorClient implements RouterPorts.Directory {
    private static final Logger LOG = LoggerFactory.getLogger(CoordinatorClient.class);
    /** A frame comes each second; two missing ones would be late for what a silent coordinator owes. */
    private static final double SILENCE_TIMEOUT_MS = 1_500;

    private static final double INITIAL_BACKOFF_MS = 50;
    private static final double MAX_BACKOFF_MS = 500;
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final int HEADER_BYTES = 9;
    private static final int RECORD_BYTES = 27;
    private static final int MAX_FRAME_BYTES = HEADER_BYTES + RECORD_BYTES * ServerList.MAX_SERVERS;

    private final CoreLoop loop;
    private final ServerEndpoints serverEndpoints;
    private final SplittableRandom random;
    private Router router;
    private Endpoint address;
    private Channel channel;
    private double lastReceivedMs;
    private double backoffMs = INITIAL_BACKOFF_MS;
    /** Counts watches and backoffs: what belongs to an earlier one is passed over. */
    private long generation;
    /** The highest number that a frame of nothing new made this node ask for: asked for once. */
    private long lastGapNumber;

    private boolean closed;

    /** @param seed spreads the backoffs of a fleet */
    CoordinatorClient(CoreLoop loop, ServerEndpoints serverEndpoints, Endpoint address, long seed) {
        this.loop = loop;
        this.serverEndpoints = serverEndpoints;
        this.address = address;
        random = new SplittableRandom(seed);
    }

    /** Applies what the configuration knows already, and connects. */
    void start(Router router, List<ServerListUpdate> knownUpdates) {
        this.router = router;
        knownUpdates.forEach(this::apply);
        connect();
    }

    /** The module asks for the list before the start, which connects by itself, or when it was told of a failure. */
    @Override
    public void subscribeToUpdates() {
        requestServerList();
    }

    /** Asks from the last number had, after the backoff; while an ask is out that is the one. */
    @Override
    public void requestServerList() {
        if (channel != null) {
            onConnectionLost(generation, "asked for");
        }
    }

    /** The coordinator is at another address from now on; numbers go on. */
    void changeAddress(Endpoint newAddress, List<ServerListUpdate> knownUpdates) {
        knownUpdates.forEach(this::apply);
        if (!newAddress.equals(address)) {
            LOG.atInfo()
                    .addKeyValue("from", address.toString())
                    .addKeyValue("to", newAddress.toString())
                    .log("coordinator moved");
            address = newAddress;
            backoffMs = INITIAL_BACKOFF_MS;
            connect();
        }
    }

    private void connect() {
        if (closed) {
            return;
        }
        long connectionGeneration = disconnect();
        lastReceivedMs = loop.now();
        ChannelFuture connectFuture = new Bootstrap()
                .group(loop.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOCATOR, NodeServer.ALLOCATOR)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel socketChannel) {
                        socketChannel
                                .pipeline()
                                .addLast(
                                        new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, 4, 0, 4),
                                        new FrameHandler(connectionGeneration));
                    }
                })
                .connect(address.toSocketAddress());
        connectFuture.addListener(f -> {
            if (!f.isSuccess()) {
                onConnectionLost(connectionGeneration, f.cause().toString());
            }
        });
        scheduleSilenceCheck(connectionGeneration);
    }

    /** Ends the watch or backoff that there is, and begins the count of the next. */
    private long disconnect() {
        if (channel != null) {
            channel.close();
            channel = null;
        }
        return ++generation;
    }

    private void scheduleSilenceCheck(long connectionGeneration) {
        loop.timers().schedule(loop.now() + SILENCE_TIMEOUT_MS / 4, now -> {
            if (connectionGeneration != generation) {
                return;
            }
            if (now - lastReceivedMs > SILENCE_TIMEOUT_MS) {
                onConnectionLost(connectionGeneration, "silent");
            } else {
                scheduleSilenceCheck(connectionGeneration);
            }
        });
    }

    private void onConnectionLost(long connectionGeneration, String reason) {
        if (connectionGeneration != generation || closed) {
            return;
        }
        LOG.atInfo()
                .addKeyValue("why", reason)
                .addKeyValue("last", router.serverList().version())
                .log("coordinator lost");
        long nextGeneration = disconnect();
        double delayMs = backoffMs * (0.5 + 0.5 * random.nextDouble());
        backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
        loop.timers().schedule(loop.now() + delayMs, now -> {
            if (nextGeneration == generation) {
                connect();
            }
        });
    }

    /** One frame; null says that nothing is new, as of {@code number}. */
    private void onFrame(long connectionGeneration, long number, ServerListUpdate update) {
        lastReceivedMs = loop.now();
        if (update != null ? apply(update) : number <= router.serverList().version() || number <= lastGapNumber) {
            backoffMs = INITIAL_BACKOFF_MS;
            return;
        }
        // An event before this number never came, and none will on this connection.
        lastGapNumber = Math.max(lastGapNumber, number);
        onConnectionLost(connectionGeneration, "a gap before " + number);
    }

    /** Events that were had already are passed over; a gap asks again from the last number had. */
    private boolean apply(ServerListUpdate update) {
        if (update.number() <= router.serverList().version()) {
            return true;
        }
        double now = loop.now();
        boolean gap = router.serverListUpdated(
                now, update.number(), update.full(), update.toServers(now, System.currentTimeMillis()));
        serverEndpoints.applyServerList(router.serverList());
        LOG.atInfo()
                .addKeyValue("number", update.number())
                .addKeyValue("full", update.full())
                .addKeyValue("entries", update.entries().toString())
                .log("list");
        return !gap;
    }

    /** Reads one frame behind its length and number; null where it holds nothing new. */
    static ServerListUpdate parseFrame(long number, ByteBuf frame) {
        int kind = frame.readUnsignedByte();
        if (kind == 0) {
            return null;
        }
        if (kind > 2 || frame.readableBytes() % RECORD_BYTES != 0) {
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
                    new ServerState[] {ServerState.RUNNING, ServerState.DRAINING, ServerState.GONE}[state],
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

    private final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private final long connectionGeneration;

        FrameHandler(long connectionGeneration) {
            this.connectionGeneration = connectionGeneration;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (connectionGeneration != generation) {
                ctx.close();
                return;
            }
            channel = ctx.channel();
            ctx.writeAndFlush(
                    ctx.alloc().buffer(8).writeLong(router.serverList().version()));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            if (connectionGeneration != generation) {
                return;
            }
            if (frame.readableBytes() < HEADER_BYTES) {
                throw new IllegalArgumentException("a frame of " + frame.readableBytes() + " octets");
            }
            long number = frame.readLong();
            onFrame(connectionGeneration, number, parseFrame(number, frame));
            loop.scheduleBatchEnd();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            onConnectionLost(connectionGeneration, "closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.atInfo().addKeyValue("why", cause.toString()).log("coordinator's connection");
            ctx.close();
        }
    }
}
