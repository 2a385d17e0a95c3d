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

/** One thread of a load: sends what is due, reads what has come, and gives up what was waited for long enough. */
final class LoadSender implements Runnable {
    private static final int IDS = 1 << 16;
    /** Questions out on one socket at most, well below the ids, so that an id does not come back too soon. */
    private static final int OUT_PER_SOCKET = 20_000;

    private static final int MOST_SOCKETS = 64;
    private static final int SENT_AT_ONCE = 32;
    private static final int BUFFER = 4 << 20;
    private static final int TAIL_DIGITS = 9;
    private static final double LATE_MS = 1;
    private static final double MS = 1e6;

    private final LoadPlan plan;
    private final double part;
    private final long origin;
    private final SplittableRandom random;
    private final LoadResult result;
    private final List<Socket> sockets = new ArrayList<>();
    private final byte[][] templates;
    private final ByteBuffer in = ByteBuffer.allocateDirect(2_048);
    private final ByteBuffer out = ByteBuffer.allocateDirect(2_048);
    private final Selector selector = Selector.open();
    private final double mostPatience;
    private final double shares;
    private int nextSocket;
    private long sequence;
    private IOException failed;

    /** One socket with the questions that are out on it, by id. */
    private static final class Socket {
        final DatagramChannel channel;
        final double[] dueAt = new double[IDS];
        final byte[] kind = new byte[IDS];
        int nextId = 1;
        int oldest = 1;

        Socket(DatagramChannel channel) {
            this.channel = channel;
            java.util.Arrays.fill(dueAt, Double.NaN);
        }
    }

