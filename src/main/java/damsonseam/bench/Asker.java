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
 * Asks as fast as a window allows, or at a steady rate that waits for nobody. Delays at a rate are counted from
 * when a question was due, so that a server that falls behind can't hide it (coordinated omission).
 */
final class Asker implements AutoCloseable {
    private static final int IDS = 1 << 16;
    private static final long LOST_NS = 2_000_000_000L;
    private static final long MOST_US = 60_000_000L;

    private final EventLoop loop;
    private final Name suffix;
    private final LongFunction<String> numbers;
    private final InetSocketAddress to;
    private final long[] dueAt = new long[IDS];
    private final Histogram delays = new Histogram(MOST_US, 3);
    private Channel socket;
    private long next;
    private long answered;
    private long stood;
    private long lost;
    private int out;
    private int window;
    private double gapNs;
    private double dueNs;
    private boolean running;

    Asker(EventLoop loop, String suffix, LongFunction<String> numbers, InetSocketAddress to) {
        this.loop = loop;
        this.suffix = E164Name.parseSuffix(suffix);
        this.numbers = numbers;
        this.to = to;
    }

    /** What a run came to. */
    record Result(double perS, double stoodShare, long lost, Histogram delaysUs) {}

    /** Keeps {@code window} questions out for so long. */
    Result full(int window, double seconds) throws InterruptedException {
        this.window = window;
        this.gapNs = 0;
        return run(seconds);
    }

    /** Asks {@code perS} times a second for so long. */
    Result steady(double perS, double seconds) throws InterruptedException {
        this.window = 0;
        this.gapNs = 1e9 / perS;
        return run(seconds);
    }

    private Result run(double seconds) throws InterruptedException {
        socket = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.SO_RCVBUF, 4 << 20)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(1500).maxMessagesPerRead(256))
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                        answer(packet.content());
                    }
                })
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .sync()
                .channel();
        long start = System.nanoTime();
        loop.submit(() -> {
                    delays.reset();
                    answered = 0;
                    stood = 0;
                    lost = 0;
                    running = true;
                    dueNs = System.nanoTime();
                    if (window > 0) {
                        refill();
                    }
                    tick();
                })
                .sync();
        TimeUnit.NANOSECONDS.sleep((long) (seconds * 1e9));
        loop.submit(() -> running = false).sync();
        double took = (System.nanoTime() - start) / 1e9;
        TimeUnit.MILLISECONDS.sleep(300);
        Result[] result = new Result[1];
        loop.submit(() -> result[0] = new Result(
                        answered / took, answered == 0 ? 0 : stood / (double) answered, lost + out, delays.copy()))
                .sync();
        socket.close().sync();
        return result[0];
    }

    private void tick() {
        if (!running) {
            return;
        }
        long now = System.nanoTime();
        if (window > 0) {
            // Questions or answers lost on the way would keep their place in the window for ever.
            for (int id = 0; id < IDS && out > 0; id++) {
                if (dueAt[id] != 0 && now - dueAt[id] > LOST_NS) {
                    dueAt[id] = 0;
                    out--;
                    lost++;
                }
            }
            refill();
            loop.schedule(this::tick, 100, TimeUnit.MILLISECONDS);
        } else {
            while (dueNs <= now) {
                send((long) dueNs);
                dueNs += gapNs;
            }
            socket.flush();
            loop.schedule(this::tick, Math.max(0, (long) dueNs - System.nanoTime()), TimeUnit.NANOSECONDS);
        }
    }

    private void refill() {
        while (running && out < window) {
            send(System.nanoTime());
        }
        socket.flush();
    }

    private void send(long due) {
        int id = (int) (next % IDS);
        if (dueAt[id] != 0) {
            lost++;
            out--;
        }
        Message question = new Message(id);
        question.addRecord(
                Record.newRecord(E164Name.toName(numbers.apply(next), suffix), Type.NAPTR, DClass.IN),
                Section.QUESTION);
        question.addRecord(new OPTRecord(DnsCodec.MAX_UDP_RESPONSE_BYTES, 0, 0), Section.ADDITIONAL);
        dueAt[id] = due;
        out++;
        next++;
        socket.write(new DatagramPacket(Unpooled.wrappedBuffer(question.toWire()), to));
    }

    private void answer(ByteBuf octets) {
        int id = octets.getUnsignedShort(0);
        if (dueAt[id] == 0) {
            return;
        }
        delays.recordValue(Math.min(MOST_US, (System.nanoTime() - dueAt[id]) / 1_000));
        dueAt[id] = 0;
        out--;
        answered++;
        boolean found = (octets.getByte(3) & 0xf) == 0 && octets.getUnsignedShort(6) > 0;
        stood += found ? 1 : 0;
        if (window > 0 && out <= window / 2) {
            refill();
        }
    }

    @Override
    public void close() {
        socket.close();
    }
}
