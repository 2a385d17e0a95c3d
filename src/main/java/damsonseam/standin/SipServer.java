package damsonseam.standin;

import damsonseam.sip.SipDecoder;
import damsonseam.sip.SipEncoder;
import damsonseam.sip.SipHeaders;
import damsonseam.sip.SipMessage;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** A stand-in server of the front node's SIP protocol that accepts every call and releases it soon after. */
final class SipServer implements AutoCloseable {
    private static final int HOLDING_TIME_MS = 20;

    private final Channel channel;

    /** Creates a server that listens on a free loopback port. */
    SipServer(EventLoopGroup group) throws InterruptedException {
        channel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel newChannel) {
                        newChannel.pipeline().addLast(new SipDecoder(), new ConnectionHandler());
                    }
                })
                .bind(InetAddress.getLoopbackAddress(), 0)
                .sync()
                .channel();
    }

    /** Returns the port that the server listens on. */
    int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    @Override
    public void close() {
        channel.close();
    }

    /** Reports its load when a node connects, then answers INVITE and OPTIONS requests. */
    private static final class ConnectionHandler extends SimpleChannelInboundHandler<SipMessage> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            send(
                    ctx,
                    SipMessage.request(SipMessage.NOTIFY, "sip:group@net", "0000000000000001", 1)
                            .addHeader("X-Occupancy", "spare:40;total:40"));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, SipMessage message) {
            switch (message.method()) {
                case SipMessage.INVITE -> {
                    send(
                            ctx,
                            SipMessage.response(SipMessage.OK, "OK", message.callId(), message.cseq(), message.body()));
                    ctx.executor()
                            .schedule(
                                    () -> send(
                                            ctx,
                                            SipMessage.request(
                                                            SipMessage.BYE, message.requestUri(), message.callId(), 2)
                                                    .addHeader(SipHeaders.REASON, "Q.850;cause=16")
                                                    .addHeader("X-Occupancy", "spare:40;total:40")),
                                    HOLDING_TIME_MS,
                                    TimeUnit.MILLISECONDS);
                }
                case SipMessage.OPTIONS ->
                    send(ctx, SipMessage.response(SipMessage.OK, "OK", message.callId(), message.cseq()));
                default -> {}
            }
        }

        private static void send(ChannelHandlerContext ctx, SipMessage message) {
            ctx.writeAndFlush(SipEncoder.encode(ctx.alloc(), message));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
