package damsonseam.standin;

import damsonseam.dns.DnsCodec;
import damsonseam.dns.DnsFormatException;
import damsonseam.dns.E164Name;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.NAPTRRecord;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.Section;

/**
 * A stand-in authoritative name server of the ENUM zone, on UDP and TCP, that can be made to fail in several ways.
 *
 * <p>Queries are answered on one event loop. The fault settings may be changed from any thread.
 */
public final class DnsAuthority implements AutoCloseable {
    private static final int MAX_TCP_MESSAGE_BYTES = 65_535;
    private static final int LENGTH_PREFIX_BYTES = 2;

    /** How queries are answered. */
    public enum ResponseMode {
        /** Correctly. */
        NORMAL,
        /** No response. */
        SILENT,
        /** REFUSED and not authoritative, as from a server that does not serve the zone. */
        LAME,
        /** Over UDP with an empty truncated response, over TCP correctly. */
        TRUNCATED,
        /** First with a wrong id, then with a wrong question, then correctly. */
        FORGED,
        /** With bytes that cannot be decoded: the query's id and a count of questions that are missing. */
        MALFORMED
    }

    private final Name suffix;
    private final Function<String, List<String>> hosts;
    private final EventLoop loop;
    private final long ttlS;
    private final SplittableRandom random = new SplittableRandom(1);
    private final AtomicLong queryCount = new AtomicLong();
    private volatile ResponseMode responseMode = ResponseMode.NORMAL;
    private volatile long delayMs;
    private volatile double lossShare;
    private Channel udpChannel;
    private Channel tcpChannel;

    /**
     * Creates an authority that is not started.
     *
     * @param suffix domain of the zone
     * @param hosts returns the hosts of a number, first choice first; empty for a number that does not exist
     * @param ttlS time to live of its records, in seconds
     * @param loop event loop that runs it
     */
    public DnsAuthority(String suffix, Function<String, List<String>> hosts, long ttlS, EventLoop loop) {
        this.suffix = E164Name.parseSuffix(suffix);
        this.hosts = hosts;
        this.ttlS = ttlS;
        this.loop = loop;
    }

    /** Binds UDP and TCP to the same port and returns the address. */
    public InetSocketAddress start(InetSocketAddress requestedAddress) throws IOException, InterruptedException {
        // An ephemeral port that is free for TCP may be in use for UDP; one of the fixed range is not.
        return bind(LoopbackPorts.withFixedPort(requestedAddress));
    }

