package damsonseam.bench;

import damsonseam.dns.DnsCodec;
import damsonseam.dns.E164Name;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import org.HdrHistogram.Histogram;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/**
 * An ENUM client that sends queries as fast as a window of pending queries allows, or at a steady rate regardless of
 * the answers. Delays at a steady rate are measured from the time at which a query was due, so that a server that
 * falls behind is not hidden (coordinated omission). Queries and answers are handled on the event loop; runs must be
 * started one after another, from another thread.
 */
final class QueryClient implements AutoCloseable {
    private static final int ID_COUNT = 1 << 16;
    private static final long LOSS_TIMEOUT_NS = 2_000_000_000L;
    private static final long MAX_DELAY_US = 60_000_000L;

    private final EventLoop loop;
    private final Name suffix;
    private final LongFunction<String> numberAt;
    private final InetSocketAddress server;
    private final long[] dueAtNs = new long[ID_COUNT];
    private final Histogram delaysUs = new Histogram(MAX_DELAY_US, 3);
    private Channel socket;
    private long sequence;
    private long answered;
    private long established;
    private long lost;
    private int pending;
    private int window;
    private double intervalNs;
    private double dueNs;
    private boolean running;

    QueryClient(EventLoop loop, String suffix, LongFunction<String> numberAt, InetSocketAddress server) {
        this.loop = loop;
        this.suffix = E164Name.parseSuffix(suffix);
        this.numberAt = numberAt;
        this.server = server;
    }

    /** The result of a run: rates are per second, delays in microseconds. */
    record Result(double answersPerS, double establishedShare, long lost, Histogram delaysUs) {}

    /** Keeps {@code window} queries pending for {@code durationS} seconds. */
    Result runWithWindow(int window, double durationS) throws InterruptedException {
        this.window = window;
        this.intervalNs = 0;
        return measure(durationS);
    }

    /** Sends {@code queriesPerS} queries per second for {@code durationS} seconds. */
    Result runAtRate(double queriesPerS, double durationS) throws InterruptedException {
        this.window = 0;
        this.intervalNs = 1e9 / queriesPerS;
        return measure(durationS);
    }

    private Result measure(double durationS) throws InterruptedException {
        socket = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.SO_RCVBUF, 4 << 20)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(1500).maxMessagesPerRead(256))
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                        onAnswer(packet.content());
                    }
                })
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .sync()
                .channel();
        long startNs = System.nanoTime();
        loop.submit(() -> {
                    delaysUs.reset();
                    answered = 0;
                    established = 0;
                    lost = 0;
                    running = true;
                    dueNs = System.nanoTime();
                    if (window > 0) {
                        fillWindow();
                    }
                    tick();
                })
                .sync();
        TimeUnit.NANOSECONDS.sleep((long) (durationS * 1e9));
        loop.submit(() -> running = false).sync();
        double elapsedS = (System.nanoTime() - startNs) / 1e9;
        TimeUnit.MILLISECONDS.sleep(300);
        Result[] result = new Result[1];
        loop.submit(() -> result[0] = new Result(
                        answered / elapsedS,
                        answered == 0 ? 0 : established / (double) answered,
                        lost + pending,
                        delaysUs.copy()))
                .sync();
        socket.close().sync();
        return result[0];
    }

    private void tick() {
        if (!running) {
            return;
        }
        long nowNs = System.nanoTime();
        if (window > 0) {
            // A lost query or answer would otherwise occupy its place in the window for ever.
            for (int id = 0; id < ID_COUNT && pending > 0; id++) {
                if (dueAtNs[id] != 0 && nowNs - dueAtNs[id] > LOSS_TIMEOUT_NS) {
                    dueAtNs[id] = 0;
                    pending--;
                    lost++;
                }
            }
            fillWindow();
            loop.schedule(this::tick, 100, TimeUnit.MILLISECONDS);
        } else {
            while (dueNs <= nowNs) {
                sendQuery((long) dueNs);
                dueNs += intervalNs;
            }
            socket.flush();
            loop.schedule(this::tick, Math.max(0, (long) dueNs - System.nanoTime()), TimeUnit.NANOSECONDS);
        }
    }

    private void fillWindow() {
        while (running && pending < window) {
            sendQuery(System.nanoTime());
        }
        socket.flush();
    }

    private void sendQuery(long dueNs) {
        int id = (int) (sequence % ID_COUNT);
        if (dueAtNs[id] != 0) {
            lost++;
            pending--;
        }
        Message query = new Message(id);
        query.addRecord(
                Record.newRecord(E164Name.toName(numberAt.apply(sequence), suffix), Type.NAPTR, DClass.IN),
                Section.QUESTION);
        query.addRecord(new OPTRecord(DnsCodec.MAX_UDP_RESPONSE_BYTES, 0, 0), Section.ADDITIONAL);
        dueAtNs[id] = dueNs;
        pending++;
        sequence++;
        socket.write(new DatagramPacket(Unpooled.wrappedBuffer(query.toWire()), server));
    }

    private void onAnswer(ByteBuf message) {
        int id = message.getUnsignedShort(0);
        if (dueAtNs[id] == 0) {
            return;
        }
        delaysUs.recordValue(Math.min(MAX_DELAY_US, (System.nanoTime() - dueAtNs[id]) / 1_000));
        dueAtNs[id] = 0;
        pending--;
        answered++;
        boolean isEstablished = (message.getByte(3) & 0xf) == 0 && message.getUnsignedShort(6) > 0;
        established += isEstablished ? 1 : 0;
        if (window > 0 && pending <= window / 2) {
            fillWindow();
        }
    }

    @Override
    public void close() {
        socket.close();
    }
}
