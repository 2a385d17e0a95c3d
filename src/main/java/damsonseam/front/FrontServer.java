package damsonseam.front;

import damsonseam.Decide;
import damsonseam.Front;
import damsonseam.config.Endpoint;
import damsonseam.config.FrontSettings;
import damsonseam.core.CallTable;
import damsonseam.core.Counters;
import damsonseam.core.NumberPlan;
import damsonseam.core.Router;
import damsonseam.core.RouterSettings;
import damsonseam.core.Story;
import damsonseam.dns.AuthoritySelector;
import damsonseam.dns.E164Name;
import damsonseam.dns.EnumService;
import damsonseam.dns.FastPathQuery;
import damsonseam.dns.LookupCache;
import damsonseam.dns.Resolver;
import damsonseam.dns.TransactionTable;
import damsonseam.loop.CallLog;
import damsonseam.loop.Loop;
import damsonseam.overload.Admission;
import damsonseam.overload.Gate;
import damsonseam.overload.LoopGauge;
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
import java.util.function.Supplier;
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
    private final SelfWatch watch;
    private boolean closed;

    /**
     * What may stand in the place of a front's own parts, for baselines.
     *
     * @param module makes the decision module
     * @param admission makes what admits calls, once for datagrams and once for streams
     */
    public record Components(Function<Front.Actions, Front> module, Supplier<Admission> admission) {
        /** The project's own. */
        public static Components defaults(FrontSettings settings) {
            long seed = settings.front().seed() == null
                    ? new SecureRandom().nextLong()
                    : settings.front().seed();
            return new Components(
                    actions -> new Decide(settings.moduleSettings(seed), actions),
                    () -> new Gate(settings.overloadSettings(), settings.ranks().count(), seed));
        }
    }

    private FrontServer(FrontSettings settings, Components parts, boolean logCalls)
            throws IOException, InterruptedException {
        this.settings = settings;
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop eventLoop = (EventLoop) group.next();
        loop = new Loop(eventLoop, FrontSettings.TICK_MS);
        trunks = new TrunkLinks(loop, settings);
        directory = new DirectoryClient(
                loop, settings.front().name(), settings.directory().address().toSocketAddress());
        List<InetSocketAddress> authorities = settings.upstream().authorities().stream()
                .map(Endpoint::toSocketAddress)
                .toList();
        sockets = new ResolverSockets(loop, authorities, settings.upstream().sockets());
        FrontSettings.Limits limits = settings.limits();
        Name suffix = E164Name.parseSuffix(settings.enumSettings().suffix());
        Name zone = settings.upstream().suffix() == null
                ? suffix
                : E164Name.parseSuffix(settings.upstream().suffix());
        LookupCache cache =
                new LookupCache(limits.numbers(), settings.upstream().staleFor().ms());
        resolver = new Resolver(
                zone,
                cache,
                new AuthoritySelector(authorities.size()),
                loop.timers(),
                new SecureRandom().nextLong(),
                new Resolver.Limits(
                        settings.upstream().sockets(),
                        settings.upstream().tries(),
                        limits.lookups(),
                        settings.upstream().staleAfter().ms()),
                sockets);
        router = new Router(
                new RouterSettings(
                        settings.moduleSettings(0),
                        limits.calls(),
                        FrontSettings.TICK_MS,
                        settings.trunks().releaseWait().ms(),
                        FrontSettings.ANSWER_SLACK_MS),
                parts.module(),
                new CallTable(limits.calls(), System.currentTimeMillis() / 1000),
                loop.timers(),
                (call, number, deadline) -> {
                    resolver.advanceClock(loop.now());
                    resolver.lookUp(call, number, deadline);
                },
                trunks,
                directory,
                logCalls ? new CallLog(settings.front().name()) : Story.NONE);
        NumberPlan plan = settings.numberPlan();
        service = new EnumService(
                suffix,
                plan,
                router,
                new TransactionTable(
                        limits.questions(),
                        settings.enumSettings().keepAnswers().ms()),
                settings.enumSettings().wayBack().ms());
        listener = new DnsListener(
                loop, service, router, settings, plan, new FastPathQuery.WireSuffix(suffix), parts.admission());
        watch = new SelfWatch(settings, router, resolver, cache, listener.load());
    }

    /** Starts a front; its module decides. Returns when its DNS port is open. */
    public static FrontServer start(FrontSettings settings, boolean logCalls) throws IOException, InterruptedException {
        return start(settings, Components.defaults(settings), logCalls);
    }

    /** Starts a front with other parts in the place of the project's own, as a baseline. */
    public static FrontServer start(FrontSettings settings, Components parts, boolean logCalls)
            throws IOException, InterruptedException {
        FrontServer front = new FrontServer(settings, parts, logCalls);
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
        listener.bind(settings.enumSettings().listen().toSocketAddress());
        loop.eventLoop().execute(() -> {
            directory.start(router, trunks);
            watch.start();
            loop.start(
                    () -> {
                        watch.beat(loop.now());
                        router.beat(loop.now());
                        trunks.flush();
                        listener.intake().flush();
                    },
                    () -> {
                        resolver.deliverKnownResults(loop.now());
                        double before = loop.now();
                        router.settle(before);
                        watch.moment(before, loop.now() - before);
                        trunks.flush();
                        listener.intake().flush();
                    });
        });
        LOG.atInfo()
                .addKeyValue("front", settings.front().name())
                .addKeyValue("enum", enumAddress().toString())
                .log("front started");
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

    /** Makes the front stand still for so long, as a fault for tests and scenarios. */
    public void pause(long millis) {
        listener.intake().stall(() -> sleep(millis));
        pauseLoop(millis);
    }

    /** Makes the loop alone stand still; the socket is read on. */
    void pauseLoop(long millis) {
        loop.eventLoop().execute(() -> sleep(millis));
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** What the front says of its run so far. */
    public FrontReport report() {
        return call(() -> {
            Counters c = router.counters();
            Intake.Counts in = listener.intake().counts();
            LoopGauge loopGauge = watch.gauge();
            LoopGauge intakeGauge = listener.intake().gauge();
            Vitals.Sample sample = watch.sample();
            return new FrontReport(
                    c.taken,
                    c.stood,
                    c.refused,
                    c.failed,
                    c.setUps,
                    in.read,
                    in.repeated,
                    in.tooOld,
                    in.queueFull,
                    in.offered,
                    in.refused,
                    loopGauge.percentile(50),
                    loopGauge.percentile(99),
                    loopGauge.most(),
                    intakeGauge.percentile(99),
                    intakeGauge.most(),
                    listener.load().perCall() * 1_000,
                    sample.loopOctets() / Math.max(1, c.taken),
                    sample.pausedMs(),
                    sample.heap(),
                    watch.cacheRoom(),
                    watch.seconds(),
                    watch.longestMoment(),
                    router.open(),
                    router.owed(),
                    watch.heldRoom());
        });
    }

    /** Forgets the delays measured so far, as at the end of a warm-up. */
    public void resetDelays() {
        call(() -> {
            watch.reset();
            return null;
        });
        listener.intake().stall(() -> listener.intake().gauge().reset());
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
            listener.close();
            watch.close();
            trunks.close();
            sockets.close();
            directory.close();
        });
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
