package damsonseam.front;

import damsonseam.config.FrontSettings;
import damsonseam.core.NumberPlan;
import damsonseam.core.QueueAgeEstimator;
import damsonseam.dns.DnsCodec;
import damsonseam.dns.EnumResponses;
import damsonseam.dns.EnumService;
import damsonseam.dns.FastPathQuery;
import damsonseam.dns.FastPathResponse;
import damsonseam.loop.CoreLoop;
import damsonseam.overload.AdmissionController;
import damsonseam.overload.DecisionCache;
import damsonseam.overload.HeavySenderDetector;
import damsonseam.overload.LoopDelayGauge;
import damsonseam.overload.WorthRanks;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.security.SecureRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jctools.queues.MpscArrayQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Receives DNS queries over UDP on a thread of its own, applies admission control to them and queues the admitted ones
 * for the front's event loop by worth. The event loop may be busy for tens of milliseconds. In that time the socket's
 * receive buffer would overflow, and the kernel drops datagrams regardless of their worth. Reading continuously and
 * refusing here costs a fraction of what a call costs, and the event loop never sees a refused query.
 *
 * <p>All state is confined to the intake thread, except for the query queue and {@link #sendAnswer}.
 */
final class DatagramIntake {
    private static final Logger LOG = LoggerFactory.getLogger(DatagramIntake.class);
    private static final int MAX_DATAGRAM_BYTES = 4096;
    private static final int MAX_DATAGRAMS_PER_READ = 64;
    private static final int RECEIVE_BUFFER_BYTES = 4 << 20;
    private static final int SEND_BUFFER_BYTES = 1 << 20;
    /** Answers that may wait for the intake thread to send them; any further one is submitted as a task of its own. */
    private static final int MAX_PENDING_ANSWERS = 1 << 14;

    private static final int NONCE_BYTES = 16;
    /** Recorded decision about a query whose caller's patience was over when it was read: answered as failed. */
    private static final long EXPIRED = Long.MAX_VALUE;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop intakeLoop = (EventLoop) group.next();
    private final CoreLoop loop;
    private final FastPathQuery.WireSuffix suffix;
    private final NumberPlan numberPlan;
    private final WorthRanks ranks;
    private final AdmissionController admission;
    private final FrontLoadState frontLoad;
    private final QueryQueue queue;
    private final DecisionCache recentDecisions;
    private final double returnDelayMs;
    private final long queueFullRetryAfterMs;
    private final Runnable drainTask;
    private final AtomicBoolean drainScheduled = new AtomicBoolean();
    private final MpscArrayQueue<DatagramPacket> pendingAnswers = new MpscArrayQueue<>(MAX_PENDING_ANSWERS);
    private final AtomicBoolean flushScheduled = new AtomicBoolean();
    private final QueueAgeEstimator queueAge;
    private final LoopDelayGauge loopDelayGauge = new LoopDelayGauge(FrontSettings.TICK_MS);
    private final Counters counters;
    private Channel channel;
    private DatagramChannel datagramChannel;
    private InetSocketAddress ownAddress;

    /** Counters of the intake thread for reports. Other threads read them without synchronization. */
    static final class Counters {
        long queriesRead;
        long retransmitted;
        long expired;
        long queueFull;
        long slowPath;
        final long[] offered;
        final long[] refused;

        Counters(int ranks) {
            offered = new long[ranks];
            refused = new long[ranks];
        }

        private Counters(Counters other) {
            queriesRead = other.queriesRead;
            retransmitted = other.retransmitted;
            expired = other.expired;
            queueFull = other.queueFull;
            slowPath = other.slowPath;
            offered = other.offered.clone();
            refused = other.refused.clone();
        }
    }

    /**
     * Creates an intake that is not bound yet.
     *
     * @param drainTask task to run on the event loop when the queue has become non-empty
     */
    DatagramIntake(
            CoreLoop loop,
            FrontSettings settings,
            FastPathQuery.WireSuffix suffix,
            NumberPlan numberPlan,
            AdmissionController admission,
            FrontLoadState frontLoad,
            QueryQueue queue,
            Runnable drainTask) {
        this.loop = loop;
        this.suffix = suffix;
        this.numberPlan = numberPlan;
        this.ranks = settings.ranks();
        this.admission = admission;
        this.frontLoad = frontLoad;
        this.queue = queue;
        this.returnDelayMs = settings.enumSettings().wayBack().ms();
        double maxPatienceMs = settings.numbers().stream()
                .mapToDouble(n -> n.patience().ms())
                .max()
                .orElse(0);
        recentDecisions = new DecisionCache(
                maxPatienceMs + settings.enumSettings().keepAnswers().ms(),
                settings.limits().questions());
        counters = new Counters(ranks.count());
        queueFullRetryAfterMs = Math.round(settings.fleet().maxReturnAdvice().ms());
        this.drainTask = drainTask;
        byte[] nonce = new byte[NONCE_BYTES];
        new SecureRandom().nextBytes(nonce);
        queueAge = new QueueAgeEstimator(nonce, FrontSettings.TICK_MS);
    }

    /** Binds the socket. Reading starts with {@link #start}. */
    InetSocketAddress bind(InetSocketAddress address) throws IOException, InterruptedException {
        DatagramChannel openedChannel = DatagramChannel.open();
        Bootstrap bootstrap = new Bootstrap()
                .group(intakeLoop)
                .channelFactory(() -> new NioDatagramChannel(openedChannel))
                .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                .option(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES).maxMessagesPerRead(MAX_DATAGRAMS_PER_READ))
                .option(ChannelOption.AUTO_READ, false)
                .handler(new Handler());
        var bound = bootstrap.bind(address).await();
        if (!bound.isSuccess()) {
            throw new BindException("cannot listen for DNS over UDP on " + address + ": "
                    + bound.cause().getMessage());
        }
        channel = bound.channel();
        datagramChannel = openedChannel;
        InetSocketAddress boundAddress = (InetSocketAddress) channel.localAddress();
        ownAddress = boundAddress.getAddress().isAnyLocalAddress()
                ? new InetSocketAddress(InetAddress.getLoopbackAddress(), boundAddress.getPort())
                : boundAddress;
        return boundAddress;
    }

    /** Starts reading, and the tick that measures how long this thread and the socket's buffer lag. */
    void start() {
        long tickNs = (long) (FrontSettings.TICK_MS * 1_000_000);
        intakeLoop.scheduleWithFixedDelay(
                () -> {
                    double now = loop.now();
                    loopDelayGauge.recordTick(now);
                    channel.writeAndFlush(
                            new DatagramPacket(Unpooled.wrappedBuffer(queueAge.createMarker(now)), ownAddress));
                },
                0,
                tickNs,
                TimeUnit.NANOSECONDS);
        channel.config().setAutoRead(true);
    }

    void unbind() throws InterruptedException {
        channel.close().sync();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /**
     * Sends an answer from the event loop's thread; a datagram socket may be written by one thread while another reads
     * it. Sending directly avoids a hand-over between threads, in which a pause could fall between the decision that a
     * call is established and its answer. If the socket's send buffer is full the answer waits for
     * {@link #flushAnswers}.
     */
    void sendAnswer(InetSocketAddress to, byte[] message) {
        try {
            if (datagramChannel.send(ByteBuffer.wrap(message), to) > 0) {
                return;
            }
        } catch (IOException e) {
            // The caller is unreachable or the front is closing; the answer is lost, as any datagram may be.
            LOG.atInfo()
                    .addKeyValue("to", to.toString())
                    .addKeyValue("error", e.toString())
                    .log("answer not sent");
            return;
        }
        DatagramPacket packet = new DatagramPacket(Unpooled.wrappedBuffer(message), to);
        if (!pendingAnswers.offer(packet)) {
            intakeLoop.execute(() -> channel.writeAndFlush(packet));
        }
    }

    /**
     * Re-enables scheduling of the drain task after the event loop has found the queue empty. While the event loop
     * drains the queue no further task is scheduled: tasks that arrive as fast as they run would starve its sockets
     * (ticks were then 57 ms late at the median).
     *
     * @return false if a query has arrived in the meantime and the caller must schedule the drain itself
     */
    boolean rearmDrain() {
        drainScheduled.set(false);
        return queue.sizeFrom(0) == 0 || !drainScheduled.compareAndSet(false, true);
    }

    /** Has the intake thread send the answers that are waiting, with one task for all of an event-loop iteration. */
    void flushAnswers() {
        if (!pendingAnswers.isEmpty() && flushScheduled.compareAndSet(false, true)) {
            intakeLoop.execute(() -> {
                flushScheduled.set(false);
                for (DatagramPacket packet = pendingAnswers.poll(); packet != null; packet = pendingAnswers.poll()) {
                    channel.write(packet);
                }
                channel.flush();
            });
        }
    }

    /** Runs a task on the intake thread, such as a pause injected as a fault. */
    void execute(Runnable task) {
        intakeLoop.execute(task);
    }

    /** Returns a copy of the current counters. */
    Counters counters() {
        return new Counters(counters);
    }

    LoopDelayGauge loopDelayGauge() {
        return loopDelayGauge;
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS);
    }

    // ---- Queries ----------------------------------------------------------------------------------------

    private void handleQuery(ChannelHandlerContext ctx, InetSocketAddress from, byte[] message) {
        double now = loop.now();
        counters.queriesRead++;
        FastPathQuery fastPathQuery = FastPathQuery.parse(message, suffix);
        NumberPlan.Entry entry = fastPathQuery == null ? null : numberPlan.find(fastPathQuery.number());
        if (entry == null) {
            counters.slowPath++;
            if (!enqueue(0, new QueryQueue.QueuedQuery(from, null, null, message, now, queueAge.maxAge(now)))
                    && message.length >= DnsCodec.HEADER_BYTES
                    && !DnsCodec.isResponse(message)) {
                writeAnswer(ctx, from, EnumResponses.headerOnlyRefusal(message));
            }
            return;
        }
        byte[] address = from.getAddress().getAddress();
        long fingerprint = fastPathQuery.fingerprint(HeavySenderDetector.hash(address) + from.getPort());
        int rank = ranks.rankOfClass(entry.callClass());
        QueryQueue.QueuedQuery queued =
                new QueryQueue.QueuedQuery(from, fastPathQuery, entry, message, now, queueAge.maxAge(now));
        long remembered = recentDecisions.find(fingerprint, now);
        if (remembered != DecisionCache.UNKNOWN) {
            counters.retransmitted++;
            if (remembered == DecisionCache.ADMITTED) {
                // The call is open or answered, which the event loop knows; if the queue is full this copy is dropped.
                enqueue(rank, queued);
            } else {
                refuse(ctx, queued, remembered);
            }
            return;
        }
        counters.offered[rank]++;
        double patienceMs = fastPathQuery.callOption().timeMs() > 0
                ? Math.min(fastPathQuery.callOption().timeMs(), entry.patience())
                : entry.patience();
        if (queued.socketAgeMs() > patienceMs - returnDelayMs - FrontSettings.ANSWER_SLACK_MS) {
            // The caller has given up or will have before an answer can arrive: fail at once, without a set-up.
            counters.expired++;
            recentDecisions.put(fingerprint, EXPIRED, now);
            refuse(ctx, queued, EXPIRED);
            return;
        }
        long retryAfterMs = admission.decide(now, rank, HeavySenderDetector.senderKey(address), frontLoad);
        if (retryAfterMs == AdmissionController.ADMIT) {
            if (enqueue(rank, queued)) {
                recentDecisions.put(fingerprint, DecisionCache.ADMITTED, now);
                return;
            }
            counters.queueFull++;
            retryAfterMs = queueFullRetryAfterMs;
        }
        counters.refused[rank]++;
        recentDecisions.put(fingerprint, retryAfterMs, now);
        refuse(ctx, queued, retryAfterMs);
    }

    private void refuse(ChannelHandlerContext ctx, QueryQueue.QueuedQuery query, long retryAfterMs) {
        FastPathQuery fastPathQuery = query.fastPathQuery();
        writeAnswer(
                ctx,
                query.sender(),
                retryAfterMs == EXPIRED
                        ? FastPathResponse.encodeFailed(
                                fastPathQuery, "waited unread too long", fastPathQuery.maxResponseBytes())
                        : FastPathResponse.encodeRefused(
                                fastPathQuery, retryAfterMs, EnumService.FRONT_BUSY, fastPathQuery.maxResponseBytes()));
    }

    private static void writeAnswer(ChannelHandlerContext ctx, InetSocketAddress to, byte[] message) {
        if (message != null) {
            ctx.write(new DatagramPacket(Unpooled.wrappedBuffer(message), to), ctx.voidPromise());
        }
    }

    private boolean enqueue(int rank, QueryQueue.QueuedQuery query) {
        if (!queue.offer(rank, query)) {
            return false;
        }
        if (drainScheduled.compareAndSet(false, true)) {
            loop.eventLoop().execute(drainTask);
        }
        return true;
    }

    private final class Handler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            byte[] message = ByteBufUtil.getBytes(packet.content());
            if (!queueAge.consumeMarker(message)) {
                handleQuery(ctx, packet.sender(), message);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            ctx.flush();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // For example an ICMP port unreachable for an earlier answer. The socket serves all callers and stays open.
            LOG.atWarn().addKeyValue("error", cause.toString()).log("DNS over UDP");
        }
    }
}
