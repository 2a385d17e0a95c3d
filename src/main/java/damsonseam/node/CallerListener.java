package damsonseam.node;

import damsonseam.core.Router;
import damsonseam.loop.Loop;
import damsonseam.sip.SipDecoder;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
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
    private static final double SWEEP_MS = 50;

    private final Loop loop;
    private final CallSettings settings;
    private final CallBook book;
    private final ServerLinks servers;
    private final int mostConnections;
    private final BooleanSupplier ready;
    /** In the order in which they were last heard of. */
    private final Set<CallerLink> links = new LinkedHashSet<>();
    private Router router;
    private Channel channel;
    private long gaveWay;

    CallerListener(Loop loop, CallSettings settings, CallBook book, ServerLinks servers, int mostConnections,
            BooleanSupplier ready) {
        this.loop = loop;
        this.settings = settings;
        this.book = book;
        this.servers = servers;
        this.mostConnections = mostConnections;
        this.ready = ready;
    }

    void start(Router router) {
        this.router = router;
        loop.timers().set(loop.now() + SWEEP_MS, this::sweep);
    }

    /** Opens the port. */
    void bind(InetSocketAddress address) throws IOException {
        ChannelFuture bound = new ServerBootstrap().group(loop.eventLoop()).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true).childOption(ChannelOption.ALLOCATOR, NodeServer.BUFFERS)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(MOST_UNSENT / 2, MOST_UNSENT))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel made) {
                        SipDecoder decoder = new SipDecoder();
                        made.pipeline().addLast(decoder, new CallerLink(CallerListener.this, made, decoder));
                    }
                }).bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen on " + address + ": " + bound.cause().getMessage(), bound.cause());
        }
        channel = bound.channel();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /** Whether no connection waits for room to be accepted: what came on one has been read. */
    boolean accepting() {
        return channel.config().isAutoRead();
    }

    /** A connection was accepted. */
    void connected(CallerLink link) {
        links.add(link);
        makeRoom(loop.now());
    }

    /**
     * Where the limit is reached, connections that have been silent for long enough give way, then those without calls,
     * the longest ago first. One that has just come is never closed for another, as its first set-up may be on its way:
     * while none can give way, the next wait with the system.
     */
    private void makeRoom(double now) {
        while (links.size() >= mostConnections) {
            CallerLink way = links.stream().filter(l -> l.givesWay(now) && !l.shown()).findFirst().orElseGet(
                    () -> links.stream().filter(l -> l.givesWay(now)).findFirst().orElse(null));
            if (way == null) {
                break;
            }
            gaveWay++;
            links.remove(way);
            way.close("gives way");
        }
        boolean room = links.size() < mostConnections;
        if (channel != null && channel.isActive() && channel.config().isAutoRead() != room) {
            channel.config().setAutoRead(room);
            LOG.atInfo().addKeyValue("connections", links.size()).addKeyValue("gaveWay", gaveWay)
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
     */
    CallerLink another(CallerLink of) {
        CallerLink found = null;
        int best = 1;
        for (CallerLink link : links) {
            int fits = !link.usable() || !link.shown() ? 0 : (link.standing() ? 2 : 0) + (link.sameHost(of) ? 1 : 0);
            if (fits >= best) {
                found = link;
                best = fits;
            }
        }
        return found;
    }

    void heard(CallerLink link) {
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
        loop.timers().set(now + SWEEP_MS, this::sweep);
    }

    boolean ready() {
        return ready.getAsBoolean();
    }

    Loop loop() {
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

    /** Closes the port; connections stay. */
    void stopAccepting() {
        if (channel != null) {
            channel.close();
        }
    }

    void close() {
        stopAccepting();
        List.copyOf(links).forEach(link -> link.close("node ends"));
    }
}
