package damsonseam.load;

import damsonseam.dns.DnsCodec;
import damsonseam.dns.E164Name;
import damsonseam.dns.EdnsCallOption;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.PortUnreachableException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.locks.LockSupport;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Message;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/**
 * One thread of a load. It sends the queries that are due, reads the answers that have arrived, and abandons the
 * queries whose callers have run out of patience. Each sender has its own sockets and result; {@link #result()} may be
 * called after the thread has ended.
 */
final class LoadSender implements Runnable {
    private static final int ID_COUNT = 1 << 16;
    /** Well below the number of IDs, so that an ID is not reused while a late answer to it may still arrive. */
    private static final int MAX_PENDING_PER_SOCKET = 20_000;

    private static final int MAX_SOCKETS = 64;
    private static final int MAX_MESSAGES_PER_PASS = 32;
    private static final int RECEIVE_BUFFER_BYTES = 4 << 20;
    private static final int DIGITS_AFTER_PREFIX = 9;
    private static final double LATE_SEND_MS = 1;
    private static final double NS_PER_MS = 1e6;

    private final LoadPlan plan;
    private final double threadShare;
    private final long originNs;
    private final SplittableRandom random;
    private final LoadResult result;
    private final List<Socket> sockets = new ArrayList<>();
    private final byte[][] queryTemplates;
    private final ByteBuffer receiveBuffer = ByteBuffer.allocateDirect(2_048);
    private final ByteBuffer sendBuffer = ByteBuffer.allocateDirect(2_048);
    private final Selector selector = Selector.open();
    private final double maxPatienceMs;
    private final double totalShare;
    private int nextSocket;
    private long sequence;
    private IOException failure;

    /** A socket and its pending queries by DNS message ID; the due time is NaN if there is no query with the ID. */
    private static final class Socket {
        final DatagramChannel channel;
        final double[] dueAtMs = new double[ID_COUNT];
        final byte[] classIndex = new byte[ID_COUNT];
        int nextId = 1;
        int oldestId = 1;

        Socket(DatagramChannel channel) {
            this.channel = channel;
            java.util.Arrays.fill(dueAtMs, Double.NaN);
        }
    }

    LoadSender(LoadPlan plan, int threadIndex, long originNs, double peakPerS) throws IOException {
        this.plan = plan;
        threadShare = 1.0 / plan.senderThreads();
        this.originNs = originNs;
        random = new SplittableRandom(plan.seed() * 31 + threadIndex);
        result = new LoadResult(plan.callerClasses(), plan.durationS());
        maxPatienceMs = plan.callerClasses().stream()
                .mapToDouble(LoadPlan.CallerClass::patienceMs)
                .max()
                .orElse(1);
        totalShare = plan.callerClasses().stream()
                .mapToDouble(LoadPlan.CallerClass::share)
                .sum();
        double pendingQueries = peakPerS * threadShare * maxPatienceMs / 1_000;
        int socketCount = (int) Math.max(1, Math.min(MAX_SOCKETS, Math.ceil(pendingQueries / MAX_PENDING_PER_SOCKET)));
        socketCount = Math.max(
                socketCount,
                Math.max(
                        plan.fronts().size(),
                        (plan.sourceAddresses() + plan.senderThreads() - 1) / plan.senderThreads()));
        for (int i = 0; i < socketCount; i++) {
            int addressIndex = (threadIndex + i * plan.senderThreads()) % plan.sourceAddresses();
            DatagramChannel channel = DatagramChannel.open();
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
            byte[] sourceAddress = {127, 0, 0, (byte) (1 + addressIndex)};
            channel.bind(new InetSocketAddress(InetAddress.getByAddress(sourceAddress), 0));
            channel.connect(plan.fronts().get(i % plan.fronts().size()));
            Socket socket = new Socket(channel);
            channel.register(selector, SelectionKey.OP_READ, socket);
            sockets.add(socket);
        }
        queryTemplates = plan.callerClasses().stream().map(this::queryTemplate).toArray(byte[][]::new);
    }

    private byte[] queryTemplate(LoadPlan.CallerClass callerClass) {
        Message query = new Message(0);
        query.addRecord(
                Record.newRecord(
                        E164Name.toName(
                                callerClass.prefix() + "0".repeat(DIGITS_AFTER_PREFIX),
                                E164Name.parseSuffix(plan.suffix())),
                        Type.NAPTR,
                        DClass.IN),
                Section.QUESTION);
        query.addRecord(
                new OPTRecord(
                        DnsCodec.MAX_UDP_RESPONSE_BYTES,
                        0,
                        0,
                        0,
                        List.of(new EdnsCallOption(false, Math.round(callerClass.patienceMs())).toOption())),
                Section.ADDITIONAL);
        return query.toWire();
    }

    private double nowMs() {
        return (System.nanoTime() - originNs) / NS_PER_MS;
    }

    @Override
    public void run() {
        try {
            double endMs = plan.durationS() * 1_000;
            double dueMs = plan.rateProfile().nextArrivalMs(0, drawExpectedCalls());
            while (nowMs() < endMs + maxPatienceMs && (nowMs() < endMs || hasPendingQueries())) {
                double nowMs = nowMs();
                int sent = 0;
                while (dueMs <= nowMs && dueMs < endMs && sent++ < MAX_MESSAGES_PER_PASS) {
                    send(dueMs, nowMs);
                    dueMs = plan.rateProfile().nextArrivalMs(dueMs, drawExpectedCalls());
                }
                readAnswers();
                expireQueries(nowMs);
                if (sent == 0) {
                    LockSupport.parkNanos((long) Math.max(0, Math.min(50_000, (dueMs - nowMs()) * NS_PER_MS)));
                }
            }
            expireQueries(Double.POSITIVE_INFINITY);
        } catch (IOException e) {
            failure = e;
        } finally {
            close();
        }
    }

