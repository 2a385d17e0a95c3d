package damsonseam.bench;

import damsonseam.dns.DnsCodec;
import damsonseam.dns.DnsFormatException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.NAPTRRecord;
import org.xbill.DNS.Name;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Section;

/**
 * The minimal responder to the same queries, as a baseline: one event loop that decodes a query and writes a fixed
 * answer, without any routing.
 */
final class BareResponder implements AutoCloseable {
    private final Channel socket;

    BareResponder(EventLoop loop) throws InterruptedException {
        socket = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.SO_RCVBUF, 4 << 20)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(4096).maxMessagesPerRead(64))
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet)
                            throws DnsFormatException {
                        Message query = DnsCodec.decode(ByteBufUtil.getBytes(packet.content()));
                        Message reply = new Message(query.getHeader().getID());
                        reply.getHeader().setFlag(Flags.QR);
                        reply.getHeader().setFlag(Flags.AA);
                        reply.addRecord(query.getQuestion(), Section.QUESTION);
                        reply.addRecord(
                                new NAPTRRecord(
                                        query.getQuestion().getName(),
                                        DClass.IN,
                                        0,
                                        100,
                                        10,
                                        "u",
                                        "E2U+sip",
                                        "!^.*$!sip:1@calc-00.example.org!",
                                        Name.root),
                                Section.ANSWER);
                        reply.addRecord(new OPTRecord(DnsCodec.MAX_UDP_RESPONSE_BYTES, 0, 0), Section.ADDITIONAL);
                        ctx.write(new DatagramPacket(Unpooled.wrappedBuffer(reply.toWire()), packet.sender()));
                    }

                    @Override
                    public void channelReadComplete(ChannelHandlerContext ctx) {
                        ctx.flush();
                    }
                })
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .sync()
                .channel();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) socket.localAddress();
    }

    @Override
    public void close() {
        socket.close();
    }
}
