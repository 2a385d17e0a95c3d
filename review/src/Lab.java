import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-ins for signalling servers, coordinator and callers, and the start of front nodes by the deploy file. */
final class Lab implements AutoCloseable {
    /** Slack of every time limit (PROTOCOL.md, "The rules on sockets"). */
    static final long SLACK_MS = 50;
    /** An answer that comes later than this after the caller's time is lost (STANDING.md). */
    static final long LATE_ANSWER_MS = 500;

    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    final Path root;
    final Path temp;
    final long startedAt = System.currentTimeMillis();
    final ScheduledExecutorService timers = Executors.newScheduledThreadPool(8, Lab::daemon);
    final List<Node> nodes = new CopyOnWriteArrayList<>();
    private final PrintWriter record;

    /** Creates a lab that writes {@code record.txt} into the folder of a case. */
    Lab(String caseFolder) throws IOException {
        Path folder = Path.of(caseFolder).toAbsolutePath().normalize();
        root = folder.getParent().getParent();
        temp = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        log("run", "TROUBLE=" + (TROUBLE ? 1 : 0));
    }

    interface Case {
        void play(Lab lab) throws Exception;
    }

    /** Plays a case that writes into the folder args[0]; what goes wrong outside the rule ends with exit code 2. */
    static void play(String[] args, Case played) {
        try {
            Lab lab = new Lab(args[0]);
            try {
                played.play(lab);
                lab.finish(2, "could not run: no verdict");
            } catch (Exception e) {
                lab.finish(2, "could not run: " + e);
            }
        } catch (IOException e) {
            System.out.println("could not run: " + e);
            Runtime.getRuntime().halt(2);
        }
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(null, task, "lab", 256 << 10);
        thread.setDaemon(true);
        return thread;
    }