    LoadSender(LoadPlan plan, int ordinal, long originNs, double peakPerS) throws IOException {
        this.plan = plan;
        part = 1.0 / plan.senderThreads();
        origin = originNs;
        random = new SplittableRandom(plan.seed() * 31 + ordinal);
        result = new LoadResult(plan.callerClasses(), plan.durationS());
        mostPatience = plan.callerClasses().stream()
                .mapToDouble(LoadPlan.CallerClass::patienceMs)
                .max()
                .orElse(1);
        shares = plan.callerClasses().stream()
                .mapToDouble(LoadPlan.CallerClass::share)
                .sum();
        double out = peakPerS * part * mostPatience / 1_000;
        int count = (int) Math.max(1, Math.min(MOST_SOCKETS, Math.ceil(out / OUT_PER_SOCKET)));
        count = Math.max(
                count,
                Math.max(
                        plan.fronts().size(),
                        (plan.sourceAddresses() + plan.senderThreads() - 1) / plan.senderThreads()));
        for (int i = 0; i < count; i++) {
            int sender = (ordinal + i * plan.senderThreads()) % plan.sourceAddresses();
            DatagramChannel channel = DatagramChannel.open();
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.SO_RCVBUF, BUFFER);
            byte[] from = {127, 0, 0, (byte) (1 + sender)};
            channel.bind(new InetSocketAddress(InetAddress.getByAddress(from), 0));
            channel.connect(plan.fronts().get(i % plan.fronts().size()));
            Socket socket = new Socket(channel);
            channel.register(selector, SelectionKey.OP_READ, socket);
            sockets.add(socket);
        }
        templates = plan.callerClasses().stream().map(this::template).toArray(byte[][]::new);
    }

    private byte[] template(LoadPlan.CallerClass kind) {
        Message question = new Message(0);
        question.addRecord(
                Record.newRecord(
                        E164Name.toName(kind.prefix() + "0".repeat(TAIL_DIGITS), E164Name.parseSuffix(plan.suffix())),
                        Type.NAPTR,
                        DClass.IN),
                Section.QUESTION);
        question.addRecord(
                new OPTRecord(
                        DnsCodec.MAX_UDP_RESPONSE_BYTES,
                        0,
                        0,
                        0,
                        List.of(new EdnsCallOption(false, Math.round(kind.patienceMs())).toOption())),
                Section.ADDITIONAL);
        return question.toWire();
    }

    private double now() {
        return (System.nanoTime() - origin) / MS;
    }

    @Override
    public void run() {
        try {
            double end = plan.durationS() * 1_000;
            double due = plan.rateProfile().nextArrivalMs(0, mass());
            while (now() < end + mostPatience && (now() < end || waiting())) {
                double now = now();
                int sent = 0;
                while (due <= now && due < end && sent++ < SENT_AT_ONCE) {
                    send(due, now);
                    due = plan.rateProfile().nextArrivalMs(due, mass());
                }
                read();
                giveUp(now);
                if (sent == 0) {
                    LockSupport.parkNanos((long) Math.max(0, Math.min(50_000, (due - now()) * MS)));
                }
            }
            giveUp(Double.POSITIVE_INFINITY);
        } catch (IOException e) {
            failed = e;
        } finally {
            close();
        }
    }

    private void close() {
        try {
            selector.close();
            for (Socket s : sockets) {
                s.channel.close();
            }
        } catch (IOException e) {
            failed = failed == null ? e : failed;
        }
    }

    /** Calls of all threads until this one has its next. */
    private double mass() {
        return -Math.log(1 - random.nextDouble()) / part;
    }

    private boolean waiting() {
        return sockets.stream().anyMatch(s -> s.oldest != s.nextId);
    }

    private void send(double due, double now) throws IOException {
        int kind = draw();
        Socket s = sockets.get(nextSocket);
        nextSocket = (nextSocket + 1) % sockets.size();
        int id = s.nextId;
        s.nextId = s.nextId % (IDS - 1) + 1;
        if (!Double.isNaN(s.dueAt[id])) {
            end(s, id, LoadResult.Outcome.UNANSWERED, now);
        }
        if (s.nextId == s.oldest) {
            s.oldest = s.oldest % (IDS - 1) + 1;
        }
        byte[] octets = templates[kind];
        octets[0] = (byte) (id >>> 8);
        octets[1] = (byte) id;
        long tail = Math.floorMod(
                sequence++ * plan.senderThreads() + random.nextInt(plan.senderThreads()), plan.numbersPerClass());
        // Two digits name the first choice, seven the caller; they are asked for in reverse, a label each.
        long digits = tail % plan.firstChoices() * 10_000_000L + tail;
        for (int i = 0; i < TAIL_DIGITS; i++) {
            octets[DnsCodec.HEADER_BYTES + 2 * i + 1] = (byte) ('0' + digits % 10);
            digits /= 10;
        }
        s.dueAt[id] = due;
        s.kind[id] = (byte) kind;
        if (now - due > LATE_MS) {
            result.sentLate();
        }
        out.clear().put(octets).flip();
        try {
            s.channel.write(out);
        } catch (PortUnreachableException e) {
            // Nobody listens now; the call goes unanswered and the load goes on.
        }
    }

    private int draw() {
        double x = random.nextDouble() * shares;
        for (int k = 0; k < plan.callerClasses().size() - 1; k++) {
            x -= plan.callerClasses().get(k).share();
            if (x < 0) {
                return k;
            }
        }
        return plan.callerClasses().size() - 1;
    }

    /** Reads what has come; one look at all sockets, as a look at each costs more than the load itself. */
    private void read() throws IOException {
        selector.selectNow(key -> {
            try {
                read((Socket) key.attachment());
            } catch (IOException e) {
                failed = e;
            }
        });
        if (failed != null) {
            throw failed;
        }
    }

    private void read(Socket s) throws IOException {
        for (int i = 0; i < SENT_AT_ONCE; i++) {
            in.clear();
            try {
                if (s.channel.read(in) <= 0) {
                    break;
                }
            } catch (PortUnreachableException e) {
                // Nobody listens now: what is out goes unanswered.
                break;
            }
            answered(s);
        }
    }

    private void answered(Socket s) {
        int id = in.position() < DnsCodec.HEADER_BYTES ? 0 : in.getShort(0) & 0xffff;
        if (Double.isNaN(s.dueAt[id])) {
            return;
        }
        double now = now();
        int rcode = in.get(3) & 0xf;
        boolean stands = rcode == 0 && in.getShort(6) > 0;
        boolean inAim =
                now - s.dueAt[id] <= plan.callerClasses().get(s.kind[id]).aimMs();
        end(
                s,
                id,
                stands
                        ? inAim ? LoadResult.Outcome.IN_AIM : LoadResult.Outcome.LATE
                        : rcode == 5 ? LoadResult.Outcome.REFUSED : LoadResult.Outcome.FAILED,
                now);
    }

    private void end(Socket s, int id, LoadResult.Outcome end, double now) {
        result.recordOutcome(s.kind[id], s.dueAt[id], end, now - s.dueAt[id]);
        s.dueAt[id] = Double.NaN;
    }

    private void giveUp(double now) {
        for (Socket s : sockets) {
            while (s.oldest != s.nextId) {
                int id = s.oldest;
                if (!Double.isNaN(s.dueAt[id])) {
                    if (now - s.dueAt[id] < plan.callerClasses().get(s.kind[id]).patienceMs()) {
                        break;
                    }
                    end(s, id, LoadResult.Outcome.UNANSWERED, now);
                }
                s.oldest = s.oldest % (IDS - 1) + 1;
            }
        }
    }

    LoadResult result() throws IOException {
        if (failed != null) {
            throw failed;
        }
        return result;
    }
}
