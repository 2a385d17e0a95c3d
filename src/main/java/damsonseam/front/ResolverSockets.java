package damsonseam.front;

import damsonseam.core.LookupResult;
import damsonseam.core.Router;
import damsonseam.dns.Resolver;
import damsonseam.loop.CoreLoop;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * Sockets of the resolver: a fixed set of UDP sockets on system-chosen ports, and a TCP connection per query that has
 * to be repeated over TCP. Confined to the event loop once started.
 */
final class ResolverSockets implements Resolver.Output {
    private static final int MAX_MESSAGE_BYTES = 65_535;
    private static final int LENGTH_FIELD_BYTES = 2;
    private static final int STREAM_TIMEOUT_S = 5;
    /** Limit of concurrent TCP connections; a further query is dropped and left to the resolver's next try. */
    private static final int MAX_STREAMS = 64;

    private final CoreLoop loop;
    private final List<InetSocketAddress> authorities;
    private final Channel[] sockets;
    private Resolver resolver;
    private Router router;
    private int openStreams;

    ResolverSockets(CoreLoop loop, List<InetSocketAddress> authorities, int count) throws InterruptedException {
        this.loop = loop;
        this.authorities = authorities;
        sockets = new Channel[count];
        InetAddress localAddress =
                authorities.get(0).getAddress().isLoopbackAddress() ? InetAddress.getLoopbackAddress() : null;
        for (int i = 0; i < count; i++) {
            int socketIndex = i;
            sockets[i] = new Bootstrap()
                    .group(loop.eventLoop())
                    .channel(NioDatagramChannel.class)
                    .option(ChannelOption.SO_RCVBUF, 1 << 20)
                    .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                        @Override
                        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                            int from = authorities.indexOf(packet.sender());
                            if (from >= 0) {
                                deliverAnswer(from, socketIndex, ByteBufUtil.getBytes(packet.content()));
                            }
                        }

                        @Override
                        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                            // ICMP port unreachable from an authority; the resolver handles it as a timeout.
                        }
                    })
                    .bind(new InetSocketAddress(localAddress, 0))
                    .sync()
                    .channel();
        }
    }

    void start(Resolver resolver, Router router) {
        this.resolver = resolver;
        this.router = router;
    }

    private void deliverAnswer(int authority, int socket, byte[] message) {
        resolver.onResponse(loop.now(), authority, socket, message);
        loop.scheduleBatchEnd();
    }

    @Override
    public void sendUdp(int authority, int socket, byte[] question) {
        sockets[socket].writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(question), authorities.get(authority)));
    }

    @Override
    public void sendTcp(int authority, byte[] question) {
        if (openStreams >= MAX_STREAMS) {
            return;
        }
        openStreams++;
        new Bootstrap()
                .group(loop.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, STREAM_TIMEOUT_S * 1_000)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.closeFuture().addListener(f -> openStreams--);
                        channel.pipeline()
                                .addLast(
                                        new ReadTimeoutHandler(STREAM_TIMEOUT_S),
                                        new LengthFieldBasedFrameDecoder(
                                                MAX_MESSAGE_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES),
                                        new LengthFieldPrepender(LENGTH_FIELD_BYTES),
                                        new StreamHandler(authority, question));
                    }
                })
                .connect(authorities.get(authority));
    }

    @Override
    public void onLookupComplete(double now, long callId, LookupResult result) {
        router.lookupCompleted(now, callId, result);
        loop.scheduleBatchEnd();
    }

    void close() {
        for (Channel socket : sockets) {
            socket.close();
        }
    }

    /** Sends one query over a TCP connection and reads its answer. */
    private final class StreamHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private final int authority;
        private final byte[] question;

        StreamHandler(int authority, byte[] question) {
            this.authority = authority;
            this.question = question;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ctx.writeAndFlush(Unpooled.wrappedBuffer(question));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            deliverAnswer(authority, Resolver.TCP_SOCKET, ByteBufUtil.getBytes(frame));
            ctx.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
