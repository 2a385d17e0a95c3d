package damsonseam.standin;

import damsonseam.RoutingPolicy.ServerLoadReport;
import damsonseam.audit.WireLog;
import damsonseam.ss7.CalledPartyNumber;
import damsonseam.ss7.IsupMessage;
import damsonseam.ss7.IsupMessages;
import damsonseam.ss7.LoadReportParameter;
import damsonseam.ss7.M3uaMessage;
import damsonseam.ss7.M3uaMessage.Kind;
import damsonseam.ss7.ProtocolData;
import damsonseam.ss7.SignallingProtocolException;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;

/**
 * A stand-in calculator: M3UA and ISUP on a TCP port, a processor with one line behind it, a cold start, and
 * the ways in which one fails. All of it runs on one event loop; its methods may be called from any thread.
 */
public final class Calculator implements AutoCloseable {
    private static final int NOTHING = 0;
    private static final int PRESSED = 2;
    private static final byte[] NO_OCTETS = new byte[0];

    private final String id;
    private final int pointCode;
    private final CalculatorSettings settings;
    private final EventLoop loop;
    private final SplittableRandom random;
    private final ToDoubleFunction<String> meanHold;
    private final Consumer<String> cut;
    private final WireLog wire;
    private final long origin = System.nanoTime();
    private final Processor processor;
    private final List<Connection> connections = new ArrayList<>();
    private final ArrayDeque<Double> arrivals = new ArrayDeque<>();
    private InetSocketAddress address;
    private Channel listening;
    private double startedAt = Double.NEGATIVE_INFINITY;
    private double slowness = 1;
    private double lossShare;
    private boolean frozen;
    private boolean turnAll;
    private boolean fallen;
    private int life;
    private int held;
    private ServerLoadReport report = ServerLoadReport.NONE;
    private double reportAt = Double.NEGATIVE_INFINITY;

    /**
     * A calculator that is not started.
     *
     * @param meanHold mean length of a call to a number, in milliseconds
     * @param cut told the number of each standing call that is cut
     * @param wire where frames are written down, or null
     */
    public Calculator(
            String id,
            int pointCode,
            CalculatorSettings settings,
            EventLoop loop,
            long seed,
            ToDoubleFunction<String> meanHold,
            Consumer<String> cut,
            WireLog wire) {
        this.id = id;
        this.pointCode = pointCode;
        this.settings = settings;
        this.loop = loop;
        this.meanHold = meanHold;
        this.cut = cut;
        this.wire = wire;
        random = new SplittableRandom(seed);
        processor = new Processor(at -> {
            int of = life;
            Runnable alarm = () -> {
                if (of == life) {
                    wake();
                }
            };
            // The system's timers are no finer than a millisecond: what is nearer is done as soon as may be.
            if (at - now() < 0.5) {
                loop.execute(alarm);
            } else {
                loop.schedule(alarm, (long) ((at - now()) * 1e6), TimeUnit.NANOSECONDS);
            }
        });
    }

    private double now() {
        return (System.nanoTime() - origin) / 1e6;
    }

    private void wake() {
        if (!frozen) {
            processor.speed(warmth() / slowness);
            processor.wake(now());
        }
    }

    // ---- Life -------------------------------------------------------------------------------------------

