package damsonseam.front;

import damsonseam.config.FrontSettings;
import damsonseam.core.NumberPlan;
import damsonseam.core.Router;
import damsonseam.dns.EnumService;
import damsonseam.dns.FastPathQuery;
import damsonseam.loop.CoreLoop;
import damsonseam.overload.AdmissionController;
import damsonseam.overload.HeavySenderDetector;
import damsonseam.overload.WorthRanks;
import io.netty.channel.Channel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Serves DNS over UDP and TCP on one port (RFC 1035 4.2, RFC 7766). Hands the queries admitted by the
 * {@link DatagramIntake} and those received over TCP to the ENUM service on the front's event loop.
 */
final class DnsListener {
    /** Limit of queries handled per event-loop iteration, so that timers and signalling are not starved. */
    private static final int MAX_QUERIES_PER_ITERATION = 64;
    /** Limit of attempts with a system-chosen UDP port: the TCP port of the same number may be in use. */
    private static final int MAX_BIND_ATTEMPTS = 20;

    private final CoreLoop loop;
    private final EnumService enumService;
    private final Router router;
    private final EnumService.AdmissionControl streamAdmissionControl;
    private final QueryQueue queue;
    private final FrontLoadState frontLoad;
    private final DatagramIntake intake;
    private final StreamListener streams;
    private double lastDrainAt;
    private int takenInDrain;
    private boolean backlog;

    DnsListener(
            CoreLoop loop,
            EnumService service,
            Router router,
            FrontSettings settings,
            NumberPlan plan,
            FastPathQuery.WireSuffix suffix,
            Supplier<AdmissionController> admission) {
        this.loop = loop;
        this.enumService = service;
        this.router = router;
        WorthRanks ranks = settings.ranks();
        queue = new QueryQueue(ranks.count(), settings.overload().queue());
        frontLoad = new FrontLoadState(queue, ranks.count(), FrontSettings.TICK_MS);
        intake = new DatagramIntake(loop, settings, suffix, plan, admission.get(), frontLoad, queue, this::drain);
        AdmissionController streamAdmission = admission.get();
        streamAdmissionControl = (now, callClass, source) ->
                streamAdmission.decide(now, ranks.rankOfClass(callClass), senderHash(source), frontLoad);
        streams = new StreamListener(
                loop, service, router, streamAdmissionControl, settings.limits().connections());
    }

    /** Returns the hash that identifies the sender, given as the source address or the TCP channel. */
    private static long senderHash(Object source) {
        InetSocketAddress address = (InetSocketAddress) (source instanceof Channel c ? c.remoteAddress() : source);
        return address == null
                ? 0
                : HeavySenderDetector.senderKey(address.getAddress().getAddress());
    }

    /** Binds UDP and TCP to the same port; with port 0 the system chooses a port that is free for both. */
    void bind(InetSocketAddress address) throws IOException, InterruptedException {
        for (int attempt = 1; ; attempt++) {
            InetSocketAddress bound = intake.bind(address);
            try {
                streams.bind(bound);
                intake.start();
                return;
            } catch (IOException e) {
                intake.unbind();
                if (address.getPort() != 0 || attempt == MAX_BIND_ATTEMPTS) {
                    throw e;
                }
            }
        }
    }

    InetSocketAddress address() {
        return intake.address();
    }

    FrontLoadState frontLoad() {
        return frontLoad;
    }

    DatagramIntake intake() {
        return intake;
    }

    StreamListener streams() {
        return streams;
    }

    /** Handles queued queries, highest worth first, up to a limit per event-loop iteration. */
    private void drain() {
        double now = loop.now();
        router.fireOverdueTimers(now);
        frontLoad.recordIteration(now);
        if (backlog && takenInDrain == MAX_QUERIES_PER_ITERATION) {
            frontLoad.recordBatch(now - lastDrainAt, takenInDrain);
        }
        lastDrainAt = now;
        takenInDrain = 0;
        for (QueryQueue.QueuedQuery next = queue.poll();
                next != null;
                next = takenInDrain < MAX_QUERIES_PER_ITERATION ? queue.poll() : null) {
            handle(next);
            takenInDrain++;
        }
        backlog = queue.sizeFrom(0) > 0;
        loop.scheduleBatchEnd();
        if (backlog || !intake.rearmDrain()) {
            // Scheduled, not executed: the event loop reads its sockets between two drains.
            loop.eventLoop().schedule(this::drain, 0, TimeUnit.NANOSECONDS);
        }
    }

    private void handle(QueryQueue.QueuedQuery queued) {
        double now = loop.now();
        double ageMs = now - queued.readAtMs() + queued.socketAgeMs();
        EnumService.ResponseSender reply = answer -> intake.sendAnswer(queued.sender(), answer);
        if (queued.fastPathQuery() != null) {
            enumService.handleQuery(now, queued.sender(), ageMs, queued.fastPathQuery(), queued.entry(), reply);
        } else {
            enumService.handleQuery(
                    now, queued.sender(), false, ageMs, queued.message(), streamAdmissionControl, reply);
        }
    }

    /** Closes the TCP server socket; existing connections stay open. */
    void stopAccepting() {
        streams.close();
    }

    void close() {
        intake.close();
        if (streams.isBound()) {
            streams.close();
        }
    }
}
