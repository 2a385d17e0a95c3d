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

/** A stand-in authority of the ENUM zone on UDP and TCP, with the ways in which one fails. */
public final class DnsAuthority implements AutoCloseable {
    private static final int TCP_OCTETS = 65_535;
    private static final int LENGTH_OCTETS = 2;

    /** How it answers now. */
    public enum Mood {
        /** As it should. */
        WELL,
        /** Not at all. */
        SILENT,
        /** That it does not serve the zone. */
        LAME,
        /** Over UDP only that the answer does not fit. */
        TRUNCATING,
        /** First with a wrong id, then with a wrong question, then as it should. */
        FORGED,
        /** With octets that are no message. */
        GARBAGE
    }

    private final Name suffix;
    private final Function<String, List<String>> hosts;
    private final EventLoop loop;
    private final long ttl;
    private final SplittableRandom random = new SplittableRandom(1);
    private final AtomicLong questions = new AtomicLong();
    private volatile Mood mood = Mood.WELL;
    private volatile long delayMs;
    private volatile double loss;
    private Channel udp;
    private Channel tcp;

    /**
     * An authority.
     *
     * @param hosts the hosts that a number leads to, first choice first; empty for a number that does not exist
     * @param ttl lifetime of its records in seconds
     */
    public DnsAuthority(String suffix, Function<String, List<String>> hosts, long ttl, EventLoop loop) {
        this.suffix = E164Name.parseSuffix(suffix);
        this.hosts = hosts;
        this.ttl = ttl;
        this.loop = loop;
    }

    /** Binds UDP and TCP to one port. */
    public InetSocketAddress start(InetSocketAddress at) throws IOException, InterruptedException {
        // A port that is free for TCP may be taken for UDP where the system chooses it; one of the range is not.
        return bind(LoopbackPorts.lasting(at));
    }

    private InetSocketAddress bind(InetSocketAddress at) throws InterruptedException {
        tcp = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(
                                        new LengthFieldBasedFrameDecoder(
                                                TCP_OCTETS, 0, LENGTH_OCTETS, 0, LENGTH_OCTETS),
                                        new LengthFieldPrepender(LENGTH_OCTETS),
                                        new SimpleChannelInboundHandler<ByteBuf>() {
                                            @Override
                                            protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
                                                answer(
                                                        ByteBufUtil.getBytes(frame),
                                                        true,
                                                        a -> ctx.writeAndFlush(Unpooled.wrappedBuffer(a)));
                                            }
                                        });
                    }
                })
                .bind(at)
                .sync()
                .channel();
        InetSocketAddress bound = (InetSocketAddress) tcp.localAddress();
        udp = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.SO_RCVBUF, 1 << 20)
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                        InetSocketAddress from = packet.sender();
                        answer(
                                ByteBufUtil.getBytes(packet.content()),
                                false,
                                a -> ctx.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(a), from)));
                    }
                })
                .bind(bound)
                .sync()
                .channel();
        return bound;
    }

    /** Changes how it answers. */
    public void mood(Mood to) {
        mood = to;
    }

    /** Answers come so much later. */
    public void delay(long ms) {
        delayMs = ms;
    }

    /** So great a share of its answers is lost. */
    public void lose(double share) {
        loss = share;
    }

    /** Questions that came. */
    public long questions() {
        return questions.get();
    }

    private void answer(byte[] octets, boolean stream, Consumer<byte[]> to) {
        questions.incrementAndGet();
        if (mood == Mood.SILENT || random.nextDouble() < loss) {
            return;
        }
        Message query;
        try {
            query = DnsCodec.decode(octets);
        } catch (DnsFormatException e) {
            return;
        }
        if (query.getQuestion() == null) {
            return;
        }
        Runnable send = () -> send(query, stream, to);
        if (delayMs > 0) {
            loop.schedule(send, delayMs, TimeUnit.MILLISECONDS);
        } else {
            send.run();
        }
    }

    private void send(Message query, boolean stream, Consumer<byte[]> to) {
        switch (mood) {
            case LAME -> {
                Message reply = start(query);
                reply.getHeader().unsetFlag(Flags.AA);
                reply.getHeader().setRcode(Rcode.REFUSED);
                to.accept(reply.toWire());
            }
            case TRUNCATING -> {
                Message reply = stream ? full(query) : start(query);
                if (!stream) {
                    reply.getHeader().setFlag(Flags.TC);
                }
                to.accept(reply.toWire());
            }
            case FORGED -> {
                Message wrongId = full(query);
                wrongId.getHeader().setID(query.getHeader().getID() ^ 0x5555);
                to.accept(wrongId.toWire());
                Message wrongName = new Message(query.getHeader().getID());
                wrongName.getHeader().setFlag(Flags.QR);
                wrongName.getHeader().setFlag(Flags.AA);
                wrongName.addRecord(
                        Record.newRecord(suffix, query.getQuestion().getType(), DClass.IN), Section.QUESTION);
                wrongName.addRecord(rule(suffix, 1, "forged.example.org"), Section.ANSWER);
                to.accept(wrongName.toWire());
                to.accept(full(query).toWire());
            }
            case GARBAGE -> {
                byte[] garbage = new byte[40];
                garbage[0] = (byte) (query.getHeader().getID() >> 8);
                garbage[1] = (byte) query.getHeader().getID();
                garbage[5] = 9;
                to.accept(garbage);
            }
            default -> to.accept(full(query).toWire(stream ? Message.MAXLENGTH : DnsCodec.MAX_UDP_RESPONSE_BYTES));
        }
    }

    private static Message start(Message query) {
        Message reply = new Message(query.getHeader().getID());
        reply.getHeader().setFlag(Flags.QR);
        reply.getHeader().setFlag(Flags.AA);
        reply.addRecord(query.getQuestion(), Section.QUESTION);
        return reply;
    }

    private Message full(Message query) {
        Message reply = start(query);
        Name asked = query.getQuestion().getName();
        String number = asked.subdomain(suffix) ? E164Name.toNumber(asked, suffix) : null;
        List<String> found = number == null ? List.of() : hosts.apply(number);
        if (found.isEmpty()) {
            reply.getHeader().setRcode(Rcode.NXDOMAIN);
            reply.addRecord(
                    new SOARecord(suffix, DClass.IN, ttl, suffix, suffix, 1, 3600, 600, 86_400, ttl),
                    Section.AUTHORITY);
        }
        int preference = 10;
        for (String host : found) {
            reply.addRecord(rule(asked, preference, host), Section.ANSWER);
            preference += 10;
        }
        return reply;
    }

    private NAPTRRecord rule(Name name, int preference, String host) {
        return new NAPTRRecord(
                name,
                DClass.IN,
                ttl,
                100,
                preference,
                "u",
                "E2U+sip",
                "!^\\\\+(.*)$!sip:\\\\1@" + host + "!",
                Name.root);
    }

    @Override
    public void close() {
        udp.close().syncUninterruptibly();
        tcp.close().syncUninterruptibly();
    }
}