    static void start(IoTask task) {
        daemon(() -> {
                    try {
                        task.run();
                    } catch (IOException e) {
                        // The connection has ended.
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                })
                .start();
    }

    interface IoTask {
        void run() throws IOException, InterruptedException;
    }

    /** Writes a line of the record: milliseconds since the start, who, what. */
    void log(String who, String what) {
        synchronized (record) {
            record.printf("%7d %-12s %s%n", System.currentTimeMillis() - startedAt, who, what);
        }
    }

    /** Milliseconds since the start of the run, as in the record. */
    long at(long unixMs) {
        return unixMs - startedAt;
    }

    /** Ends the run with a verdict: 0 the rule held, 1 it was broken, 2 the case could not run. */
    void finish(int code, String verdict) {
        log("verdict", verdict);
        System.out.println(verdict);
        close();
        Runtime.getRuntime().halt(code);
    }

    @Override
    public void close() {
        for (Node node : nodes) {
            node.kill();
        }
        synchronized (record) {
            record.flush();
        }
        File[] files = temp.toFile().listFiles();
        for (File file : files == null ? new File[0] : files) {
            file.delete();
        }
        temp.toFile().delete();
    }

    static String newId(Random random) {
        return String.format("%016x", random.nextLong());
    }

    // ---- Messages -----------------------------------------------------------------------------------------

    /** A SIP message as read: first line, headers by lower-case name, body. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        String callId() {
            return headers.getOrDefault("call-id", "");
        }

        String method() {
            return first.startsWith("SIP/") ? "" : first.substring(0, first.indexOf(' '));
        }

        int status() {
            return first.startsWith("SIP/") ? Integer.parseInt(first.split(" ")[1]) : 0;
        }
    }

    /** Reads one message; returns null at the end of the stream. */
    static Message read(InputStream in) throws IOException {
        String first = readLine(in);
        while (first != null && first.isEmpty()) {
            first = readLine(in);
        }
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).strip().toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Message(first, headers, body);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            line.write(c);
        }
        return line.toString(StandardCharsets.UTF_8).stripTrailing();
    }

    /** Encodes a message; headers are name and value in turn. */
    static byte[] message(String first, String body, String... headers) {
        StringBuilder text = new StringBuilder(first).append("\r\nVia: SIP/2.0/TCP peer\r\n");
        for (int i = 0; i < headers.length; i += 2) {
            text.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
        }
        text.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body);
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    static byte[] response(int status, Message request, String body, String... headers) {
        List<String> all = new ArrayList<>(List.of(
                "Call-ID", request.callId(), "CSeq", request.headers().getOrDefault("cseq", "1 " + request.method())));
        all.addAll(List.of(headers));
        return message("SIP/2.0 " + status + (status == 200 ? " OK" : " No"), body, all.toArray(new String[0]));
    }

    // ---- Signalling servers -------------------------------------------------------------------------------

    /** One connection to a stand-in. */
    static final class Link {
        final Socket socket;
        private final OutputStream out;

        /** The front node's or caller's port, which names the connection in the record. */
        String name() {
            return "connection " + socket.getPort();
        }

        Link(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            out = socket.getOutputStream();
        }

        boolean send(byte[] bytes) {
            try {
                synchronized (out) {
                    out.write(bytes);
                    out.flush();
                }
                return true;
            } catch (IOException e) {
                return false;
            }
        }
    }

    /** A set-up as a signalling server read it. */
    record Arrival(long at, String callId) {}

    /** A signalling server with many free circuits that answers after a fixed time. */
    final class Server {
        static final int CIRCUITS = 400;
        final String id;
        final int cell;
        final ServerSocket socket = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
        final List<Link> links = new CopyOnWriteArrayList<>();
        final Map<String, Link> standing = new ConcurrentHashMap<>();
        /** The connection of each answered call, kept when the call is over. */
        private final Map<String, Link> standingOn = new ConcurrentHashMap<>();

        final Map<String, Boolean> pending = new ConcurrentHashMap<>();
        /** Releases that were written on no open connection: they go out on the next one. */
        final Map<String, byte[]> unsent = new ConcurrentHashMap<>();

        /** When the release of a call was first written on an open connection. */
        final Map<String, Long> releasedAt = new ConcurrentHashMap<>();
        /** Releases for the next connection that is opened. */
        private final Map<String, byte[]> forNextLink = new ConcurrentHashMap<>();
        /** Connections on which an answer stopped short: they stay open and are of no use any more. */
        private final Set<Link> useless = ConcurrentHashMap.newKeySet();
        /** Share of the set-ups under which the connection is reset, and of the answers that stop short. */
        volatile double resetShare;

        volatile double stopShare;

        final long answerMs;
        final long meanHoldMs;
        private final Random random = new Random();

        Server(int number, long answerMs, long meanHoldMs) throws IOException {
            id = String.format("s-%08x", number + 1);
            cell = number;
            this.answerMs = answerMs;
            this.meanHoldMs = meanHoldMs;
            start(() -> {
                while (true) {
                    Link link = new Link(socket.accept());
                    start(() -> serve(link));
                }
            });
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        private String occupancy() {
            return "spare:" + (CIRCUITS - standing.size()) + ";total:" + CIRCUITS;
        }

        private void serve(Link link) throws IOException {
            // The state of the group comes first of all on each new connection, then releases that wait.
            link.send(message(
                    "NOTIFY sip:group@net SIP/2.0",
                    "",
                    "Call-ID",
                    "0000000000000001",
                    "CSeq",
                    "1 NOTIFY",
                    "X-Occupancy",
                    occupancy()));
            links.add(link);
            forNextLink.forEach((callId, bye) -> {
                forNextLink.remove(callId);
                link.send(bye);
                if (!links.contains(standingOn.get(callId)) || useless.contains(standingOn.get(callId))) {
                    log(id, "sends BYE " + callId + " on the new " + link.name());
                }
            });
            unsent.forEach((callId, bye) -> {
                if (link.send(bye)) {
                    unsent.remove(callId);
                    releasedAt.putIfAbsent(callId, System.currentTimeMillis());
                }
            });
            try (Socket closing = link.socket) {
                InputStream in = new BufferedInputStream(closing.getInputStream());
                for (Message message = read(in); message != null; message = read(in)) {
                    handle(link, message);
                }
            } finally {
                links.remove(link);
            }
        }

        private void handle(Link link, Message message) {
            String callId = message.callId();
            switch (message.method()) {
                case "INVITE" -> {
                    if (random.nextDouble() < resetShare) {
                        log(id, "resets " + link.name() + " under " + callId);
                        reset(link);
                        return;
                    }
                    arrivals.add(new Arrival(System.currentTimeMillis(), callId));
                    log(id, "INVITE " + callId + " on " + link.name());
                    pending.put(callId, true);
                    timers.schedule(() -> answer(link, message), answerMs, TimeUnit.MILLISECONDS);
                }
                case "CANCEL" -> {
                    log(id, "CANCEL " + callId);
                    pending.remove(callId); // "A set-up that was given up is dropped."
                }
                case "BYE" -> {
                    log(id, "BYE " + callId);
                    standing.remove(callId);
                    link.send(response(200, message, ""));
                }
                case "OPTIONS" -> {
                    if (useless.contains(link)) {
                        return;
                    }
                    link.send(response(200, message, "", "X-Occupancy", occupancy()));
                }
                default -> {}
            }
        }

        private static void reset(Link link) {
            try {
                link.socket.setSoLinger(true, 0);
                link.socket.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }

        private void answer(Link link, Message invite) {
            String callId = invite.callId();
            if (pending.remove(callId) == null || !links.contains(link) || useless.contains(link)) {
                return; // Given up, or given up with its connection.
            }
            if (random.nextDouble() < stopShare) {
                log(id, "answer stops short " + callId + " on " + link.name());
                useless.add(link);
                byte[] answer = response(200, invite, "answer of " + id + " for " + callId + "\r\n");
                link.send(Arrays.copyOf(answer, answer.length - 10));
                return;
            }
            standing.put(callId, link);
            standingOn.put(callId, link);
            log(id, "200 " + callId + " on " + link.name());
            link.send(response(200, invite, "answer of " + id + " for " + callId + "\r\n", "X-Occupancy", occupancy()));
            double hold = Math.max(200, Math.min(5, -Math.log(1 - random.nextDouble())) * meanHoldMs);
            timers.schedule(() -> release(callId), (long) hold, TimeUnit.MILLISECONDS);
        }

        private void release(String callId) {
            Link own = standing.remove(callId);
            if (own == null) {
                return;
            }
            byte[] bye = message(
                    "BYE sip:x@net SIP/2.0",
                    "",
                    "Call-ID",
                    callId,
                    "CSeq",
                    "2 BYE",
                    "Reason",
                    "Q.850;cause=16",
                    "X-Occupancy",
                    occupancy());
            // On the connection of its set-up, otherwise on any open one, and also on the next that is opened.
            List<Link> order = new ArrayList<>(List.of(own));
            order.addAll(links);
            forNextLink.put(callId, bye);
            for (Link link : order) {
                if (links.contains(link) && !useless.contains(link) && link.send(bye)) {
                    releasedAt.putIfAbsent(callId, System.currentTimeMillis());
                    log(id, "sends BYE " + callId + " on " + link.name() + (link == own ? "" : ", not its own"));
                    return;
                }
            }
            log(id, "BYE " + callId + " waits for a connection");
            unsent.put(callId, bye);
        }
    }

    // ---- Coordinator --------------------------------------------------------------------------------------

    /** A coordinator that sends each event at once on all open connections, and an empty frame each second. */
    final class Coordinator {
        static final int DRAINING = 1;
        /** How long this coordinator takes from the request of a new watch to its first frame. */
        volatile long serveAfterMs;

        final ServerSocket socket = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        private final List<Link> links = new ArrayList<>();
        private final List<byte[]> frames = new ArrayList<>();
        private final AtomicInteger requests = new AtomicInteger();

        Coordinator() throws IOException {
            start(() -> {
                while (true) {
                    Link link = new Link(socket.accept());
                    start(() -> serve(link));
                }
            });
            timers.scheduleAtFixedRate(() -> push(frame(0, new byte[0])), 1, 1, TimeUnit.SECONDS);
        }

        int requests() {
            return requests.get();
        }

        /** The first event, the whole list, is in the configuration. */
        private synchronized long lastNumber() {
            return 1 + frames.size();
        }

        private void serve(Link link) throws IOException, InterruptedException {
            try (Socket closing = link.socket) {
                DataInputStream in = new DataInputStream(closing.getInputStream());
                long last = in.readLong();
                requests.incrementAndGet();
                log("coordinator", "watch asked for, after event " + last);
                Thread.sleep(serveAfterMs);
                synchronized (this) {
                    for (long number = Math.max(2, last + 1); number <= lastNumber(); number++) {
                        link.send(frames.get((int) number - 2));
                    }
                    links.add(link);
                }
                while (in.read() >= 0) {
                    // Nothing more is expected.
                }
            } finally {
                synchronized (this) {
                    links.remove(link);
                }
            }
        }

        private synchronized byte[] frame(int kind, byte[] payload) {
            long number = kind == 0 ? lastNumber() : lastNumber() + 1;
            return ByteBuffer.allocate(13 + payload.length)
                    .putInt(9 + payload.length)
                    .putLong(number)
                    .put((byte) kind)
                    .put(payload)
                    .array();
        }

        private synchronized void push(byte[] frame) {
            links.removeIf(link -> !link.send(frame));
        }

        /** Adds an event about one server and returns the Unix time at which it was written to all open watches. */
        synchronized long tell(Server server, int state) {
            byte[] entry = ByteBuffer.allocate(27)
                    .putInt((int) Long.parseLong(server.id.substring(2), 16))
                    .put(new byte[] {127, 0, 0, 1})
                    .putShort((short) server.socket.getLocalPort())
                    .put((byte) state)
                    .put((byte) 0)
                    .put((byte) 0)
                    .putShort((short) server.cell)
                    .putInt(1000)
                    .putLong(0)
                    .array();
            byte[] frame = frame(2, entry);
            frames.add(frame);
            push(frame);
            log("coordinator", "event " + lastNumber() + ": " + server.id + " state " + state + " to " + links.size()
                    + " watches");
            return System.currentTimeMillis();
        }
    }

    // ---- Front nodes --------------------------------------------------------------------------------------

    /** A front node, started by the {@code run} command of the deploy file. */
    final class Node {
        final String name;
        final InetSocketAddress address;
        final Process process;

        Node(String name, Coordinator coordinator, List<Server> servers, int sockets) throws Exception {
            this.name = name;
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                address = new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
            }
            String listen = "127.0.0.1:" + address.getPort();
            Path file = temp.resolve(name + ".json");
            Files.writeString(file, config(listen, coordinator, servers, sockets));
            String run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                    .filter(line -> line.startsWith("run = "))
                    .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                    .findFirst()
                    .orElseThrow();
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run)
                    .directory(root.toFile())
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .redirectError(temp.resolve(name + ".log").toFile());
            builder.environment().put("NODE_CONFIG", file.toString());
            builder.environment().put("NODE_NAME", name);
            builder.environment().put("NODE_LISTEN", listen);
            process = builder.start();
            nodes.add(this);
        }

        /** Waits until the node passes a test, as the platform does before it sends calls. */
        void awaitReady() throws Exception {
            long until = System.currentTimeMillis() + 30_000;
            while (System.currentTimeMillis() < until && process.isAlive()) {
                try (Socket socket = new Socket()) {
                    socket.connect(address, 1000);
                    socket.setSoTimeout(2000);
                    socket.getOutputStream()
                            .write(message(
                                    "OPTIONS sip:ping@net SIP/2.0", "", "Call-ID", "00000000000000aa", "CSeq",
                                    "1 OPTIONS"));
                    Message answer = read(socket.getInputStream());
                    if (answer != null && answer.status() == 200) {
                        log(name, "ready");
                        return;
                    }
                } catch (IOException e) {
                    // Not listening yet.
                }
                Thread.sleep(100);
            }
            finish(2, "could not run: front node " + name + " did not become ready");
        }

        void kill() {
            process.destroyForcibly(); // SIGKILL also ends a stopped process.
        }

        private String config(String listen, Coordinator coordinator, List<Server> servers, int sockets) {
            StringBuilder members = new StringBuilder();
            StringBuilder pools = new StringBuilder();
            for (Server server : servers) {
                members.append(members.length() > 0 ? "," : "")
                        .append("{\"id\":\"" + server.id + "\",\"host_port\":\"" + server.address()
                                + "\",\"locality\":\"mvd-centro\",\"flavor\":\"single-core\",\"cell\":" + server.cell
                                + ",\"phase\":\"ready\",\"size\":1,\"up_since_ms\":0}");
                pools.append(pools.length() > 0 ? "," : "").append(server.cell);
            }
            // The settings of the example in WIRE-damsonseam.md, section 6 (montevideo-calculo).
            return "{\"name\":\"" + name + "\",\"listen\":\"" + listen + "\",\"seed\":\"" + newId(new Random())
                    + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets
                    + "},\"coordinator\":\"127.0.0.1:" + coordinator.socket.getLocalPort()
                    + "\",\"known\":{\"index\":1,\"updates\":[{\"index\":1,\"endpoints\":{\"revision\":1,"
                    + "\"complete\":true,\"members\":[" + members + "]}}]},\"settings\":{\"Balancers\":6,"
                    + "\"Caps\":{\"ConnectTimeout\":500.0,\"CpuUsPerS\":400000,\"IdleClose\":600000.0,"
                    + "\"MaxAttempts\":4,\"MaxRetryAfter\":2000.0,\"MaxStreams\":1048576,\"MayCancel\":true,"
                    + "\"MayProbe\":true,\"MayTell\":true,\"MostHeld\":20000,\"ParallelTries\":false,"
                    + "\"RetryAfter\":true},\"Clients\":{\"MarksRetry\":true},\"Discovery\":\"push\","
                    + "\"FamilyInfo\":{\"Guard\":300.0,\"HintsRoute\":false,\"Layout\":\"groups\","
                    + "\"MeanHold\":[9200.0,4600.0],\"RemoteLoad\":\"piggyback\",\"Retransmit\":500.0,"
                    + "\"SaysWait\":false,\"SelfNo\":-1,\"SkilledPools\":[[" + pools + "],[" + pools
                    + "]],\"Widths\":[1,1]},\"Invariants\":{\"AnswerSlack\":20.0,\"ColdFrom\":0.35,"
                    + "\"DrainGrace\":250.0,\"Fall\":1000.0,\"MustAskIn\":10000.0,\"TipMultiple\":3.0,"
                    + "\"WarmWithin\":14000.0},\"Kinds\":[\"single-core\"],\"Ordinal\":1,"
                    + "\"Report\":{\"Fields\":[\"spare\",\"total\",\"cpu_share\",\"pending\"],"
                    + "\"Source\":\"piggyback\"},\"RequestClasses\":[{\"Aim\":1500.0,\"DedupScope\":\"all\","
                    + "\"Effect\":\"retryable\",\"HardLimit\":9000.0,\"LateValue\":0.25,\"Name\":\"simulacion\","
                    + "\"Stream\":true,\"Window\":5000.0,\"Worth\":1.0},{\"Aim\":1200.0,\"DedupScope\":\"all\","
                    + "\"Effect\":\"retryable\",\"HardLimit\":6000.0,\"LateValue\":0.25,"
                    + "\"Name\":\"tasacion-firma\",\"Stream\":true,\"Window\":5000.0,\"Worth\":8.0}],"
                    + "\"Stages\":[\"calc-servers\"],\"Tick\":5.0,\"Tier\":0,\"Weights\":\"silent\","
                    + "\"Workload\":\"trunks\",\"WorthBy\":\"request\",\"Zone\":0,\"Zones\":[\"mvd-centro\"]}}";
        }
    }

    // ---- Callers ------------------------------------------------------------------------------------------

    /** A call of a usual caller. */
    static final class Call {
        final String id;
        final String className;
        final long timerMs;
        /** When the last byte of the set-up was written to a connection that the machine had accepted. */
        volatile long sentAt;

        volatile long answeredAt;
        volatile long releasedAt;
        volatile int status;
        volatile int answers;
        volatile boolean connectionEnded;

        Call(String id, String className, long timerMs) {
            this.id = id;
            this.className = className;
            this.timerMs = timerMs;
        }

        long answerMs() {
            return answeredAt - sentAt;
        }
    }

    /** Usual callers of one front node. Classes and patience as in the site file (try_share 0.3 to 0.4). */
    final class Callers {
        final Node node;
        final List<Call> calls = new CopyOnWriteArrayList<>();
        volatile boolean stopped;
        private final Random random = new Random();
        private final int cells;
        private Link shared;

        Callers(Node node, int cells) {
            this.node = node;
            this.cells = cells;
        }

        /** Sends calls at a mean rate, each on a new connection or all on one that stays open. */
        void start(double perSecond, boolean newConnections) {
            Lab.start(() -> {
                while (!stopped) {
                    if (newConnections) {
                        Lab.start(() -> call(connect(), true));
                    } else {
                        if (shared == null) {
                            shared = connect();
                            Link link = shared;
                            Lab.start(() -> readAll(link));
                        }
                        call(shared, false);
                    }
                    Thread.sleep((long) Math.min(2000, -Math.log(1 - random.nextDouble()) * 1000 / perSecond));
                }
            });
        }

        private final Map<String, Call> byId = new ConcurrentHashMap<>();

        private Link connect() throws IOException {
            Socket socket = new Socket();
            socket.connect(node.address, 10_000);
            return new Link(socket);
        }

        private void call(Link link, boolean own) throws IOException {
            boolean dear = random.nextDouble() < 0.06;
            double share = 0.3 + 0.1 * random.nextDouble();
            Call call = new Call(
                    newId(random), dear ? "tasacion-firma" : "simulacion", Math.round((dear ? 6000 : 9000) * share));
            byId.put(call.id, call);
            byte[] invite = message(
                    "INVITE sip:" + newId(random) + "@net SIP/2.0",
                    "offer of " + call.id + "\r\n",
                    "Call-ID",
                    call.id,
                    "CSeq",
                    "1 INVITE",
                    "X-Cos",
                    call.className,
                    "X-Timer-Ms",
                    Long.toString(call.timerMs),
                    "X-Legs",
                    "dest:" + random.nextInt(cells) + ";width:1;via:-1");
            if (!link.send(invite)) {
                return;
            }
            call.sentAt = System.currentTimeMillis();
            calls.add(call);
            log("caller", "INVITE " + call.id + " " + call.className + " time " + call.timerMs + " to " + node.name);
            if (own) {
                // This caller waits for the end of its call, at most 0.7 s beyond its time for the answer.
                link.socket.setSoTimeout((int) (call.timerMs + 700));
                try (Socket closing = link.socket) {
                    InputStream in = new BufferedInputStream(closing.getInputStream());
                    for (Message message = read(in); message != null; message = read(in)) {
                        handle(link, message);
                        link.socket.setSoTimeout(0);
                        if (call.status != 0 && call.status != 200 || message.method().equals("BYE")) {
                            return;
                        }
                    }
                } finally {
                    call.connectionEnded = true;
                }
            }
        }

        private void readAll(Link link) throws IOException {
            InputStream in = new BufferedInputStream(link.socket.getInputStream());
            for (Message message = read(in); message != null; message = read(in)) {
                handle(link, message);
            }
        }

        private void handle(Link link, Message message) {
            if (message.method().equals("BYE")) {
                link.send(response(200, message, ""));
                Call over = byId.get(message.callId());
                if (over != null && over.releasedAt == 0) {
                    over.releasedAt = System.currentTimeMillis();
                    log("caller", "BYE " + over.id);
                }
                return;
            }
            Call call = byId.get(message.callId());
            if (call == null || message.status() < 200 || !message.headers().getOrDefault("cseq", "").endsWith("INVITE")) {
                return;
            }
            call.answeredAt = System.currentTimeMillis();
            call.status = message.status();
            call.answers++;
            log("caller", "answer " + message.status() + " " + call.id + " after " + call.answerMs() + " ms");
            link.send(message(
                    "ACK sip:x@net SIP/2.0", "", "Call-ID", call.id, "CSeq", "1 ACK"));
        }

        /** Returns the calls that were lost: no final answer by half a second after the caller's time, and slack. */
        List<Call> lost() {
            return calls.stream()
                    .filter(call -> call.status == 0 || call.answerMs() > call.timerMs + LATE_ANSWER_MS + SLACK_MS)
                    .toList();
        }

        long served() {
            return calls.stream().filter(call -> call.status == 200).count();
        }
    }
}
