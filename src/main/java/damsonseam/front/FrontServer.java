package damsonseam.front;

import damsonseam.Decide;
import damsonseam.Front;
import damsonseam.config.Endpoint;
import damsonseam.config.FrontSettings;
import damsonseam.core.CallTable;
import damsonseam.core.Counters;
import damsonseam.core.Router;
import damsonseam.core.RouterSettings;
import damsonseam.core.Story;
import damsonseam.dns.Authorities;
import damsonseam.dns.E164Name;
import damsonseam.dns.EnumService;
import damsonseam.dns.LookupCache;
import damsonseam.dns.Resolver;
import damsonseam.dns.Transactions;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xbill.DNS.Name;

/** One running front: its sockets, its core and its module, all on one event loop. */
public final class FrontServer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(FrontServer.class);
    private static final int POLL_MS = 10;

    private final FrontSettings settings;
    private final MultiThreadIoEventLoopGroup group;
    private final Loop loop;
    private final Router router;
    private final Resolver resolver;
    private final EnumService service;
    private final DnsListener listener;
    private final TrunkLinks trunks;
    private final ResolverSockets sockets;
    private final DirectoryClient directory;
    private boolean closed;

    private FrontServer(FrontSettings settings, Function<Front.Actions, Front> module, boolean logCalls)
            throws IOException, InterruptedException {
        this.settings = settings;
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop eventLoop = (EventLoop) group.next();
        loop = new Loop(eventLoop);
        trunks = new TrunkLinks(loop, settings);
        directory = new DirectoryClient(loop, settings.front().name(), settings.directory().address().socket());
        List<InetSocketAddress> authorities = settings.upstream().authorities().stream().map(Endpoint::socket)
                .toList();
        sockets = new ResolverSockets(loop, authorities, settings.upstream().sockets());
        FrontSettings.Limits limits = settings.limits();
        Name suffix = E164Name.suffix(settings.enumeration().suffix());
        Name zone = settings.upstream().suffix() == null ? suffix
                : E164Name.suffix(settings.upstream().suffix());
        long seed = settings.front().seed() == null ? new SecureRandom().nextLong() : settings.front().seed();
        resolver = new Resolver(zone, new LookupCache(limits.numbers(), settings.upstream().staleFor().ms()),
                new Authorities(authorities.size()), loop.timers(), new SecureRandom().nextLong(),
                new Resolver.Limits(settings.upstream().sockets(), settings.upstream().tries(),
                        limits.lookups(), settings.upstream().staleAfter().ms()), sockets);
        Function<Front.Actions, Front> made = module == null
                ? actions -> new Decide(settings.forModule(seed), actions) : module;
        router = new Router(new RouterSettings(settings.forModule(seed), limits.calls(), FrontSettings.BEAT,
                settings.trunks().releaseWait().ms(), FrontSettings.SLACK), made,
                new CallTable(limits.calls(), System.currentTimeMillis() / 1000),
                loop.timers(), (call, number, deadline) -> {
                    resolver.clock(loop.now());
                    resolver.lookUp(call, number, deadline);
                }, trunks, directory, logCalls ? new CallLog(settings.front().name()) : Story.NONE);
        service = new EnumService(suffix, settings.plan(), router,
                new Transactions(limits.questions(), settings.enumeration().keepAnswers().ms()),
                settings.enumeration().wayBack().ms());
        listener = new DnsListener(loop, service, router, limits.connections());
    }

    /** Starts a front; its module decides. Returns when its DNS port is open. */
    public static FrontServer start(FrontSettings settings, boolean logCalls)
            throws IOException, InterruptedException {
        return start(settings, null, logCalls);
    }

    /** Starts a front with another module in the place of the project's own, as a baseline. */
    public static FrontServer start(FrontSettings settings, Function<Front.Actions, Front> module,
            boolean logCalls) throws IOException, InterruptedException {
        FrontServer front = new FrontServer(settings, module, logCalls);
        try {
            front.open();
        } catch (IOException e) {
            front.close();
            throw e;
        }
        return front;
    }

    private void open() throws IOException, InterruptedException {
        trunks.start(router);
        sockets.start(resolver, router);
        listener.bind(settings.enumeration().listen().socket());
        loop.eventLoop().execute(() -> {
            directory.start(router, trunks);
            loop.start(() -> {
                listener.beat();
                router.beat(loop.now());
                trunks.flush();
            }, () -> {
                resolver.deliver(loop.now());
                router.settle(loop.now());
                trunks.flush();
            });
        });
        LOG.atInfo().addKeyValue("front", settings.front().name())
                .addKeyValue("enum", enumAddress().toString()).log("front started");
    }

    /** Where callers ask. */
    public InetSocketAddress enumAddress() {
        return listener.address();
    }

    /** Waits until the list has come and all its running servers can be sent to; false after the time. */
    public boolean awaitReady(long millis) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!call(trunks::ready)) {
            if (System.nanoTime() > until) {
                return false;
            }
            Thread.sleep(POLL_MS);
        }
        return true;
    }

    /** Makes the loop stand still for so long, as a fault for tests and scenarios. */
    public void stall(long millis) {
        loop.eventLoop().execute(() -> {
            try {
                Thread.sleep(millis);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** Calls open now, standing ones included. */
    public int openCalls() {
        return call(router::open);
    }

    /** Counts since the start; read them when the front is at rest. */
    public Counters counters() {
        return router.counters();
    }

    /** Takes no new calls, gives the open ones their answers, and ends; bounded by the drain limit. */
    public void drain() throws InterruptedException {
        LOG.atInfo().addKeyValue("front", settings.front().name()).log("draining");
        call(() -> {
            router.drain();
            listener.stopAccepting();
            return null;
        });
        long until = System.nanoTime() + (long) (settings.limits().drain().ms() * 1e6);
        while (call(router::unanswered) > 0 && System.nanoTime() < until) {
            Thread.sleep(POLL_MS);
        }
        close();
    }

    private <T> T call(Callable<T> what) {
        try {
            return loop.eventLoop().submit(what).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    /** Ends at once, as a crash would look from outside: open calls get no answer. */
    @Override
    public synchronized void close() {
        if (closed) {
            return;
        }
        closed = true;
        loop.eventLoop().execute(() -> {
            loop.stop();
            if (listener.bound()) {
                listener.close();
            }
            trunks.close();
            sockets.close();
            directory.close();
        });
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