    private void close() {
        try {
            selector.close();
            for (Socket socket : sockets) {
                socket.channel.close();
            }
        } catch (IOException e) {
            failure = failure == null ? e : failure;
        }
    }

    /** Draws the number of calls, expected over all threads, until this thread makes its next call. */
    private double drawExpectedCalls() {
        return -Math.log(1 - random.nextDouble()) / threadShare;
    }

    private boolean hasPendingQueries() {
        return sockets.stream().anyMatch(socket -> socket.oldestId != socket.nextId);
    }

    private void send(double dueMs, double nowMs) throws IOException {
        int classIndex = drawClassIndex();
        Socket socket = sockets.get(nextSocket);
        nextSocket = (nextSocket + 1) % sockets.size();
        int id = socket.nextId;
        socket.nextId = socket.nextId % (ID_COUNT - 1) + 1;
        if (!Double.isNaN(socket.dueAtMs[id])) {
            complete(socket, id, LoadResult.Outcome.UNANSWERED, nowMs);
        }
        if (socket.nextId == socket.oldestId) {
            socket.oldestId = socket.oldestId % (ID_COUNT - 1) + 1;
        }
        byte[] query = queryTemplates[classIndex];
        query[0] = (byte) (id >>> 8);
        query[1] = (byte) id;
        long numberIndex = Math.floorMod(
                sequence++ * plan.senderThreads() + random.nextInt(plan.senderThreads()), plan.numbersPerClass());
        // Two digits select the first-choice calculator, seven the caller; ENUM has one label per digit, in reverse.
        long digits = numberIndex % plan.firstChoices() * 10_000_000L + numberIndex;
        for (int i = 0; i < DIGITS_AFTER_PREFIX; i++) {
            query[DnsCodec.HEADER_BYTES + 2 * i + 1] = (byte) ('0' + digits % 10);
            digits /= 10;
        }
        socket.dueAtMs[id] = dueMs;
        socket.classIndex[id] = (byte) classIndex;
        if (nowMs - dueMs > LATE_SEND_MS) {
            result.recordLateSend();
        }
        sendBuffer.clear().put(query).flip();
        try {
            socket.channel.write(sendBuffer);
        } catch (PortUnreachableException e) {
            // The front is not listening: the call counts as unanswered and the load continues.
        }
    }

    private int drawClassIndex() {
        double remaining = random.nextDouble() * totalShare;
        for (int k = 0; k < plan.callerClasses().size() - 1; k++) {
            remaining -= plan.callerClasses().get(k).share();
            if (remaining < 0) {
                return k;
            }
        }
        return plan.callerClasses().size() - 1;
    }

    /** Reads the answers that have arrived; a selector, since polling each socket costs more than the load itself. */
    private void readAnswers() throws IOException {
        selector.selectNow(key -> {
            try {
                readAnswers((Socket) key.attachment());
            } catch (IOException e) {
                failure = e;
            }
        });
        if (failure != null) {
            throw failure;
        }
    }

    private void readAnswers(Socket socket) throws IOException {
        for (int i = 0; i < MAX_MESSAGES_PER_PASS; i++) {
            receiveBuffer.clear();
            try {
                if (socket.channel.read(receiveBuffer) <= 0) {
                    break;
                }
            } catch (PortUnreachableException e) {
                // The front is not listening: the pending queries count as unanswered.
                break;
            }
            onAnswer(socket);
        }
    }

    private void onAnswer(Socket socket) {
        int id = receiveBuffer.position() < DnsCodec.HEADER_BYTES ? 0 : receiveBuffer.getShort(0) & 0xffff;
        if (Double.isNaN(socket.dueAtMs[id])) {
            return;
        }
        double nowMs = nowMs();
        int rcode = receiveBuffer.get(3) & 0xf;
        boolean established = rcode == 0 && receiveBuffer.getShort(6) > 0;
        boolean inAim = nowMs - socket.dueAtMs[id]
                <= plan.callerClasses().get(socket.classIndex[id]).aimMs();
        complete(
                socket,
                id,
                established
                        ? inAim ? LoadResult.Outcome.IN_AIM : LoadResult.Outcome.LATE
                        : rcode == 5 ? LoadResult.Outcome.REFUSED : LoadResult.Outcome.FAILED,
                nowMs);
    }

    private void complete(Socket socket, int id, LoadResult.Outcome outcome, double nowMs) {
        result.recordOutcome(socket.classIndex[id], socket.dueAtMs[id], outcome, nowMs - socket.dueAtMs[id]);
        socket.dueAtMs[id] = Double.NaN;
    }

    private void expireQueries(double nowMs) {
        for (Socket socket : sockets) {
            while (socket.oldestId != socket.nextId) {
                int id = socket.oldestId;
                if (!Double.isNaN(socket.dueAtMs[id])) {
                    if (nowMs - socket.dueAtMs[id]
                            < plan.callerClasses().get(socket.classIndex[id]).patienceMs()) {
                        break;
                    }
                    complete(socket, id, LoadResult.Outcome.UNANSWERED, nowMs);
                }
                socket.oldestId = socket.oldestId % (ID_COUNT - 1) + 1;
            }
        }
    }

    LoadResult result() throws IOException {
        if (failure != null) {
            throw failure;
        }
        return result;
    }
}
