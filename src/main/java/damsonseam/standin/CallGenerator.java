package damsonseam.standin;

import damsonseam.audit.WireLog;
import damsonseam.dns.DnsCodec;
import damsonseam.dns.DnsFormatException;
import damsonseam.dns.E164Name;
import damsonseam.dns.EdnsCallOption;
import damsonseam.dns.EnumResponses;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.xbill.DNS.DClass;
import org.xbill.DNS.ExtendedErrorCodeOption;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/**
 * Generates calls as an open Poisson process: the arrival rate does not depend on the answers. Each caller queries one
 * front by DNS over UDP, retransmits the query while nothing comes, abandons the attempt when its patience ends, and
 * may redial after a wait.
 *
 * <p>All state belongs to one event loop; the public methods may be called from any other thread. Pending attempts are
 * bounded by the 65536 query ids.
 */
public final class CallGenerator implements AutoCloseable {
    private static final int QUERY_ID_COUNT = 1 << 16;
    private static final double RETRANSMIT_INTERVAL_MS = 1_000;

    /**
     * A class of callers.
     *
     * @param prefix digits that its numbers begin with
     * @param share its share of the calls, relative to the other classes
     * @param aimMs set-up time within which a call earns its full worth, in milliseconds
     * @param patienceMs time after which a caller abandons an attempt, in milliseconds
     * @param worth worth of a call
     * @param lateShare share of the worth that a call established later earns
     * @param redials maximum number of redials per call
     */
    public record CallerClass(
            String prefix,
            double share,
            double aimMs,
            double patienceMs,
            double worth,
            double lateShare,
            int redials) {}

    /** Outcomes of the calls so far. Redials count as attempts of the same call. */
    public static final class Totals {
        /** Calls, redials not included. */
        public long calls;
        /** Attempts, redials included. */
        public long attempts;
        /** Attempts answered with an established call. */
        public long established;
        /** Attempts that were refused. */
        public long refused;
        /** Attempts that failed. */
        public long failed;
        /** Attempts abandoned without an answer. */
        public long unanswered;
        /** Established calls that were dropped. */
        public long dropped;
        /** Worth of all calls. */
        public double offeredWorth;
        /** Worth of the calls that were established and not dropped; late ones count in part. */
        public double earnedWorth;

        /** Returns the number of attempts that got a final answer. */
        public long resolved() {
            return established + refused + failed;
        }

        /** Returns the earned share of the offered worth. */
        public double earnedShare() {
            return offeredWorth == 0 ? 0 : earnedWorth / offeredWorth;
        }
    }

    /** One attempt of a caller: the first or a redial. */
    private static final class CallAttempt {
        final CallerClass callerClass;
        final String number;
        final double firstAttemptMs;
        final int redialCount;
        int queryId;
        double startedMs;
        InetSocketAddress frontAddress;
        String frontName;
        byte[] queryBytes;

        CallAttempt(CallerClass callerClass, String number, double firstAttemptMs, int redialCount) {
            this.callerClass = callerClass;
            this.number = number;
            this.firstAttemptMs = firstAttemptMs;
            this.redialCount = redialCount;
        }
    }

    private final EventLoop loop;
    private final List<CallerClass> classes;
    private final Name suffix;
    private final Function<SplittableRandom, Integer> firstChoice;
    private final SplittableRandom random;
    private final WireLog wire;
    private final long originNanos = System.nanoTime();
    private final Map<Integer, CallAttempt> pendingAttempts = new HashMap<>();
    private final Map<String, Double> earnedWorthByNumber = new HashMap<>();
    private final Totals totals = new Totals();
    private volatile List<InetSocketAddress> fronts = List.of();
    private volatile double arrivalsPerS;
    private volatile boolean running;
    private Channel channel;
    private String wireName;
    private int lastQueryId;
    private long callSequence;
    private double nextArrivalMs;
    private int waitingRedials;
    private boolean ignoringDrops;

    /**
     * Creates a generator that is not started.
     *
     * @param loop event loop that runs it
     * @param suffix domain of the ENUM zone
     * @param classes classes of callers
     * @param firstChoice draws the index of the first-choice calculator of a call
     * @param seed seed of all random draws
     * @param wire log of the DNS messages sent and received, or null
     */
    public CallGenerator(
            EventLoop loop,
            String suffix,
            List<CallerClass> classes,
            Function<SplittableRandom, Integer> firstChoice,
            long seed,
            WireLog wire) {
        this.loop = loop;
        this.suffix = E164Name.parseSuffix(suffix);
        this.classes = classes;
        this.firstChoice = firstChoice;
        this.wire = wire;
        random = new SplittableRandom(seed);
    }

