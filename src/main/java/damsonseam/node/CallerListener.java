package damsonseam.node;

import damsonseam.core.Router;
import damsonseam.loop.CoreLoop;
import damsonseam.sip.SipDecoder;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Where callers connect. Connections are bounded; at the limit those of no use give way. */
final class CallerListener {
    private static final Logger LOG = LoggerFactory.getLogger(CallerListener.class);
    /** Octets waiting to be sent beyond which a caller is taken not to read, and is closed. */
    static final int MOST_UNSENT = 256 << 10;

    private static final int BACKLOG = 512;
    /** Connections accepted in one turn of the loop: callers with calls are not kept waiting by newcomers. */
    private static final int ACCEPTS_A_TURN = 4;
    /** How long nobody is accepted where the system had no descriptor for the last. */
    private static final double NO_ACCEPT_MS = 50;

    private static final double SWEEP_MS = 50;

    private final CoreLoop loop;
    private final CallSettings settings;
    private final CallBook book;
    private final ServerLinks servers;
    /** Descriptors for callers and for servers together. */
    private final int descriptors;

    private final BooleanSupplier ready;
    /** In the order in which they were last heard of. */
    private final Set<CallerLink> links = new LinkedHashSet<>();

    private Router router;
    private Channel channel;
    private long gaveWay;
    private volatile int peak;
    private double heardAt;
    private double acceptsFrom = Double.NEGATIVE_INFINITY;

    CallerListener(
            CoreLoop loop,
            CallSettings settings,
            CallBook book,
            ServerLinks servers,
            int descriptors,
            BooleanSupplier ready) {
        this.loop = loop;
        this.settings = settings;
        this.book = book;
        this.servers = servers;
        this.descriptors = descriptors;
        this.ready = ready;
    }

    void start(Router router) {
        this.router = router;
        loop.timers().schedule(loop.now() + SWEEP_MS, this::sweep);
    }

    /** Opens the port. */
    void bind(InetSocketAddress address) throws IOException {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop.eventLoop())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(ACCEPTS_A_TURN))
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.ALLOCATOR, NodeServer.BUFFERS)
                .childOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(MOST_UNSENT / 2, MOST_UNSENT))
                .handler(new Accepts())
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel made) {
                        SipDecoder decoder = new SipDecoder();
                        made.pipeline().addLast(decoder, new CallerLink(CallerListener.this, made, decoder));
                    }
                })
                .bind(address)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException(
                    "cannot listen on " + address + ": " + bound.cause().getMessage(), bound.cause());
        }
        channel = bound.channel();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /** The most connections that there were at a time. */
    int peak() {
        return peak;
    }

    ChannelPipeline pipeline() {
        return channel.pipeline();
    }

    /** Whether no connection waits for room to be accepted: what came on one has been read. */
    boolean accepting() {
        return channel.config().isAutoRead();
    }

    /** A connection was accepted. */
    void connected(CallerLink link) {
        links.add(link);
        heardAt = loop.now();
        peak = Math.max(peak, links.size());
        makeRoom(heardAt);
    }

    /** What is left beside a connection to each server that the list names, however many these are. */
    private int most() {
        return Math.max(1, descriptors - servers.reserved());
    }

    /** Netty's own answer to an accept that fails is a second without any; here one connection may give way. */
    private final class Accepts extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            double now = loop.now();
            LOG.atWarn()
                    .addKeyValue("why", cause.toString())
                    .addKeyValue("connections", links.size())
                    .log("a caller could not be accepted");
            acceptsFrom = now + NO_ACCEPT_MS;
            giveWay(now);
            makeRoom(now);
        }
    }

    /** Closes the connection of the least use; false if each may be needed. */
    private boolean giveWay(double now) {
        CallerLink way = links.stream()
                .filter(l -> l.givesWay(now) && !l.shown())
                .findFirst()
                .orElseGet(() ->
                        links.stream().filter(l -> l.givesWay(now)).findFirst().orElse(null));
        if (way == null) {
            return false;
        }
        gaveWay++;
        links.remove(way);
        way.close("gives way");
        return true;
    }

    /**
     * Where the limit is reached, connections that have been silent for long enough give way, then those without calls,
     * the longest ago first. One that has just come is never closed for another, as its first set-up may be on its way:
     * while none can give way, the next wait with the system.
     */
    private void makeRoom(double now) {
        while (links.size() >= most()) {
            if (!giveWay(now)) {
                break;
            }
        }
        boolean room = links.size() < most() && now >= acceptsFrom;
        if (channel != null && channel.isActive() && channel.config().isAutoRead() != room) {
            channel.config().setAutoRead(room);
            LOG.atInfo()
                    .addKeyValue("connections", links.size())
                    .addKeyValue("peak", peak)
                    .addKeyValue("gaveWay", gaveWay)
                    .log(room ? "callers are accepted again" : "callers wait to be accepted");
        }
    }

    void closed(CallerLink link) {
        links.remove(link);
    }

    /**
     * Another connection that a release may take, or null. No connection owns a call, and callers need not come from
     * one host: one on which a call stands is a caller's for sure, as nobody else is ever given one; of these, one of
     * the same host before others. Else one of the same host that has sent a set-up. Of equals the one heard of last.
     *
     * @param not the connection on which the release was said before, or null
     */
    CallerLink another(CallerLink of, CallerLink not) {
        CallerLink found = null;
        int best = 1;
        for (CallerLink link : links) {
            boolean may = link != not && link.usable() && link.shown();
            int fits = !may ? 0 : (link.standing() ? 2 : 0) + (link.sameHost(of) ? 1 : 0);
            if (fits >= best) {
                found = link;
                best = fits;
            }
        }
        return found;
    }

    void heard(CallerLink link) {
        heardAt = loop.now();
        if (links.remove(link)) {
            links.add(link);
        }
    }

    private void sweep(double now) {
        List<CallerLink> over = new ArrayList<>();
        links.forEach(link -> {
            if (link.overdue(now)) {
                over.add(link);
            }
        });
        over.forEach(link -> link.close("silent or idle"));
        makeRoom(now);
        loop.timers().schedule(now + SWEEP_MS, this::sweep);
    }

    boolean ready() {
        return ready.getAsBoolean();
    }

    CoreLoop loop() {
        return loop;
    }

    CallSettings settings() {
        return settings;
    }

    CallBook book() {
        return book;
    }

    ServerLinks servers() {
        return servers;
    }

    Router router() {
        return router;
    }

    int connections() {
        return links.size();
    }

    /** When a caller last said something or connected. */
    double heardAt() {
        return heardAt;
    }

    /** Closes the port, and each connection once its caller has read all that was said there. */
    void finish() {
        channel.close();
        List.copyOf(links).forEach(CallerLink::finish);
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
        List.copyOf(links).forEach(link -> link.close("node ends"));
    }
}
