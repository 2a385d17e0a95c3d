package damsonseam.front;

import damsonseam.config.FrontSettings;
import damsonseam.core.NumberPlan;
import damsonseam.core.QueueAge;
import damsonseam.dns.DnsCodec;
import damsonseam.dns.EnumResponses;
import damsonseam.dns.EnumService;
import damsonseam.dns.FastPathQuery;
import damsonseam.dns.FastPathResponse;
import damsonseam.loop.Loop;
import damsonseam.overload.Admission;
import damsonseam.overload.HeavySenders;
import damsonseam.overload.LoopGauge;
import damsonseam.overload.Ranks;
import damsonseam.overload.Remembered;
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
 * Reads the front's datagram socket on a thread of its own, turns away what the front can't take, and hands the rest
 * to the loop by worth. The loop may be held up for tens of milliseconds; the socket's buffer would be full by then,
 * and what the system drops there it drops whatever it is worth. So the socket is always read, a question is refused
 * for a fraction of what a call costs, and the loop never sees what was refused.
 *
 * <p>Everything here but the hand-over of questions and {@link #answer} belongs to this thread alone.
 */
final class Intake {
    private static final Logger LOG = LoggerFactory.getLogger(Intake.class);
    private static final int UDP_OCTETS = 4096;
    private static final int READ_AT_ONCE = 64;
    private static final int RECEIVE_BUFFER = 4 << 20;
    private static final int SEND_BUFFER = 1 << 20;
    /** Answers of the loop that may wait for this thread; one more is handed over by itself. */
    private static final int ANSWERS = 1 << 14;

    private static final int NONCE = 16;
    /** Decided: told that its time was over when it was read. */
    private static final long TOO_OLD = Long.MAX_VALUE;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop thread = (EventLoop) group.next();
    private final Loop loop;
    private final FastPathQuery.WireSuffix suffix;
    private final NumberPlan plan;
    private final Ranks ranks;
    private final Admission admission;
    private final FrontLoad load;
    private final CallQueue queue;
    private final Remembered remembered;
    private final double wayBack;
    private final long fullAdvice;
    private final Runnable wake;
    private final AtomicBoolean woken = new AtomicBoolean();
    private final MpscArrayQueue<DatagramPacket> answers = new MpscArrayQueue<>(ANSWERS);
    private final AtomicBoolean answering = new AtomicBoolean();
    private final QueueAge age;
    private final LoopGauge gauge = new LoopGauge(FrontSettings.TICK_MS);
    private final Counts counts;
    private Channel socket;
    private DatagramChannel direct;
    private InetSocketAddress self;

    /** Counts of this thread, for reports; read when it is at rest, or as good as. */
    static final class Counts {
        long read;
        long repeated;
        long tooOld;
        long queueFull;
        long theLongWay;
        final long[] offered;
        final long[] refused;

        Counts(int ranks) {
            offered = new long[ranks];
            refused = new long[ranks];
        }

        private Counts(Counts of) {
            read = of.read;
            repeated = of.repeated;
            tooOld = of.tooOld;
            queueFull = of.queueFull;
            theLongWay = of.theLongWay;
            offered = of.offered.clone();
            refused = of.refused.clone();
        }
    }

    /** What an intake works with; {@code drain} is run by the loop when there is something in the queue. */
    Intake(
            Loop loop,
            FrontSettings settings,
            FastPathQuery.WireSuffix suffix,
            NumberPlan plan,
            Admission admission,
            FrontLoad load,
            CallQueue queue,
            Runnable drain) {
        this.loop = loop;
        this.suffix = suffix;
        this.plan = plan;
        this.ranks = settings.ranks();
        this.admission = admission;
        this.load = load;
        this.queue = queue;
        wayBack = settings.enumSettings().wayBack().ms();
        double patience = settings.numbers().stream()
                .mapToDouble(n -> n.patience().ms())
                .max()
                .orElse(0);
        remembered = new Remembered(
                patience + settings.enumSettings().keepAnswers().ms(),
                settings.limits().questions());
        counts = new Counts(ranks.count());
        fullAdvice = Math.round(settings.fleet().maxReturnAdvice().ms());
        wake = drain;
        byte[] nonce = new byte[NONCE];
        new SecureRandom().nextBytes(nonce);
        age = new QueueAge(nonce, FrontSettings.TICK_MS);
    }

    /** Binds the socket; reading starts with {@link #start}. */
    InetSocketAddress bind(InetSocketAddress at) throws IOException, InterruptedException {
        DatagramChannel opened = DatagramChannel.open();
        Bootstrap bootstrap = new Bootstrap()
                .group(thread)
                .channelFactory(() -> new NioDatagramChannel(opened))
                .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER)
                .option(ChannelOption.SO_SNDBUF, SEND_BUFFER)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(UDP_OCTETS).maxMessagesPerRead(READ_AT_ONCE))
                .option(ChannelOption.AUTO_READ, false)
                .handler(new Handler());
        var bound = bootstrap.bind(at).await();
        if (!bound.isSuccess()) {
            throw new BindException(
                    "DNS over UDP on " + at + ": " + bound.cause().getMessage());
        }
        socket = bound.channel();
        direct = opened;
        InetSocketAddress chosen = (InetSocketAddress) socket.localAddress();
        self = chosen.getAddress().isAnyLocalAddress()
                ? new InetSocketAddress(InetAddress.getLoopbackAddress(), chosen.getPort())
                : chosen;
        return chosen;
    }

    /** Starts reading. */
    void start() {
        long every = (long) (FrontSettings.TICK_MS * 1_000_000);
        thread.scheduleWithFixedDelay(
                () -> {
                    double now = loop.now();
                    gauge.beat(now);
                    socket.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(age.marker(now)), self));
                },
                0,
                every,
                TimeUnit.NANOSECONDS);
        socket.config().setAutoRead(true);
    }

    void unbind() throws InterruptedException {
        socket.close().sync();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) socket.localAddress();
    }

    /**
     * An answer of the loop. It is sent by the loop itself, as a datagram socket may be written by one thread while
     * another reads it. Guards against a stop between the decision that a call stands and its answer: nothing is
     * handed over in between. Where the system has no room at the moment it goes out with {@link #flush}.
     */
    void answer(InetSocketAddress to, byte[] octets) {
        try {
            if (direct.send(ByteBuffer.wrap(octets), to) > 0) {
                return;
            }
        } catch (IOException e) {
            // Nobody can be reached there, or the front is closing: the answer is lost, as datagrams may be.
            LOG.atInfo()
                    .addKeyValue("to", to.toString())
                    .addKeyValue("error", e.toString())
                    .log("answer not sent");
            return;
        }
        DatagramPacket packet = new DatagramPacket(Unpooled.wrappedBuffer(octets), to);
        if (!answers.offer(packet)) {
            thread.execute(() -> socket.writeAndFlush(packet));
        }
    }

    /**
     * The loop has found the queue empty and is to be woken again; false where something came in between, which the
     * loop then has to see to itself. While the loop empties the queue nothing wakes it: tasks that come as fast as
     * they are run would keep it from its sockets (measured: beats 57 ms late at the median).
     */
    boolean rest() {
        woken.set(false);
        return queue.from(0) == 0 || !woken.compareAndSet(false, true);
    }

    /** Wakes this thread once for all answers of a turn. */
    void flush() {
        if (!answers.isEmpty() && answering.compareAndSet(false, true)) {
            thread.execute(() -> {
                answering.set(false);
                for (DatagramPacket p = answers.poll(); p != null; p = answers.poll()) {
                    socket.write(p);
                }
                socket.flush();
            });
        }
    }

    /** Makes this thread stand still, as a fault. */
    void stall(Runnable sleep) {
        thread.execute(sleep);
    }

    /** The counts as they stand. */
    Counts counts() {
        return new Counts(counts);
    }

    LoopGauge gauge() {
        return gauge;
    }

    void close() {
        if (socket != null) {
            socket.close();
        }
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS);
    }

    // ---- Questions --------------------------------------------------------------------------------------

    private void question(ChannelHandlerContext ctx, InetSocketAddress from, byte[] octets) {
        double now = loop.now();
        counts.read++;
        FastPathQuery plain = FastPathQuery.parse(octets, suffix);
        NumberPlan.Entry entry = plain == null ? null : plan.find(plain.number());
        if (entry == null) {
            counts.theLongWay++;
            if (!hand(0, new CallQueue.Waiting(from, null, null, octets, now, age.age(now)))
                    && octets.length >= DnsCodec.HEADER_BYTES
                    && !DnsCodec.isResponse(octets)) {
                send(ctx, from, EnumResponses.headerOnlyRefusal(octets));
            }
            return;
        }
        byte[] address = from.getAddress().getAddress();
        long fingerprint = plain.fingerprint(HeavySenders.hash(address) + from.getPort());
        int rank = ranks.of(entry.callClass());
        CallQueue.Waiting waiting = new CallQueue.Waiting(from, plain, entry, octets, now, age.age(now));
        long known = remembered.find(fingerprint, now);
        if (known != Remembered.UNKNOWN) {
            counts.repeated++;
            if (known == Remembered.TAKEN) {
                // Its call is open or answered, and the loop knows how; with no room it is as if lost on the way.
                hand(rank, waiting);
            } else {
                refuse(ctx, waiting, known);
            }
            return;
        }
        counts.offered[rank]++;
        double patience = plain.callOption().timeMs() > 0
                ? Math.min(plain.callOption().timeMs(), entry.patience())
                : entry.patience();
        if (waiting.age() > patience - wayBack - FrontSettings.ANSWER_SLACK_MS) {
            // Its caller has gone, or will have before the answer is there: told so at once, and not set up.
            counts.tooOld++;
            remembered.put(fingerprint, TOO_OLD, now);
            refuse(ctx, waiting, TOO_OLD);
            return;
        }
        long advice = admission.decide(now, rank, HeavySenders.sender(address), load);
        if (advice == Admission.TAKE) {
            if (hand(rank, waiting)) {
                remembered.put(fingerprint, Remembered.TAKEN, now);
                return;
            }
            counts.queueFull++;
            advice = fullAdvice;
        }
        counts.refused[rank]++;
        remembered.put(fingerprint, advice, now);
        refuse(ctx, waiting, advice);
    }

    private void refuse(ChannelHandlerContext ctx, CallQueue.Waiting question, long advice) {
        FastPathQuery asked = question.plain();
        send(
                ctx,
                question.from(),
                advice == TOO_OLD
                        ? FastPathResponse.encodeFailed(asked, "waited unread too long", asked.maxResponseBytes())
                        : FastPathResponse.encodeRefused(
                                asked, advice, EnumService.FRONT_BUSY, asked.maxResponseBytes()));
    }

    private static void send(ChannelHandlerContext ctx, InetSocketAddress to, byte[] octets) {
        if (octets != null) {
            ctx.write(new DatagramPacket(Unpooled.wrappedBuffer(octets), to), ctx.voidPromise());
        }
    }

    private boolean hand(int rank, CallQueue.Waiting question) {
        if (!queue.offer(rank, question)) {
            return false;
        }
        if (woken.compareAndSet(false, true)) {
            loop.eventLoop().execute(wake);
        }
        return true;
    }

    private final class Handler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            byte[] octets = ByteBufUtil.getBytes(packet.content());
            if (!age.read(octets)) {
                question(ctx, packet.sender(), octets);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            ctx.flush();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A port unreachable of an earlier answer, for example: the socket serves all callers and stays.
            LOG.atWarn().addKeyValue("error", cause.toString()).log("DNS over UDP");
        }
    }
}
