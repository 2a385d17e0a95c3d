package damsonseam.node;

import damsonseam.config.Endpoint;
import damsonseam.sip.SipDecoder;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/** Opens TCP connections to signalling servers. */
final class ServerConnector {
    private ServerConnector() {}

    /** Begins to open a connection; the endpoint is notified when it is open, the future tells whether it failed. */
    static ChannelFuture connect(ServerEndpoints.EndpointContext context, ServerEndpoint endpoint) {
        return new Bootstrap()
                .group(context.loop().eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOCATOR, NodeBuffers.ALLOCATOR)
                .option(ChannelOption.RECVBUF_ALLOCATOR, NodeBuffers.receiveBuffers())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) context.connectTimeoutMs())
                .option(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(context.maxUnsentBytes() / 2, context.maxUnsentBytes()))
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        SipDecoder decoder = new SipDecoder();
                        channel.pipeline().addLast(decoder, new ServerConnection(endpoint, channel, decoder));
                    }
                })
                .connect(Endpoint.parse(endpoint.address()).toSocketAddress());
    }
}
