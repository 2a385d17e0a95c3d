package damsonseam.front;

import damsonseam.CongestionControlPolicy;
import damsonseam.RoutingPolicy;
import damsonseam.config.Endpoint;
import damsonseam.config.FrontSettings;
import damsonseam.core.CallTable;
import damsonseam.core.CallTracer;
import damsonseam.core.Counters;
import damsonseam.core.NumberPlan;
import damsonseam.core.Router;
import damsonseam.core.RouterSettings;
import damsonseam.dns.AuthoritySelector;
import damsonseam.dns.E164Name;
import damsonseam.dns.EnumService;
import damsonseam.dns.FastPathQuery;
import damsonseam.dns.LookupCache;
import damsonseam.dns.Resolver;
import damsonseam.dns.TransactionTable;
import damsonseam.loop.CallLog;
import damsonseam.loop.CoreLoop;
import damsonseam.overload.AdmissionController;
import damsonseam.overload.LevelAdmissionController;
import damsonseam.overload.LoopDelayGauge;
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

/**
 * A running front: sockets, core and routing policy on one event loop. Public methods may be called from any thread
 * but that event loop's.
 */
public final class FrontServer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(FrontServer.class);
    private static final int POLL_INTERVAL_MS = 10;

    private final FrontSettings settings;
    private final MultiThreadIoEventLoopGroup group;
    private final CoreLoop loop;
    private final Router router;
    private final Resolver resolver;
    private final EnumService enumService;
    private final DnsListener dnsListener;
    private final TrunkLinks trunks;
    private final ResolverSockets resolverSockets;
    private final DirectoryClient directory;
    private final SelfMonitor selfMonitor;
    private boolean closed;

    /**
     * The replaceable components of a front; measurements replace them to run baselines.
     *
     * @param policyFactory creates the routing policy, given the actions it may request
     * @param admission supplier of admission controllers, called once for UDP and once for TCP
     */
    public record Components(
            Function<RoutingPolicy.PolicyActions, RoutingPolicy> policyFactory,
            Supplier<AdmissionController> admission) {
        /** Returns the components of a regular front. */
        public static Components defaults(FrontSettings settings) {
            long seed = settings.front().seed() == null
                    ? new SecureRandom().nextLong()
                    : settings.front().seed();
            return new Components(
                    actions -> new CongestionControlPolicy(settings.policySettings(seed), actions),
                    () -> new LevelAdmissionController(
                            settings.overloadSettings(), settings.ranks().count(), seed));
        }
    }

    private FrontServer(FrontSettings settings, Components components, boolean logCalls)
            throws IOException, InterruptedException {
        this.settings = settings;
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop eventLoop = (EventLoop) group.next();
        loop = new CoreLoop(eventLoop, FrontSettings.TICK_MS);
        trunks = new TrunkLinks(loop, settings);
        directory = new DirectoryClient(
                loop, settings.front().name(), settings.directory().address().toSocketAddress());
        List<InetSocketAddress> authorities = settings.upstream().authorities().stream()
                .map(Endpoint::toSocketAddress)
                .toList();
        resolverSockets =
                new ResolverSockets(loop, authorities, settings.upstream().sockets());
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
                resolverSockets);
        router = new Router(
                new RouterSettings(
                        settings.policySettings(0),
                        limits.calls(),
                        FrontSettings.TICK_MS,
                        settings.trunks().releaseWait().ms(),
                        FrontSettings.ANSWER_SLACK_MS),
                components.policyFactory(),
                new CallTable(limits.calls(), System.currentTimeMillis() / 1000),
                loop.timers(),
                (call, number, deadline) -> {
                    resolver.advanceClock(loop.now());
                    resolver.lookUp(call, number, deadline);
                },
                trunks,
                directory,
                logCalls ? new CallLog(settings.front().name()) : CallTracer.NONE);
        NumberPlan plan = settings.numberPlan();
        enumService = new EnumService(
                suffix,
                plan,
                router,
                new TransactionTable(
                        limits.questions(),
                        settings.enumSettings().keepAnswers().ms()),
                settings.enumSettings().wayBack().ms());
        dnsListener = new DnsListener(
                loop,
                enumService,
                router,
                settings,
                plan,
                new FastPathQuery.WireSuffix(suffix),
                components.admission());
        selfMonitor = new SelfMonitor(settings, router, resolver, cache, dnsListener.frontLoad());
    }

    /** Starts a regular front. Returns when its DNS port is open. */
    public static FrontServer start(FrontSettings settings, boolean logCalls) throws IOException, InterruptedException {
        return start(settings, Components.defaults(settings), logCalls);
    }

    /** Starts a front with the given components. Returns when its DNS port is open. */
    public static FrontServer start(FrontSettings settings, Components components, boolean logCalls)
            throws IOException, InterruptedException {
        FrontServer front = new FrontServer(settings, components, logCalls);
        try {
            front.openSockets();
        } catch (IOException e) {
            front.close();
            throw e;
        }
        return front;
    }

    private void openSockets() throws IOException, InterruptedException {
        trunks.start(router);
        resolverSockets.start(resolver, router);
        dnsListener.bind(settings.enumSettings().listen().toSocketAddress());
        loop.eventLoop().execute(() -> {
            directory.start(router, trunks);
            selfMonitor.start();
            loop.start(
                    () -> {
                        selfMonitor.onTick(loop.now());
                        router.onTick(loop.now());
                        trunks.flush();
                        dnsListener.intake().flushAnswers();
                    },
                    () -> {
                        resolver.deliverKnownResults(loop.now());
                        double batchStart = loop.now();
                        router.endBatch(batchStart);
                        selfMonitor.recordBatch(batchStart, loop.now() - batchStart);
                        trunks.flush();
                        dnsListener.intake().flushAnswers();
                    });
        });
        LOG.atInfo()
                .addKeyValue("front", settings.front().name())
                .addKeyValue("enum", enumAddress().toString())
                .log("front started");
    }

    /** Returns the address of the DNS socket that serves callers. */
    public InetSocketAddress enumAddress() {
        return dnsListener.address();
    }

    /** Waits until the server list has arrived and all its running servers are reachable; returns false on timeout. */
    public boolean awaitReady(long millis) throws InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!callOnLoop(trunks::isReady)) {
            if (System.nanoTime() > deadlineNs) {
                return false;
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
        return true;
    }

    /** Pauses both threads of the front for {@code millis}, as a fault for tests and scenarios. */
    public void pause(long millis) {
        dnsListener.intake().execute(() -> sleep(millis));
        pauseLoop(millis);
    }

    /** Pauses the event loop only; the intake thread continues to read queries. */
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

    /** Returns the counters and measurements since the start. */
    public FrontReport report() {
        return callOnLoop(() -> {
            Counters counters = router.counters();
            DatagramIntake.Counters intake = dnsListener.intake().counters();
            LoopDelayGauge loopDelayGauge = selfMonitor.loopDelayGauge();
            LoopDelayGauge intakeDelayGauge = dnsListener.intake().loopDelayGauge();
            JvmMonitor.Sample sample = selfMonitor.latestSample();
            return new FrontReport(
                    counters.received,
                    counters.established,
                    counters.refused,
                    counters.failed,
                    counters.setUps,
                    intake.queriesRead,
                    intake.retransmitted,
                    intake.expired,
                    intake.queueFull,
                    intake.offered,
                    intake.refused,
                    loopDelayGauge.percentileMs(50),
                    loopDelayGauge.percentileMs(99),
                    loopDelayGauge.maxDelayMs(),
                    intakeDelayGauge.percentileMs(99),
                    intakeDelayGauge.maxDelayMs(),
                    dnsListener.frontLoad().costPerCallMs() * 1_000,
                    sample.loopAllocatedBytes() / Math.max(1, counters.received),
                    sample.collectorMs(),
                    sample.heapShare(),
                    selfMonitor.cacheShare(),
                    selfMonitor.secondsByCause(),
                    selfMonitor.longestBatchMs(),
                    router.openCalls(),
                    router.unansweredCalls(),
                    selfMonitor.heldCallLimit());
        });
    }

    /** Discards the delays measured so far, for example at the end of a warm-up. */
    public void resetDelays() {
        callOnLoop(() -> {
            selfMonitor.resetDelays();
            return null;
        });
        dnsListener.intake().execute(() -> dnsListener.intake().loopDelayGauge().reset());
    }

    /** Returns the number of open calls, including established ones. */
    public int openCalls() {
        return callOnLoop(router::openCalls);
    }

    /** Returns the live counters since the start. They are not synchronized: read them when the front is idle. */
    public Counters counters() {
        return router.counters();
    }

    /** Stops taking new calls, waits up to the drain limit until all open calls are answered, then closes the front. */
    public void drain() throws InterruptedException {
        LOG.atInfo().addKeyValue("front", settings.front().name()).log("front stopping");
        callOnLoop(() -> {
            router.startDraining();
            dnsListener.stopAccepting();
            return null;
        });
        long deadlineNs = System.nanoTime() + (long) (settings.limits().drain().ms() * 1e6);
        while (callOnLoop(router::countUnansweredCalls) > 0 && System.nanoTime() < deadlineNs) {
            Thread.sleep(POLL_INTERVAL_MS);
        }
        close();
    }

    private <T> T callOnLoop(Callable<T> task) {
        try {
            return loop.eventLoop().submit(task).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    /** Closes the front at once. Open calls get no answer: to the outside this looks like a crash. */
    @Override
    public synchronized void close() {
        if (closed) {
            return;
        }
        closed = true;
        loop.eventLoop().execute(() -> {
            loop.stop();
            dnsListener.close();
            selfMonitor.close();
            trunks.close();
            resolverSockets.close();
            directory.close();
        });
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
