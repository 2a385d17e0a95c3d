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
 * Subscribes to the coordinator, which sends numbered server-list updates in binary frames. If the connection breaks,
 * brings no frame within {@link #SILENCE_TIMEOUT_MS} or shows a gap in the numbers, the client reconnects and requests
 * the updates after the last one that it has. A coordinator may be slow to serve a new connection: the time for a first
 * frame doubles with each connection that brings none, up to {@link #MAX_FIRST_FRAME_TIMEOUT_MS}.
 *
 * <p>There is one connection at a time, and each one that ends is followed by one backoff, whoever requests an update:
 * a fleet that lost its coordinator must not flood it when it returns. Used on the event loop only.
 */
final class CoordinatorClient implements RouterPorts.Directory {
    private static final Logger LOG = LoggerFactory.getLogger(CoordinatorClient.class);
    /** The coordinator sends a frame each second; waiting for two missing ones would detect its silence too late. */
    private static final double SILENCE_TIMEOUT_MS = 1_500;

    /** Limit of the time for a first frame: a connection that is dead must not keep the list for longer. */
    private static final double MAX_FIRST_FRAME_TIMEOUT_MS = 6_000;

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
    private double connectedMs;
    private double lastReceivedMs;
    /** Whether the present connection has brought a frame. */
    private boolean frameReceived;

    private double firstFrameTimeoutMs = SILENCE_TIMEOUT_MS;
    private double backoffMs = INITIAL_BACKOFF_MS;
    /** Counts connections and backoffs: events of an earlier generation are ignored. */
    private long generation;
    /** Highest number for which a gap made the client reconnect: it does so once for each number. */
    private long lastGapNumber;

    private boolean closed;

    /**
     * Creates a client that is not connected yet.
     *
     * @param seed seed of the jitter that spreads the backoffs of a fleet
     */
    CoordinatorClient(CoreLoop loop, ServerEndpoints serverEndpoints, Endpoint address, long seed) {
        this.loop = loop;
        this.serverEndpoints = serverEndpoints;
        this.address = address;
        random = new SplittableRandom(seed);
    }

    /** Applies the updates of the configuration and connects. */
    void start(Router router, List<ServerListUpdate> knownUpdates) {
        this.router = router;
        knownUpdates.forEach(this::apply);
        connect();
    }

    /**
     * Requests the server list for the routing policy, which does so before the start, when {@link #start} connects
     * anyway, and after a failure.
     */
    @Override
    public void subscribeToUpdates() {
        requestServerList();
    }

    /** Reconnects after the backoff and requests the updates after the last one; does nothing while not connected. */
    @Override
    public void requestServerList() {
        if (channel != null) {
            onConnectionLost(generation, "update requested");
        }
    }

    /** Connects to the coordinator at a new address; the numbers of the updates continue. */
    void changeAddress(Endpoint newAddress, List<ServerListUpdate> knownUpdates) {
        knownUpdates.forEach(this::apply);
        if (!newAddress.equals(address)) {
            LOG.atInfo()
                    .addKeyValue("from", address.toString())
                    .addKeyValue("to", newAddress.toString())
                    .log("coordinator address changed");
            address = newAddress;
            backoffMs = INITIAL_BACKOFF_MS;
            firstFrameTimeoutMs = SILENCE_TIMEOUT_MS;
            connect();
        }
    }

    private void connect() {
        if (closed) {
            return;
        }
        long connectionGeneration = disconnect();
        connectedMs = loop.now();
        lastReceivedMs = connectedMs;
        frameReceived = false;
        ChannelFuture connectFuture = new Bootstrap()
                .group(loop.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOCATOR, NodeBuffers.ALLOCATOR)
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

    /** Ends the present connection or backoff, and returns the generation of the next. */
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
            if (now - lastReceivedMs > (frameReceived ? SILENCE_TIMEOUT_MS : firstFrameTimeoutMs)) {
                if (!frameReceived) {
                    setFirstFrameTimeout(2 * firstFrameTimeoutMs);
                }
                onConnectionLost(connectionGeneration, "no frame in time");
            } else {
                scheduleSilenceCheck(connectionGeneration);
            }
        });
    }

    private void setFirstFrameTimeout(double timeoutMs) {
        firstFrameTimeoutMs = Math.max(SILENCE_TIMEOUT_MS, Math.min(MAX_FIRST_FRAME_TIMEOUT_MS, timeoutMs));
    }

    private void onConnectionLost(long connectionGeneration, String reason) {
        if (connectionGeneration != generation || closed) {
            return;
        }
        LOG.atInfo()
                .addKeyValue("why", reason)
                .addKeyValue("last", router.serverList().version())
                .log("coordinator connection lost");
        long nextGeneration = disconnect();
        double delayMs = backoffMs * (0.5 + 0.5 * random.nextDouble());
        backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
        loop.timers().schedule(loop.now() + delayMs, now -> {
            if (nextGeneration == generation) {
                connect();
            }
        });
    }

    /** Handles one frame; a null update means that there is no update up to {@code number} that this node lacks. */
    private void onFrame(long connectionGeneration, long number, ServerListUpdate update) {
        lastReceivedMs = loop.now();
        if (!frameReceived) {
            frameReceived = true;
            setFirstFrameTimeout(2 * (lastReceivedMs - connectedMs));
        }
        if (update != null ? apply(update) : number <= router.serverList().version() || number <= lastGapNumber) {
            backoffMs = INITIAL_BACKOFF_MS;
            return;
        }
        // An update before this number is missing and will not arrive on this connection.
        lastGapNumber = Math.max(lastGapNumber, number);
        onConnectionLost(connectionGeneration, "gap in updates before " + number);
    }

    /** Applies an update, unless it has been applied already; returns false if one before it is missing. */
    private boolean apply(ServerListUpdate update) {
        if (update.number() <= router.serverList().version()) {
            return true;
        }
        double now = loop.now();
        boolean versionGap = router.serverListUpdated(
                now, update.number(), update.full(), update.toServers(now, System.currentTimeMillis()));
        serverEndpoints.applyServerList(router.serverList());
        LOG.atInfo()
                .addKeyValue("number", update.number())
                .addKeyValue("full", update.full())
                .addKeyValue("entries", update.entries().toString())
                .log("server list updated");
        return !versionGap;
    }

    /** Parses a frame behind its length and number; returns null if it holds no update. */
    static ServerListUpdate parseFrame(long number, ByteBuf frame) {
        int kind = frame.readUnsignedByte();
        if (kind == 0) {
            return null;
        }
        if (kind > 2 || frame.readableBytes() % RECORD_BYTES != 0) {
            throw new IllegalArgumentException(
                    "invalid frame of kind " + kind + " with " + frame.readableBytes() + " bytes of records");
        }
        List<ServerListUpdate.Entry> entries = new ArrayList<>();
        while (frame.isReadable()) {
            String id = String.format("s-%08x", frame.readInt());
            String host = frame.readUnsignedByte() + "." + frame.readUnsignedByte() + "." + frame.readUnsignedByte()
                    + "." + frame.readUnsignedByte();
            int port = frame.readUnsignedShort();
            int state = frame.readUnsignedByte();
            if (state > 2) {
                throw new IllegalArgumentException("unknown server state " + state);
            }
            frame.skipBytes(2); // Zone and kind, not used.
            int cell = frame.readUnsignedShort();
            frame.skipBytes(4); // Weight, not used.
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

    /** Asks for updates when the connection is established, and handles its frames. */
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
                throw new IllegalArgumentException("frame too short: " + frame.readableBytes() + " bytes");
            }
            long number = frame.readLong();
            onFrame(connectionGeneration, number, parseFrame(number, frame));
            loop.scheduleBatchEnd();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            onConnectionLost(connectionGeneration, "connection closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.atInfo().addKeyValue("why", cause.toString()).log("coordinator connection failed");
            ctx.close();
        }
    }
}