    private double nowMs() {
        return (System.nanoTime() - originNanos) / 1e6;
    }

    /** Starts calling these fronts at {@code callsPerS} calls per second. */
    public void start(List<InetSocketAddress> frontAddresses, double callsPerS) throws InterruptedException {
        fronts = List.copyOf(frontAddresses);
        arrivalsPerS = callsPerS;
        channel = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.SO_RCVBUF, 4 << 20)
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                        onResponse(packet.sender(), ByteBufUtil.getBytes(packet.content()));
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        // ICMP port unreachable from a front that was killed: its callers give up by themselves.
                    }
                })
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .sync()
                .channel();
        wireName = "callers:" + ((InetSocketAddress) channel.localAddress()).getPort();
        running = true;
        loop.execute(() -> {
            nextArrivalMs = nowMs();
            generateArrivals();
        });
    }

    /** Sets the arrival rate from the next arrival on. */
    public void setRate(double callsPerS) {
        arrivalsPerS = callsPerS;
    }

    /** Stops generating calls; open calls continue, with their redials. */
    public void stopArrivals() {
        running = false;
    }

    /** Returns the number of calls that wait for an answer or for their redial. */
    public int openCalls() throws InterruptedException {
        int[] open = new int[1];
        loop.submit(() -> open[0] = pendingAttempts.size() + waitingRedials).sync();
        return open[0];
    }

    /** Returns the live totals; they are final when no call is open. */
    public Totals totals() {
        return totals;
    }

    /** Stops counting dropped calls: those that the shutdown of the calculators drops are no losses of the run. */
    public void ignoreFurtherDrops() throws InterruptedException {
        loop.submit(() -> ignoringDrops = true).sync();
    }

    /** Takes back the worth earned by the established call to this number, which was dropped. */
    public void onCallDropped(String number) {
        loop.execute(() -> {
            if (ignoringDrops) {
                return;
            }
            Double earnedWorth = earnedWorthByNumber.remove(number);
            if (earnedWorth != null) {
                totals.earnedWorth -= earnedWorth;
                totals.dropped++;
            }
        });
    }

    private void generateArrivals() {
        if (!running) {
            return;
        }
        double nowMs = nowMs();
        while (nextArrivalMs <= nowMs) {
            CallerClass callerClass = drawClass();
            String number = callerClass.prefix() + String.format("%02d%07d", firstChoice.apply(random), callSequence++);
            totals.calls++;
            totals.offeredWorth += callerClass.worth();
            // The arrival counts from the time it was due, even if this event loop is late.
            startAttempt(new CallAttempt(callerClass, number, nextArrivalMs, 0));
            nextArrivalMs += -Math.log(1 - random.nextDouble()) * 1_000 / Math.max(1e-3, arrivalsPerS);
        }
        loop.schedule(this::generateArrivals, (long) ((nextArrivalMs - nowMs()) * 1e6), TimeUnit.NANOSECONDS);
    }

    private CallerClass drawClass() {
        double remainder = random.nextDouble()
                * classes.stream().mapToDouble(CallerClass::share).sum();
        for (CallerClass callerClass : classes) {
            remainder -= callerClass.share();
            if (remainder < 0) {
                return callerClass;
            }
        }
        return classes.get(classes.size() - 1);
    }

    private void startAttempt(CallAttempt attempt) {
        totals.attempts++;
        do {
            lastQueryId = (lastQueryId + 1) % QUERY_ID_COUNT;
        } while (pendingAttempts.containsKey(lastQueryId) && pendingAttempts.size() < QUERY_ID_COUNT);
        attempt.queryId = lastQueryId;
        int frontIndex = random.nextInt(fronts.size());
        attempt.frontAddress = fronts.get(frontIndex);
        attempt.frontName = "front:" + attempt.frontAddress.getPort();
        Message query = new Message(attempt.queryId);
        query.addRecord(
                Record.newRecord(E164Name.toName(attempt.number, suffix), Type.NAPTR, DClass.IN), Section.QUESTION);
        query.addRecord(
                new OPTRecord(
                        DnsCodec.MAX_UDP_RESPONSE_BYTES,
                        0,
                        0,
                        0,
                        List.of(new EdnsCallOption(
                                        attempt.redialCount > 0, Math.round(attempt.callerClass.patienceMs()))
                                .toOption())),
                Section.ADDITIONAL);
        attempt.queryBytes = query.toWire();
        pendingAttempts.put(attempt.queryId, attempt);
        attempt.startedMs = nowMs();
        sendQuery(attempt);
        scheduleRetransmission(attempt);
        loop.schedule(
                () -> {
                    if (pendingAttempts.remove(attempt.queryId, attempt)) {
                        totals.unanswered++;
                        scheduleRedial(attempt, 0);
                    }
                },
                (long) (attempt.callerClass.patienceMs() * 1e6),
                TimeUnit.NANOSECONDS);
    }

    private void sendQuery(CallAttempt attempt) {
        if (wire != null) {
            wire.write(wireName, attempt.frontName, WireLog.DNS, attempt.queryBytes);
        }
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(attempt.queryBytes), attempt.frontAddress));
    }

    private void scheduleRetransmission(CallAttempt attempt) {
        loop.schedule(
                () -> {
                    double lastSendMs =
                            attempt.startedMs + attempt.callerClass.patienceMs() - RETRANSMIT_INTERVAL_MS / 2;
                    if (pendingAttempts.get(attempt.queryId) == attempt && nowMs() < lastSendMs) {
                        sendQuery(attempt);
                        scheduleRetransmission(attempt);
                    }
                },
                (long) (RETRANSMIT_INTERVAL_MS * 1e6),
                TimeUnit.NANOSECONDS);
    }

    private void onResponse(InetSocketAddress sender, byte[] bytes) {
        if (wire != null) {
            wire.write("front:" + sender.getPort(), wireName, WireLog.DNS, bytes);
        }
        Message response;
        try {
            response = DnsCodec.decode(bytes);
        } catch (DnsFormatException e) {
            return;
        }
        CallAttempt attempt = pendingAttempts.get(response.getHeader().getID());
        if (attempt == null || !attempt.frontAddress.equals(sender)) {
            return;
        }
        pendingAttempts.remove(attempt.queryId);
        if (response.getRcode() == Rcode.NOERROR
                && !response.getSection(Section.ANSWER).isEmpty()) {
            totals.established++;
            double worth = attempt.callerClass.worth()
                    * (nowMs() - attempt.firstAttemptMs <= attempt.callerClass.aimMs()
                            ? 1
                            : attempt.callerClass.lateShare());
            totals.earnedWorth += worth;
            earnedWorthByNumber.put(attempt.number, worth);
        } else if (isRefusal(response)) {
            totals.refused++;
            scheduleRedial(attempt, EdnsCallOption.from(response.getOPT()).timeMs());
        } else {
            totals.failed++;
            scheduleRedial(attempt, 0);
        }
    }

    private static boolean isRefusal(Message response) {
        OPTRecord opt = response.getOPT();
        return opt != null
                && opt.getOptions(15).stream()
                        .anyMatch(o -> o instanceof ExtendedErrorCodeOption e
                                && e.getErrorCode() == EnumResponses.EDE_REFUSED);
    }

    /**
     * Schedules a redial after an exponential backoff. Two of three callers follow the front's advice where that is
     * longer.
     */
    private void scheduleRedial(CallAttempt attempt, long advisedWaitMs) {
        if (attempt.redialCount >= attempt.callerClass.redials()) {
            return;
        }
        double backoffMs = 1_000 * Math.pow(2, attempt.redialCount) * (0.75 + 0.5 * random.nextDouble());
        double waitMs = random.nextInt(3) < 2 ? Math.max(backoffMs, advisedWaitMs) : backoffMs;
        waitingRedials++;
        loop.schedule(
                () -> {
                    waitingRedials--;
                    startAttempt(new CallAttempt(
                            attempt.callerClass, attempt.number, attempt.firstAttemptMs, attempt.redialCount + 1));
                },
                (long) (waitMs * 1e6),
                TimeUnit.NANOSECONDS);
    }

    @Override
    public void close() {
        running = false;
        if (channel != null) {
            channel.close().syncUninterruptibly();
        }
    }
}