    /** Listens, on the port that it had before if it had one; a cold one starts at a part of its capacity. */
    public void start(InetSocketAddress at, boolean cold) throws IOException, InterruptedException {
        if (address == null) {
            address = LoopbackPorts.lasting(at);
        }
        Channel bound = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(
                                        new LengthFieldBasedFrameDecoder(
                                                M3uaMessage.MAX_FRAME_BYTES, 4, 4, -M3uaMessage.HEADER_BYTES, 0),
                                        new Connection());
                    }
                })
                .bind(address)
                .sync()
                .channel();
        address = (InetSocketAddress) bound.localAddress();
        loop.submit(() -> {
                    listening = bound;
                    startedAt = cold ? now() : Double.NEGATIVE_INFINITY;
                    frozen = false;
                    fallen = false;
                    turnAll = false;
                    slowness = 1;
                    lossShare = 0;
                    if (wire != null && cold) {
                        wire.write("scenario", id, WireLog.STARTED, NO_OCTETS);
                    }
                })
                .sync();
    }

    /** The process dies: connections are reset, calls are cut, nothing listens. */
    public void crash() throws InterruptedException {
        loop.submit(this::die).sync();
    }

    private void die() {
        life++;
        if (listening != null) {
            listening.close();
            listening = null;
        }
        processor.clear();
        arrivals.clear();
        for (Connection connection : List.copyOf(connections)) {
            connection.reset();
        }
    }

    /** The machine goes silent: connections stay, nothing is answered. */
    public void freeze() {
        loop.execute(() -> frozen = true);
    }

    /** It goes on where it stopped. */
    public void thaw() {
        loop.execute(() -> {
            frozen = false;
            processor.resume(now());
        });
    }

    /** Work takes so many times longer. */
    public void slow(double times) {
        loop.execute(() -> slowness = times);
    }

    /** So great a share of its answers is lost on the way. */
    public void loseAnswers(double share) {
        loop.execute(() -> lossShare = share);
    }

    /** It turns all set-ups away, quickly. */
    public void turnAllAway(boolean on) {
        loop.execute(() -> turnAll = on);
    }

    /** Tells its connections that it can't be reached, or can again, or is congested (SSNM). */
    public void tell(Kind kind, int level) {
        M3uaMessage message = kind == Kind.SCON
                ? M3uaMessage.destinationState(kind, pointCode, M3uaMessage.congestionIndications(level))
                : M3uaMessage.destinationState(kind, pointCode);
        loop.execute(() -> connections.forEach(c -> c.send(message)));
    }

    /** Sends raw octets on all connections, as a fault. */
    public void sendRaw(byte[] octets) {
        loop.execute(() -> connections.forEach(c -> c.channel.writeAndFlush(Unpooled.copiedBuffer(octets))));
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return address;
    }

    /** Its name. */
    public String id() {
        return id;
    }

    /** Its signalling point code. */
    public int pointCode() {
        return pointCode;
    }

    /** Milliseconds since its processor's last cold start, or -1 if that is long ago. */
    public double age() {
        return startedAt == Double.NEGATIVE_INFINITY ? -1 : now() - startedAt;
    }

    /** Whether it fell over by too many set-ups while cold; it stays down then. */
    public boolean fallen() {
        return fallen;
    }

    private double warmth() {
        double age = now() - startedAt;
        double warm = settings.warmWithin().ms();
        return age >= warm ? 1 : settings.coldFrom() + (1 - settings.coldFrom()) * age / warm;
    }

    @Override
    public void close() {
        loop.submit(this::die).syncUninterruptibly();
    }

    /** Counts what is sent to a cold processor; too much for too long and it falls over for good. */
    private boolean tips(double now) {
        if (warmth() >= 1) {
            arrivals.clear();
            return false;
        }
        arrivals.add(now);
        double window = settings.tipWindow().ms();
        while (arrivals.peek() <= now - window) {
            arrivals.poll();
        }
        double capacity = settings.setUpsPerS() * warmth() * window / 1_000;
        // As much slack for chance as four deviations of a Poisson count.
        return arrivals.size() > settings.tipMultiple() * capacity + 4 * Math.sqrt(settings.tipMultiple() * capacity);
    }

    private IsupMessage.Parameter reportNow(double now) {
        if (now - reportAt >= settings.reportEvery().ms()) {
            reportAt = now;
            report = new ServerLoadReport(
                    OptionalDouble.of(settings.lines() - held),
                    OptionalDouble.of(settings.lines()),
                    OptionalDouble.empty(),
                    OptionalDouble.of(processor.busy(now)),
                    OptionalDouble.of(processor.waiting()));
        }
        return LoadReportParameter.encode(report);
    }

    // ---- Calls ------------------------------------------------------------------------------------------

    /** One call on a circuit of a connection. */
    private static final class Held {
        final String number;
        Processor.Job job;
        boolean standing;
        boolean releasing;
        boolean over;

        Held(String number) {
            this.number = number;
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<ByteBuf> {
        private final Map<Integer, Held> calls = new HashMap<>();
        private Channel channel;
        private String far = "?";
        private int farPointCode;
        private boolean up;
        private boolean active;
        private boolean gone;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            connections.add(this);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
            gone = true;
            if (wire != null) {
                wire.write(far, id, WireLog.CLOSED, NO_OCTETS);
            }
            List.copyOf(calls.values()).forEach(this::drop);
            calls.clear();
        }

        private void drop(Held call) {
            if (call.job != null) {
                processor.drop(call.job);
            }
            if (!call.over) {
                call.over = true;
                held--;
                if (call.standing) {
                    cut.accept(call.number);
                }
            }
        }

        void reset() {
            try {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
            } catch (ChannelException e) {
                // The far end closed it a moment ago; there is nothing left to reset.
            }
            channel.close();
        }

        void send(M3uaMessage message) {
            byte[] octets = message.encode();
            if (wire != null) {
                wire.write(id, far, WireLog.M3UA, octets);
            }
            channel.writeAndFlush(Unpooled.wrappedBuffer(octets));
        }

        private void send(IsupMessage message) {
            send(new ProtocolData(pointCode, farPointCode, message.circuit() & 0x0f, message.encode()).toMessage());
        }

        /** An answer, which may be lost on the way. */
        private void answer(IsupMessage message) {
            if (random.nextDouble() >= lossShare) {
                send(message);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            if (gone) {
                // What the process had in its buffers when it died was never read.
                return;
            }
            byte[] octets = ByteBufUtil.getBytes(frame);
            if (frozen) {
                if (wire != null) {
                    wire.write(far, id, WireLog.M3UA, octets);
                }
                return;
            }
            try {
                M3uaMessage message = M3uaMessage.decode(octets);
                if (message.kind() == Kind.ASPUP) {
                    farPointCode = message.intParameter(M3uaMessage.ASP_IDENTIFIER);
                    far = "front-" + farPointCode;
                }
                if (wire != null) {
                    wire.write(far, id, WireLog.M3UA, octets);
                }
                received(message);
            } catch (SignallingProtocolException e) {
                send(M3uaMessage.error(e.code(), octets));
            }
        }

        private void received(M3uaMessage message) throws SignallingProtocolException {
            switch (message.kind()) {
                case ASPUP -> {
                    up = true;
                    send(M3uaMessage.of(Kind.ASPUP_ACK));
                }
                case ASPDN -> {
                    up = false;
                    active = false;
                    send(M3uaMessage.of(Kind.ASPDN_ACK));
                }
                case ASPAC -> {
                    if (!up) {
                        throw new SignallingProtocolException(M3uaMessage.UNEXPECTED_MESSAGE, "ASPAC while down");
                    }
                    active = true;
                    send(M3uaMessage.of(Kind.ASPAC_ACK));
                }
                case ASPIA -> {
                    active = false;
                    send(M3uaMessage.of(Kind.ASPIA_ACK));
                }
                case BEAT ->
                    processor.add(
                            now(),
                            settings.probeWork().ms(),
                            false,
                            () -> send(new M3uaMessage(Kind.BEAT_ACK, message.parameters())));
                case DATA -> {
                    if (!active) {
                        throw new SignallingProtocolException(M3uaMessage.UNEXPECTED_MESSAGE, "DATA while not active");
                    }
                    isup(IsupMessage.decode(ProtocolData.from(message).isup()));
                }
                default -> {}
            }
            wake();
        }

        private void isup(IsupMessage message) throws SignallingProtocolException {
            int circuit = message.circuit();
            Held call = calls.get(circuit);
            switch (message.type()) {
                case IAM ->
                    setUp(
                            circuit,
                            call,
                            CalledPartyNumber.decode(message.parameterValue(IsupMessage.CALLED_PARTY_NUMBER)));
                case REL -> {
                    if (call != null) {
                        calls.remove(circuit);
                        if (call.job != null) {
                            processor.drop(call.job);
                        }
                        if (!call.over) {
                            call.over = true;
                            held--;
                        }
                    }
                    send(IsupMessage.of(circuit, IsupMessage.Type.RLC));
                }
                case RLC -> calls.remove(circuit);
                case RSC -> {
                    if (call != null) {
                        calls.remove(circuit);
                        drop(call);
                    }
                    send(IsupMessage.of(circuit, IsupMessage.Type.RLC));
                }
                default -> {}
            }
        }

        private void setUp(int circuit, Held before, String number) {
            if (before != null) {
                return;
            }
            double now = now();
            if (tips(now)) {
                fallen = true;
                die();
                return;
            }
            if (held >= settings.lines()) {
                turnAway(circuit, IsupMessage.NO_CIRCUIT_AVAILABLE, number);
                return;
            }
            double work = settings.callWork() * settings.setUpShare();
            if (turnAll || processor.wait(now) > settings.turnAwayAfter().ms()) {
                turnAway(circuit, IsupMessage.SWITCHING_EQUIPMENT_CONGESTION, number);
                return;
            }
            Held call = new Held(number);
            calls.put(circuit, call);
            held++;
            call.job = processor.add(now, work, true, () -> complete(circuit, call));
        }

        private void turnAway(int circuit, int cause, String number) {
            Held call = new Held(number);
            call.releasing = true;
            call.over = true;
            calls.put(circuit, call);
            double work = turnAll ? NOTHING : settings.callWork() * settings.setUpShare() * settings.rejectShare();
            call.job = processor.add(
                    now(),
                    work,
                    false,
                    () -> answer(
                            cause == IsupMessage.SWITCHING_EQUIPMENT_CONGESTION
                                    ? IsupMessages.release(
                                            circuit,
                                            cause,
                                            IsupMessages.automaticCongestionLevel(PRESSED),
                                            reportNow(now()))
                                    : IsupMessages.release(circuit, cause, reportNow(now()))));
        }

        /** The set-up is done; the answer waits in line as well. */
        private void complete(int circuit, Held call) {
            double rest = settings.callWork() * (1 - settings.setUpShare());
            send(IsupMessages.addressComplete(circuit));
            call.job = processor.add(now(), rest * 2 / 3, false, () -> {
                call.job = null;
                call.standing = true;
                answer(IsupMessage.of(circuit, IsupMessage.Type.ANM, reportNow(now())));
                double hold = -Math.log(1 - random.nextDouble()) * meanHold.applyAsDouble(call.number);
                int of = life;
                loop.schedule(
                        () -> {
                            if (of == life && !call.over) {
                                call.job = processor.add(now(), rest / 3, false, () -> hangUp(circuit, call));
                            }
                        },
                        (long) (hold * 1e6),
                        TimeUnit.NANOSECONDS);
            });
        }

        private void hangUp(int circuit, Held call) {
            if (!call.over) {
                call.over = true;
                call.releasing = true;
                held--;
                send(IsupMessages.release(circuit, IsupMessage.NORMAL_CLEARING, reportNow(now())));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