    private InetSocketAddress bind(InetSocketAddress requestedAddress) throws InterruptedException {
        tcpChannel = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(
                                        new LengthFieldBasedFrameDecoder(
                                                MAX_TCP_MESSAGE_BYTES, 0, LENGTH_PREFIX_BYTES, 0, LENGTH_PREFIX_BYTES),
                                        new LengthFieldPrepender(LENGTH_PREFIX_BYTES),
                                        new SimpleChannelInboundHandler<ByteBuf>() {
                                            @Override
                                            protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
                                                onQuery(
                                                        ByteBufUtil.getBytes(frame),
                                                        true,
                                                        response ->
                                                                ctx.writeAndFlush(Unpooled.wrappedBuffer(response)));
                                            }
                                        });
                    }
                })
                .bind(requestedAddress)
                .sync()
                .channel();
        InetSocketAddress bound = (InetSocketAddress) tcpChannel.localAddress();
        udpChannel = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.SO_RCVBUF, 1 << 20)
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                        InetSocketAddress sender = packet.sender();
                        onQuery(
                                ByteBufUtil.getBytes(packet.content()),
                                false,
                                response -> ctx.writeAndFlush(
                                        new DatagramPacket(Unpooled.wrappedBuffer(response), sender)));
                    }
                })
                .bind(bound)
                .sync()
                .channel();
        return bound;
    }

    /** Sets how queries are answered from now on. */
    public void setResponseMode(ResponseMode mode) {
        responseMode = mode;
    }

    /** Delays all responses by {@code ms} milliseconds. */
    public void setDelay(long ms) {
        delayMs = ms;
    }

    /** Sets the share of queries that get no response, from 0 to 1. */
    public void setLossShare(double share) {
        lossShare = share;
    }

    /** Returns the number of queries received. */
    public long queryCount() {
        return queryCount.get();
    }

    private void onQuery(byte[] bytes, boolean overTcp, Consumer<byte[]> responseSender) {
        queryCount.incrementAndGet();
        if (responseMode == ResponseMode.SILENT || random.nextDouble() < lossShare) {
            return;
        }
        Message query;
        try {
            query = DnsCodec.decode(bytes);
        } catch (DnsFormatException e) {
            return;
        }
        if (query.getQuestion() == null) {
            return;
        }
        Runnable respond = () -> sendResponse(query, overTcp, responseSender);
        if (delayMs > 0) {
            loop.schedule(respond, delayMs, TimeUnit.MILLISECONDS);
        } else {
            respond.run();
        }
    }

    private void sendResponse(Message query, boolean overTcp, Consumer<byte[]> responseSender) {
        switch (responseMode) {
            case LAME -> {
                Message response = newResponse(query);
                response.getHeader().unsetFlag(Flags.AA);
                response.getHeader().setRcode(Rcode.REFUSED);
                responseSender.accept(response.toWire());
            }
            case TRUNCATED -> {
                Message response = overTcp ? newFullResponse(query) : newResponse(query);
                if (!overTcp) {
                    response.getHeader().setFlag(Flags.TC);
                }
                responseSender.accept(response.toWire());
            }
            case FORGED -> {
                Message wrongId = newFullResponse(query);
                wrongId.getHeader().setID(query.getHeader().getID() ^ 0x5555);
                responseSender.accept(wrongId.toWire());
                Message wrongName = new Message(query.getHeader().getID());
                wrongName.getHeader().setFlag(Flags.QR);
                wrongName.getHeader().setFlag(Flags.AA);
                wrongName.addRecord(
                        Record.newRecord(suffix, query.getQuestion().getType(), DClass.IN), Section.QUESTION);
                wrongName.addRecord(naptrRecord(suffix, 1, "forged.example.org"), Section.ANSWER);
                responseSender.accept(wrongName.toWire());
                responseSender.accept(newFullResponse(query).toWire());
            }
            case MALFORMED -> {
                byte[] garbage = new byte[40];
                garbage[0] = (byte) (query.getHeader().getID() >> 8);
                garbage[1] = (byte) query.getHeader().getID();
                garbage[5] = 9;
                responseSender.accept(garbage);
            }
            default ->
                responseSender.accept(
                        newFullResponse(query).toWire(overTcp ? Message.MAXLENGTH : DnsCodec.MAX_UDP_RESPONSE_BYTES));
        }
    }

    private static Message newResponse(Message query) {
        Message response = new Message(query.getHeader().getID());
        response.getHeader().setFlag(Flags.QR);
        response.getHeader().setFlag(Flags.AA);
        response.addRecord(query.getQuestion(), Section.QUESTION);
        return response;
    }

    private Message newFullResponse(Message query) {
        Message response = newResponse(query);
        Name queryName = query.getQuestion().getName();
        String number = queryName.subdomain(suffix) ? E164Name.toNumber(queryName, suffix) : null;
        List<String> foundHosts = number == null ? List.of() : hosts.apply(number);
        if (foundHosts.isEmpty()) {
            response.getHeader().setRcode(Rcode.NXDOMAIN);
            response.addRecord(
                    new SOARecord(suffix, DClass.IN, ttlS, suffix, suffix, 1, 3600, 600, 86_400, ttlS),
                    Section.AUTHORITY);
        }
        int preference = 10;
        for (String host : foundHosts) {
            response.addRecord(naptrRecord(queryName, preference, host), Section.ANSWER);
            preference += 10;
        }
        return response;
    }

    private NAPTRRecord naptrRecord(Name name, int preference, String host) {
        return new NAPTRRecord(
                name,
                DClass.IN,
                ttlS,
                100,
                preference,
                "u",
                "E2U+sip",
                "!^\\\\+(.*)$!sip:\\\\1@" + host + "!",
                Name.root);
    }

    @Override
    public void close() {
        udpChannel.close().syncUninterruptibly();
        tcpChannel.close().syncUninterruptibly();
    }
}
