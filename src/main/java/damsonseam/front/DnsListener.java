package damsonseam.front;

import damsonseam.config.FrontSettings;
import damsonseam.core.NumberPlan;
import damsonseam.core.Router;
import damsonseam.dns.EnumService;
import damsonseam.dns.FastPathQuery;
import damsonseam.loop.Loop;
import damsonseam.overload.Admission;
import damsonseam.overload.HeavySenders;
import damsonseam.overload.Ranks;
import io.netty.channel.Channel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * DNS over UDP and TCP on one port (RFC 1035 4.2, RFC 7766): what the {@link Intake} lets through, and what comes on
 * streams, is handed to the ENUM service in the front's loop.
 */
final class DnsListener {
    /** Questions taken in one turn at most: timers and signalling get their turn after these. */
    private static final int AT_ONCE = 64;
    /** Ports tried where the system chooses: the TCP port of the same number may be taken. */
    private static final int PORT_TRIES = 20;

    private final Loop loop;
    private final EnumService service;
    private final Router router;
    private final EnumService.AdmissionControl gate;
    private final CallQueue queue;
    private final FrontLoad load;
    private final Intake intake;
    private final StreamListener streams;
    private double drainedAt;
    private int taken;
    private boolean backlog;

    DnsListener(
            Loop loop,
            EnumService service,
            Router router,
            FrontSettings settings,
            NumberPlan plan,
            FastPathQuery.WireSuffix suffix,
            Supplier<Admission> admission) {
        this.loop = loop;
        this.service = service;
        this.router = router;
        Ranks ranks = settings.ranks();
        queue = new CallQueue(ranks.count(), settings.overload().queue());
        load = new FrontLoad(queue, ranks.count(), FrontSettings.TICK_MS);
        intake = new Intake(loop, settings, suffix, plan, admission.get(), load, queue, this::drain);
        Admission forStreams = admission.get();
        gate = (now, callClass, source) -> forStreams.decide(now, ranks.of(callClass), sender(source), load);
        streams = new StreamListener(
                loop, service, router, gate, settings.limits().connections());
    }

    /** Who asks, for a question that came from an address or over a connection. */
    private static long sender(Object source) {
        InetSocketAddress from = (InetSocketAddress) (source instanceof Channel c ? c.remoteAddress() : source);
        return from == null ? 0 : HeavySenders.sender(from.getAddress().getAddress());
    }

    /** Binds UDP and TCP to one port; with port 0 the system chooses one that is free for both. */
    void bind(InetSocketAddress at) throws IOException, InterruptedException {
        for (int i = 1; ; i++) {
            InetSocketAddress chosen = intake.bind(at);
            try {
                streams.bind(chosen);
                intake.start();
                return;
            } catch (IOException e) {
                intake.unbind();
                if (at.getPort() != 0 || i == PORT_TRIES) {
                    throw e;
                }
            }
        }
    }

    InetSocketAddress address() {
        return intake.address();
    }

    FrontLoad load() {
        return load;
    }

    Intake intake() {
        return intake;
    }

    StreamListener streams() {
        return streams;
    }

    /** Takes what is queued, the dearest first, a bounded number a turn. */
    private void drain() {
        double now = loop.now();
        router.catchUp(now);
        load.turned(now);
        if (backlog && taken == AT_ONCE) {
            load.batch(now - drainedAt, taken);
        }
        drainedAt = now;
        taken = 0;
        for (CallQueue.Waiting next = queue.poll(); next != null; next = taken < AT_ONCE ? queue.poll() : null) {
            take(next);
            taken++;
        }
        backlog = queue.from(0) > 0;
        loop.kick();
        if (backlog || !intake.rest()) {
            // Not at once: what else has come is read between two of these.
            loop.eventLoop().schedule(this::drain, 0, TimeUnit.NANOSECONDS);
        }
    }

    private void take(CallQueue.Waiting next) {
        double now = loop.now();
        double age = now - next.readAt() + next.age();
        EnumService.ResponseSender reply = octets -> intake.answer(next.from(), octets);
        if (next.plain() != null) {
            service.handleQuery(now, next.from(), age, next.plain(), next.entry(), reply);
        } else {
            service.handleQuery(now, next.from(), false, age, next.octets(), gate, reply);
        }
    }

    /** Takes no more questions over new connections; open ones go on. */
    void stopAccepting() {
        streams.close();
    }

    void close() {
        intake.close();
        if (streams.bound()) {
            streams.close();
        }
    }
}
