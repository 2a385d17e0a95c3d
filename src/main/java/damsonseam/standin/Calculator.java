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
 * A stand-in calculator: an M3UA and ISUP endpoint on a TCP port whose work is done by a simulated processor with
 * one queue. It models the cold start after a restart and can be made to fail in several ways.
 *
 * <p>All state belongs to one event loop. The public methods may be called from any thread, except that those that
 * wait ({@link #start}, {@link #crash}, {@link #close}) must not be called on that event loop.
 */
public final class Calculator implements AutoCloseable {
    private static final int NO_WORK = 0;
    private static final int REJECT_CONGESTION_LEVEL = 2;
    private static final byte[] NO_BYTES = new byte[0];

    private final String id;
    private final int pointCode;
    private final CalculatorSettings settings;
    private final EventLoop loop;
    private final SplittableRandom random;
    private final ToDoubleFunction<String> meanHoldingTimeMs;
    private final Consumer<String> droppedCallListener;
    private final WireLog wire;
    private final long originNanos = System.nanoTime();
    private final SingleServerQueue processor;
    private final List<Connection> connections = new ArrayList<>();
    private final ArrayDeque<Double> coldArrivalsMs = new ArrayDeque<>();
    private InetSocketAddress address;
    private Channel serverChannel;
    private double coldStartMs = Double.NEGATIVE_INFINITY;
    private double slowdown = 1;
    private double answerLossShare;
    private boolean paused;
    private boolean rejectAll;
    private boolean collapsed;
    private int processGeneration;
    private int activeCalls;
    private ServerLoadReport report = ServerLoadReport.NONE;
    private double reportMadeMs = Double.NEGATIVE_INFINITY;

    /**
     * Creates a calculator that is not started.
     *
     * @param id name of the calculator
     * @param pointCode its signalling point code
     * @param settings its capacity and behaviour
     * @param loop event loop that runs it
     * @param seed seed of holding times and lost answers
     * @param meanHoldingTimeMs mean holding time of calls to a number, in milliseconds
     * @param droppedCallListener receives the number of each established call that is dropped
     * @param wire log of the frames sent and received, or null
     */
    public Calculator(
            String id,
            int pointCode,
            CalculatorSettings settings,
            EventLoop loop,
            long seed,
            ToDoubleFunction<String> meanHoldingTimeMs,
            Consumer<String> droppedCallListener,
            WireLog wire) {
        this.id = id;
        this.pointCode = pointCode;
        this.settings = settings;
        this.loop = loop;
        this.meanHoldingTimeMs = meanHoldingTimeMs;
        this.droppedCallListener = droppedCallListener;
        this.wire = wire;
        random = new SplittableRandom(seed);
        processor = new SingleServerQueue(dueMs -> {
            int generation = processGeneration;
            Runnable wakeUp = () -> {
                if (generation == processGeneration) {
                    runProcessor();
                }
            };
            // System timers have a resolution of about a millisecond: an earlier deadline runs at once.
            if (dueMs - nowMs() < 0.5) {
                loop.execute(wakeUp);
            } else {
                loop.schedule(wakeUp, (long) ((dueMs - nowMs()) * 1e6), TimeUnit.NANOSECONDS);
            }
        });
    }

    private double nowMs() {
        return (System.nanoTime() - originNanos) / 1e6;
    }

    private void runProcessor() {
        if (!paused) {
            processor.setSpeed(capacityShare() / slowdown);
            processor.runFinishedJobs(nowMs());
        }
    }

    // ---- Life cycle and faults
    // -------------------------------------------------------------------------------------------

    /**
     * Starts listening and clears all faults.
     *
     * @param requestedAddress address to listen on; ignored on a restart, which keeps the address of the first start
     * @param cold whether the processor starts at a share of its capacity and warms up
     */
    public void start(InetSocketAddress requestedAddress, boolean cold) throws IOException, InterruptedException {
        if (address == null) {
            address = LoopbackPorts.withFixedPort(requestedAddress);
        }
        Channel newChannel = new ServerBootstrap()
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
        address = (InetSocketAddress) newChannel.localAddress();
        loop.submit(() -> {
                    serverChannel = newChannel;
                    coldStartMs = cold ? nowMs() : Double.NEGATIVE_INFINITY;
                    paused = false;
                    collapsed = false;
                    rejectAll = false;
                    slowdown = 1;
                    answerLossShare = 0;
                    if (wire != null && cold) {
                        wire.write("scenario", id, WireLog.STARTED, NO_BYTES);
                    }
                })
                .sync();
    }

    /** Simulates the death of the process: resets its connections, drops its calls and stops listening. */
    public void crash() throws InterruptedException {
        loop.submit(this::stopProcess).sync();
    }

    private void stopProcess() {
        processGeneration++;
        if (serverChannel != null) {
            serverChannel.close();
            serverChannel = null;
        }
        processor.clear();
        coldArrivalsMs.clear();
        for (Connection connection : List.copyOf(connections)) {
            connection.reset();
        }
    }

    /** Pauses the machine: connections stay open, and what they receive meanwhile is discarded unanswered. */
    public void pause() {
        loop.execute(() -> paused = true);
    }

    /** Resumes a paused machine with the jobs that it had queued. */
    public void resume() {
        loop.execute(() -> {
            paused = false;
            processor.resume(nowMs());
        });
    }

    /** Makes all work take {@code factor} times as long; 1 restores the normal speed. */
    public void setSlowdown(double factor) {
        loop.execute(() -> slowdown = factor);
    }

    /** Sets the share of answers and rejections that is lost on the way, from 0 to 1. */
    public void setAnswerLossShare(double share) {
        loop.execute(() -> answerLossShare = share);
    }

    /** Makes it reject all set-ups at no cost, or stops that. */
    public void setRejectAll(boolean enabled) {
        loop.execute(() -> rejectAll = enabled);
    }

    /**
     * Sends an SSNM message about this destination on all connections.
     *
     * @param kind message: DUNA, DAVA or SCON
     * @param level congestion level; SCON only
     */
    public void sendDestinationState(Kind kind, int level) {
        M3uaMessage message = kind == Kind.SCON
                ? M3uaMessage.destinationState(kind, pointCode, M3uaMessage.congestionIndications(level))
                : M3uaMessage.destinationState(kind, pointCode);
        loop.execute(() -> connections.forEach(c -> c.send(message)));
    }

    /** Sends raw bytes on all connections, to simulate malformed messages. */
    public void sendRaw(byte[] bytes) {
        loop.execute(() -> connections.forEach(c -> c.channel.writeAndFlush(Unpooled.copiedBuffer(bytes))));
    }

    /** Returns the address that it listens on. */
    public InetSocketAddress address() {
        return address;
    }

    /** Returns its name. */
    public String id() {
        return id;
    }

    /** Returns its signalling point code. */
    public int pointCode() {
        return pointCode;
    }

    /** Returns the milliseconds since the last start if that was a cold one, else -1. */
    public double coldStartAgeMs() {
        return coldStartMs == Double.NEGATIVE_INFINITY ? -1 : nowMs() - coldStartMs;
    }

    /** Returns whether it failed by overload while cold; it stays down then unless it is started again. */
    public boolean hasCollapsed() {
        return collapsed;
    }

    /** Returns the share of the full capacity that the processor has now; it grows linearly while cold. */
    private double capacityShare() {
        double ageMs = nowMs() - coldStartMs;
        double warmWithinMs = settings.warmWithin().ms();
        return ageMs >= warmWithinMs ? 1 : settings.coldFrom() + (1 - settings.coldFrom()) * ageMs / warmWithinMs;
    }

    @Override
    public void close() {
        loop.submit(this::stopProcess).syncUninterruptibly();
    }

    /** Records a set-up offered now and returns whether those in the last window overload a cold processor. */
    private boolean exceedsColdCapacity(double nowMs) {
        if (capacityShare() >= 1) {
            coldArrivalsMs.clear();
            return false;
        }
        coldArrivalsMs.add(nowMs);
        double windowMs = settings.tipWindow().ms();
        while (coldArrivalsMs.peek() <= nowMs - windowMs) {
            coldArrivalsMs.poll();
        }
        double setUpCapacity = settings.setUpsPerS() * capacityShare() * windowMs / 1_000;
        // Allows for random arrivals: four standard deviations of a Poisson count.
        return coldArrivalsMs.size()
                > settings.tipMultiple() * setUpCapacity + 4 * Math.sqrt(settings.tipMultiple() * setUpCapacity);
    }

    /** Encodes the load report, which is renewed once per report interval. */
    private IsupMessage.Parameter encodeReport(double nowMs) {
        if (nowMs - reportMadeMs >= settings.reportEvery().ms()) {
            reportMadeMs = nowMs;
            report = new ServerLoadReport(
                    OptionalDouble.of(settings.lines() - activeCalls),
                    OptionalDouble.of(settings.lines()),
                    OptionalDouble.empty(),
                    OptionalDouble.of(processor.utilization(nowMs)),
                    OptionalDouble.of(processor.queuedSetUps()));
        }
        return LoadReportParameter.encode(report);
    }

    // ---- Calls ------------------------------------------------------------------------------------------

    /** A call on a circuit of a connection. */
    private static final class CircuitCall {
        final String number;
        SingleServerQueue.Job job;
        boolean established;
        boolean releasing;
        boolean cleared;

        CircuitCall(String number) {
            this.number = number;
        }
    }

    /** The M3UA association with one front, and the calls on its circuits. */
    private final class Connection extends SimpleChannelInboundHandler<ByteBuf> {
        private final Map<Integer, CircuitCall> callsByCircuit = new HashMap<>();
        private Channel channel;
        private String peerName = "?";
        private int peerPointCode;
        private boolean aspUp;
        private boolean aspActive;
        private boolean closed;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            connections.add(this);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
            closed = true;
            if (wire != null) {
                wire.write(peerName, id, WireLog.CLOSED, NO_BYTES);
            }
            List.copyOf(callsByCircuit.values()).forEach(this::dropCall);
            callsByCircuit.clear();
        }

        private void dropCall(CircuitCall call) {
            if (call.job != null) {
                processor.cancel(call.job);
            }
            if (!call.cleared) {
                call.cleared = true;
                activeCalls--;
                if (call.established) {
                    droppedCallListener.accept(call.number);
                }
            }
        }

        void reset() {
            try {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
            } catch (ChannelException e) {
                // The peer has just closed the connection: there is nothing to reset.
            }
            channel.close();
        }

        void send(M3uaMessage message) {
            byte[] bytes = message.encode();
            if (wire != null) {
                wire.write(id, peerName, WireLog.M3UA, bytes);
            }
            channel.writeAndFlush(Unpooled.wrappedBuffer(bytes));
        }

        private void send(IsupMessage message) {
            send(new ProtocolData(pointCode, peerPointCode, message.circuit() & 0x0f, message.encode()).toMessage());
        }

        /** Sends an answer or a rejection, unless it is drawn to be lost. */
        private void sendWithLoss(IsupMessage message) {
            if (random.nextDouble() >= answerLossShare) {
                send(message);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            if (closed) {
                // A process that dies does not read what is left in its socket buffers.
                return;
            }
            byte[] bytes = ByteBufUtil.getBytes(frame);
            if (paused) {
                if (wire != null) {
                    wire.write(peerName, id, WireLog.M3UA, bytes);
                }
                return;
            }
            try {
                M3uaMessage message = M3uaMessage.decode(bytes);
                if (message.kind() == Kind.ASPUP) {
                    peerPointCode = message.intParameter(M3uaMessage.ASP_IDENTIFIER);
                    peerName = "front-" + peerPointCode;
                }
                if (wire != null) {
                    wire.write(peerName, id, WireLog.M3UA, bytes);
                }
                onM3uaMessage(message);
            } catch (SignallingProtocolException e) {
                send(M3uaMessage.error(e.code(), bytes));
            }
        }

        private void onM3uaMessage(M3uaMessage message) throws SignallingProtocolException {
            switch (message.kind()) {
                case ASPUP -> {
                    aspUp = true;
                    send(M3uaMessage.of(Kind.ASPUP_ACK));
                }
                case ASPDN -> {
                    aspUp = false;
                    aspActive = false;
                    send(M3uaMessage.of(Kind.ASPDN_ACK));
                }
                case ASPAC -> {
                    if (!aspUp) {
                        throw new SignallingProtocolException(M3uaMessage.UNEXPECTED_MESSAGE, "ASPAC while down");
                    }
                    aspActive = true;
                    send(M3uaMessage.of(Kind.ASPAC_ACK));
                }
                case ASPIA -> {
                    aspActive = false;
                    send(M3uaMessage.of(Kind.ASPIA_ACK));
                }
                case BEAT ->
                    processor.submit(
                            nowMs(),
                            settings.probeWork().ms(),
                            false,
                            () -> send(new M3uaMessage(Kind.BEAT_ACK, message.parameters())));
                case DATA -> {
                    if (!aspActive) {
                        throw new SignallingProtocolException(M3uaMessage.UNEXPECTED_MESSAGE, "DATA while not active");
                    }
                    onIsupMessage(IsupMessage.decode(ProtocolData.from(message).isup()));
                }
                default -> {}
            }
            runProcessor();
        }

        private void onIsupMessage(IsupMessage message) throws SignallingProtocolException {
            int circuit = message.circuit();
            CircuitCall call = callsByCircuit.get(circuit);
            switch (message.type()) {
                case IAM ->
                    onSetUp(
                            circuit,
                            call,
                            CalledPartyNumber.decode(message.parameterValue(IsupMessage.CALLED_PARTY_NUMBER)));
                case REL -> {
                    if (call != null) {
                        callsByCircuit.remove(circuit);
                        if (call.job != null) {
                            processor.cancel(call.job);
                        }
                        if (!call.cleared) {
                            call.cleared = true;
                            activeCalls--;
                        }
                    }
                    send(IsupMessage.of(circuit, IsupMessage.Type.RLC));
                }
                case RLC -> callsByCircuit.remove(circuit);
                case RSC -> {
                    if (call != null) {
                        callsByCircuit.remove(circuit);
                        dropCall(call);
                    }
                    send(IsupMessage.of(circuit, IsupMessage.Type.RLC));
                }
                default -> {}
            }
        }

        private void onSetUp(int circuit, CircuitCall existing, String number) {
            if (existing != null) {
                return;
            }
            double nowMs = nowMs();
            if (exceedsColdCapacity(nowMs)) {
                collapsed = true;
                stopProcess();
                return;
            }
            if (activeCalls >= settings.lines()) {
                reject(circuit, IsupMessage.NO_CIRCUIT_AVAILABLE, number);
                return;
            }
            double workMs = settings.callWorkMs() * settings.setUpShare();
            if (rejectAll
                    || processor.waitingTimeMs(nowMs) > settings.turnAwayAfter().ms()) {
                reject(circuit, IsupMessage.SWITCHING_EQUIPMENT_CONGESTION, number);
                return;
            }
            CircuitCall call = new CircuitCall(number);
            callsByCircuit.put(circuit, call);
            activeCalls++;
            call.job = processor.submit(nowMs, workMs, true, () -> completeSetUp(circuit, call));
        }

        private void reject(int circuit, int cause, String number) {
            CircuitCall call = new CircuitCall(number);
            call.releasing = true;
            call.cleared = true;
            callsByCircuit.put(circuit, call);
            double workMs =
                    rejectAll ? NO_WORK : settings.callWorkMs() * settings.setUpShare() * settings.rejectShare();
            call.job = processor.submit(
                    nowMs(),
                    workMs,
                    false,
                    () -> sendWithLoss(
                            cause == IsupMessage.SWITCHING_EQUIPMENT_CONGESTION
                                    ? IsupMessages.release(
                                            circuit,
                                            cause,
                                            IsupMessages.automaticCongestionLevel(REJECT_CONGESTION_LEVEL),
                                            encodeReport(nowMs()))
                                    : IsupMessages.release(circuit, cause, encodeReport(nowMs()))));
        }

        /** Sends the ACM for a processed set-up and queues the work of the answer, later that of the release. */
        private void completeSetUp(int circuit, CircuitCall call) {
            double remainingWorkMs = settings.callWorkMs() * (1 - settings.setUpShare());
            send(IsupMessages.addressComplete(circuit));
            call.job = processor.submit(nowMs(), remainingWorkMs * 2 / 3, false, () -> {
                call.job = null;
                call.established = true;
                sendWithLoss(IsupMessage.of(circuit, IsupMessage.Type.ANM, encodeReport(nowMs())));
                double holdingTimeMs =
                        -Math.log(1 - random.nextDouble()) * meanHoldingTimeMs.applyAsDouble(call.number);
                int generation = processGeneration;
                loop.schedule(
                        () -> {
                            if (generation == processGeneration && !call.cleared) {
                                call.job = processor.submit(
                                        nowMs(), remainingWorkMs / 3, false, () -> releaseCall(circuit, call));
                            }
                        },
                        (long) (holdingTimeMs * 1e6),
                        TimeUnit.NANOSECONDS);
            });
        }

        private void releaseCall(int circuit, CircuitCall call) {
            if (!call.cleared) {
                call.cleared = true;
                call.releasing = true;
                activeCalls--;
                send(IsupMessages.release(circuit, IsupMessage.NORMAL_CLEARING, encodeReport(nowMs())));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
