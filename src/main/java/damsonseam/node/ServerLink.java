package damsonseam.node;

import damsonseam.Front.Reason;
import damsonseam.Front.Report;
import damsonseam.Front.Result;
import damsonseam.Front.State;
import damsonseam.config.Endpoint;
import damsonseam.core.Pool;
import damsonseam.core.Router;
import damsonseam.sip.SipDecoder;
import damsonseam.sip.SipHeaders;
import damsonseam.sip.SipMessage;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The way to one signalling server: its connections, the attempts out there and the calls that stand there. A
 * set-up takes a connection that carries no other, or the one with the fewest, and one more is made for the next
 * as long as all are taken: what a server spoils on a connection then spoils few calls.
 */
final class ServerLink {
    private static final Logger LOG = LoggerFactory.getLogger(ServerLink.class);
    /** Connections to one server at the most: what it spoils on one of them then spoils an eighth of its calls. */
    private static final int MOST_CONNECTIONS = 8;

    private static final double FIRST_PAUSE = 50;
    private static final double MOST_PAUSE = 1_000;
    /** Octets unsent beyond which a server is taken not to read. */
    private static final int MOST_UNSENT = 256 << 10;
    /** Set-ups that wait for a connection at the most. */
    private static final int MOST_WAITING = 1_000;
    /** Attempts given up that are remembered, so that an answer which crossed the give-up ends its call. */
    private static final int MOST_GIVEN_UP = 1_000;
    /** Silence of a server with calls standing, before it is tested, and before they count as cut: the platform
     * wants the release of a call whose end nobody told within 8 s. */
    private static final double TEST_AFTER = 2_000;

    private static final double DEAD_AFTER = 5_000;
    /** A message stops half way for longer than any packet takes to be sent again. */
    private static final double STUCK_AFTER = 1_000;

    private static final String PING = "sip:ping@net";

    private final ServerLinks.Shared shared;
    private final Router router;
    private Pool.Server server;
    private final List<ServerConnection> connections = new ArrayList<>();
    private final Map<String, Attempt> attempts = new HashMap<>();
    private final ArrayDeque<Attempt> waiting = new ArrayDeque<>();
    private final Set<NodeCall> standing = new HashSet<>();
    private final Map<String, String> givenUp = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
            return size() > MOST_GIVEN_UP;
        }
    };
    private final Map<String, Test> tests = new HashMap<>();
    /** Releases that wait for a connection. */
    private final ArrayDeque<SipMessage> byes = new ArrayDeque<>();

    private boolean connecting;
    /** Whether the connection that is being made began before another was lost. */
    private boolean oneMore;

    private boolean tried;
    private boolean wanted = true;
    private boolean listed = true;
    private boolean replaced;
    private boolean pausing;
    private double pause = FIRST_PAUSE;
    private double heardAt;
    private double testedAt;
    private long testNumber;

    /** An attempt that has not ended: it waits for a connection, or has one, or has gone out on it. */
    private static final class Attempt {
        final NodeCall of;
        final long call;
        final int number;
        final double until;
        ServerConnection on;
        boolean sent;
        double sentAt;

        Attempt(NodeCall of, long call, int number, double until) {
            this.of = of;
            this.call = call;
            this.number = number;
            this.until = until;
        }

        String key() {
            return ServerLink.key(of.id, number);
        }
    }

    /** A test that is not answered yet; the module hears of those that it asked for. */
    private record Test(double sentAt, boolean asked, ServerConnection on) {}

    ServerLink(ServerLinks.Shared shared, Router router, Pool.Server server) {
        this.shared = shared;
        this.router = router;
        this.server = server;
        heardAt = shared.loop().now();
        connect();
    }

    /** The attempts of one call are told apart by the number in CSeq. */
    private static String key(String id, long attempt) {
        return id + "/" + attempt;
    }

    String id() {
        return server.id();
    }

    String address() {
        return server.address();
    }

    /** Descriptors of this link: its connections, and the one being made. */
    int connections() {
        return connections.size() + (connecting ? 1 : 0);
    }

    int attempts() {
        return attempts.size();
    }

    /** Attempts by the counts of connections, and those that wait for one. */
    int carried() {
        return waiting.size()
                + connections.stream().mapToInt(ServerConnection::out).sum();
    }

    Set<NodeCall> standing() {
        return standing;
    }

    /** Whether a first connection was made or failed. */
    boolean tried() {
        return tried;
    }

    double now() {
        return shared.loop().now();
    }

    // ---- The list ---------------------------------------------------------------------------------------

    /** The list names this server, perhaps with a later start or draining. */
    void update(Pool.Server news) {
        Pool.Server old = server;
        listed = true;
        if (replaced && news.address().equals(old.address())) {
            return; // The list still names it: its end has not been told yet.
        }
        server = news;
        replaced = false;
        wanted = true;
        if (news.state() != State.RUNNING) {
            endUnsent();
        }
        double started = news.startedAt().orElse(Double.NEGATIVE_INFINITY);
        if (started > old.startedAt().orElse(Double.NEGATIVE_INFINITY)) {
            // What stood at the process before this one ended with it, told or not.
            cut(call -> call.stoodAt < started);
        }
        if (!news.address().equals(old.address())) {
            List.copyOf(connections).forEach(ServerConnection::close);
        }
        if (connections.isEmpty()) {
            connect();
        }
    }

    /** The list names it no more: what stands there runs on while its connections do. */
    void unwanted() {
        listed = false;
        if (wanted) {
            wanted = false;
            endUnsent();
            closeIfUnused();
            if (!standing.isEmpty()) {
                testAll(now());
            }
        }
    }

    /** Another server has taken the address: the process that this link led to is no more. */
    void replaced() {
        replaced = true;
        wanted = false;
        endUnsent();
        cut(call -> true);
        List.copyOf(connections).forEach(ServerConnection::close);
    }

    /** Whether this link is of no more use. */
    boolean over() {
        return !listed && !wanted && connections.isEmpty() && standing.isEmpty() && attempts.isEmpty() && !connecting;
    }

    private void closeIfUnused() {
        if (!wanted && standing.isEmpty() && attempts.isEmpty()) {
            List.copyOf(connections).forEach(ServerConnection::close);
        }
    }

    // ---- Connections ------------------------------------------------------------------------------------

    /** Makes one more connection where there is room; returns whether one is being made. */
    private boolean connect() {
        boolean room = connections.isEmpty()
                || connections.size() < MOST_CONNECTIONS && shared.room().getAsBoolean();
        if (connecting || !wanted || !room) {
            return connecting;
        }
        connecting = true;
        new Bootstrap()
                .group(shared.loop().eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOCATOR, NodeServer.BUFFERS)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) shared.connectTimeout())
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(MOST_UNSENT / 2, MOST_UNSENT))
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel made) {
                        SipDecoder decoder = new SipDecoder();
                        made.pipeline().addLast(decoder, new ServerConnection(ServerLink.this, made, decoder));
                    }
                })
                .connect(Endpoint.parse(server.address()).toSocketAddress())
                .addListener(f -> {
                    if (!f.isSuccess()) {
                        notConnected(f.cause());
                    }
                });
        return true;
    }

    /** A connection stands: what waited for one goes out. */
    void connected(ServerConnection connection) {
        connecting = false;
        tried = true;
        pause = FIRST_PAUSE;
        connections.add(connection);
        heardAt = Math.max(heardAt, now() - TEST_AFTER);
        for (Attempt a = waiting.poll(); a != null; a = waiting.poll()) {
            place(a, connection);
        }
        if (oneMore) {
            oneMore = false;
            connect();
        }
        for (SipMessage bye = byes.poll(); bye != null; bye = byes.poll()) {
            connection.send(bye, null);
        }
    }

    private void notConnected(Throwable why) {
        connecting = false;
        tried = true;
        endWaiting();
        if (connections.isEmpty()) {
            if (why instanceof ConnectException && !(why instanceof io.netty.channel.ConnectTimeoutException)) {
                // Refused: there is no process any more, and what stood there is cut.
                cut(call -> true);
                byes.clear();
            }
            again();
        }
        shared.loop().kick();
    }

    /** A connection is gone: what was out on it may have run. */
    void disconnected(ServerConnection connection) {
        connections.remove(connection);
        if (connection.out() > 0) {
            LOG.atInfo()
                    .addKeyValue("server", server.id())
                    .addKeyValue("out", connection.out())
                    .addKeyValue("others", connections.size())
                    .log("server's connection lost with set-ups out");
        }
        // A release may have been on its way here: the server says it again on the next connection that is opened.
        oneMore = connecting;
        connect();
        router.clock(now());
        for (Attempt a : List.copyOf(attempts.values())) {
            if (a.on == connection && a.sent) {
                a.of.brokeAt = this;
                end(a, Result.RESET, Reason.NONE, Report.NONE);
            } else if (a.on == connection) {
                placeAgain(a);
            }
        }
        tests.entrySet().removeIf(e -> {
            boolean lost = e.getValue().on == connection;
            if (lost && e.getValue().asked) {
                router.probed(now(), server.id(), true, false, now() - e.getValue().sentAt, Report.NONE);
            }
            return lost;
        });
        if (connections.isEmpty() && !wanted) {
            cut(call -> true);
        }
        shared.loop().kick();
    }

    private void again() {
        if (!wanted || pausing) {
            return;
        }
        // Fronts lose a server together: half to all of the pause keeps their connections apart.
        double wait = pause * (0.5 + 0.5 * shared.random().nextDouble());
        pause = Math.min(MOST_PAUSE, 2 * pause);
        pausing = true;
        shared.loop().timers().set(now() + wait, at -> {
            pausing = false;
            if (connections.isEmpty()) {
                connect();
            }
        });
    }

    /** The connection that carries the fewest attempts, or null; doubtful ones only where they are allowed. */
    private ServerConnection best(boolean doubtfulToo) {
        ServerConnection best = null;
        for (ServerConnection c : connections) {
            if (c.usable() && (doubtfulToo || !c.doubtful()) && (best == null || c.out() < best.out())) {
                best = c;
            }
        }
        return best;
    }

    // ---- Attempts ---------------------------------------------------------------------------------------

    /** Takes a set-up, which waits for a connection where none is free; false if it can't go out. */
    boolean setUp(NodeCall of, long call, int number, double until) {
        Attempt attempt = new Attempt(of, call, number, until);
        if (!wanted || !findPlace(attempt)) {
            return false;
        }
        attempts.put(attempt.key(), attempt);
        return true;
    }

    private boolean findPlace(Attempt attempt) {
        ServerConnection on = best(false);
        if (on == null && waiting.size() < MOST_WAITING && connect()) {
            waiting.add(attempt);
            return true;
        }
        on = on == null ? best(true) : on;
        if (on == null) {
            return false;
        }
        if (on.out() > 0) {
            connect();
        }
        place(attempt, on);
        return true;
    }

    /** The connection of an attempt went before the attempt did. */
    private void placeAgain(Attempt attempt) {
        attempt.on = null;
        if (!wanted || !findPlace(attempt)) {
            end(attempt, Result.UNREACHABLE, Reason.NONE, Report.NONE);
        }
    }

    /** The set-up goes out when the sockets have been read once more: its caller may have left by then. */
    private void place(Attempt attempt, ServerConnection on) {
        attempt.on = on;
        on.out(1);
        shared.loop().afterReads(() -> {
            if (attempts.get(attempt.key()) == attempt && attempt.on == on && !attempt.sent) {
                send(attempt);
            }
        });
    }

    private void send(Attempt attempt) {
        attempt.sent = true;
        attempt.sentAt = now();
        NodeCall of = attempt.of;
        SipMessage invite = SipMessage.request(SipMessage.INVITE, of.target, of.id, attempt.number + 1, of.offer)
                .addHeader("X-Cos", of.className)
                .addHeader("X-Timer-Ms", Long.toString(Math.max(1, (long) (attempt.until - now()))));
        if (of.legs != null) {
            invite.addHeader("X-Legs", of.legs);
        }
        attempt.on.send(invite, null);
    }

    /** Gives an attempt up; the core hears when the system has taken the give-up. */
    void cancel(String id, int number) {
        Attempt attempt = attempts.remove(key(id, number));
        if (attempt == null) {
            return;
        }
        long call = attempt.call;
        if (attempt.on != null) {
            attempt.on.out(-1);
        }
        if (!attempt.sent) {
            waiting.remove(attempt);
            shared.loop().timers().set(now(), at -> router.released(at, call, number));
            return;
        }
        attempt.on.givenUp(attempt.sentAt);
        attempt.of.brokeAt = this;
        givenUp.put(attempt.key(), attempt.of.target);
        attempt.on.send(SipMessage.request(SipMessage.CANCEL, attempt.of.target, id, number + 1), sent -> {
            router.released(now(), call, number);
            shared.loop().kick();
        });
    }

    private void end(Attempt attempt, Result result, Reason reason, Report report) {
        attempts.remove(attempt.key());
        if (attempt.on != null) {
            attempt.on.out(-1);
        }
        router.ended(now(), attempt.call, attempt.number, result, reason, OptionalDouble.empty(), report);
        closeIfUnused();
    }

    /** What waits for a connection never went out. */
    private void endWaiting() {
        for (Attempt a = waiting.poll(); a != null; a = waiting.poll()) {
            end(a, Result.UNREACHABLE, Reason.NONE, Report.NONE);
        }
    }

    /** The server takes nothing new any more: what has not gone out does not go. */
    private void endUnsent() {
        endWaiting();
        for (Attempt a : List.copyOf(attempts.values())) {
            if (!a.sent) {
                end(a, Result.UNREACHABLE, Reason.NONE, Report.NONE);
            }
        }
    }

    /** Sends the release of a call that stands. */
    void bye(String id, String target) {
        LOG.atDebug().addKeyValue("id", id).addKeyValue("server", server.id()).log("released by the node");
        SipMessage bye =
                SipMessage.request(SipMessage.BYE, target, id, 2).addHeader(SipHeaders.REASON, "Q.850;cause=16");
        ServerConnection on = best(true);
        if (on != null) {
            on.send(bye, null);
        } else if (byes.size() < MOST_WAITING) {
            byes.add(bye);
        }
        closeIfUnused();
    }

    private void cut(java.util.function.Predicate<NodeCall> which) {
        router.clock(now());
        for (NodeCall call : List.copyOf(standing)) {
            if (which.test(call)) {
                shared.book().ended(call, Result.RESET, Report.NONE);
            }
        }
    }

    // ---- What the server says ---------------------------------------------------------------------------

    void received(ServerConnection on, SipMessage message) {
        double now = now();
        if (!failedTest(message)) {
            heardAt = now;
        }
        router.catchUp(now);
        router.clock(now);
        Report report = report(message);
        if (!message.isRequest()) {
            answer(on, message, report, now);
        } else if (message.method().equals(SipMessage.NOTIFY)) {
            router.probed(now, server.id(), false, true, 0, report);
        } else if (message.method().equals(SipMessage.BYE)) {
            on.send(SipMessage.response(SipMessage.OK, "OK", message.callId(), message.cseq()), null);
            released(on, message, report);
        }
        shared.loop().kick();
    }

    /**
     * A process that has left its calls may go on to fail tests until it ends: that says nothing for them, and without
     * another word it is as silent as one that is not there.
     */
    private static boolean failedTest(SipMessage message) {
        return !message.isRequest()
                && message.cseqMethod().equals(SipMessage.OPTIONS)
                && message.status() != SipMessage.OK;
    }

    private Report report(SipMessage message) {
        String text = message.headers().get("X-Occupancy");
        return text == null ? Report.NONE : shared.reports().read(text, IllegalArgumentException::new);
    }

    private void answer(ServerConnection on, SipMessage message, Report report, double now) {
        if (!message.isFinalResponse()) {
            return;
        }
        if (message.cseqMethod().equals(SipMessage.OPTIONS)) {
            Test test = tests.remove(String.valueOf(message.callId()));
            if (test != null && test.asked) {
                router.probed(now, server.id(), true, message.status() == SipMessage.OK, now - test.sentAt, report);
            }
            return;
        }
        if (!message.cseqMethod().equals(SipMessage.INVITE)) {
            return;
        }
        String key = key(message.callId(), message.cseqNumber() - 1);
        Attempt attempt = attempts.get(key);
        if (attempt == null || attempt.on != on || !attempt.sent) {
            late(on, message, key);
            return;
        }
        on.send(SipMessage.request(SipMessage.ACK, attempt.of.target, attempt.of.id, message.cseqNumber()), null);
        if (message.status() >= 300) {
            end(attempt, result(message.status()), reason(message), report);
            return;
        }
        attempts.remove(key);
        on.out(-1);
        NodeCall call = attempt.of;
        call.answer = message.body();
        call.answerType = message.headers().get("Content-Type");
        call.answering = this;
        call.standsOn = on;
        router.stands(now, attempt.call, attempt.number, report);
        call.answering = null;
        if (call.standsAt == null) {
            // The core took it for too late: nobody waits for this call any more.
            call.answer = null;
            bye(call.id, call.target);
        }
    }

    /** The answer to an attempt that was given up: if its call stands, it is released. Others are passed over. */
    private void late(ServerConnection on, SipMessage message, String key) {
        String target = givenUp.remove(key);
        if (target != null) {
            on.send(SipMessage.request(SipMessage.ACK, target, message.callId(), message.cseqNumber()), null);
            // The call's next attempt may be out or stand here by now: a release names the call and would cut it.
            if (message.status() < 300 && !hasAttempt(message.callId())) {
                bye(message.callId(), target);
            }
        }
    }

    private boolean hasAttempt(String id) {
        NodeCall call = shared.book().get(id);
        return call != null
                && (call.standsAt == this || attempts.values().stream().anyMatch(a -> a.of == call));
    }

    private static Result result(int status) {
        return switch (status) {
            case 503 -> Result.FULL;
            case 480 -> Result.NOT_SENT;
            case 504 -> Result.RESET;
            default -> Result.ERROR;
        };
    }

    private static Reason reason(SipMessage message) {
        return switch (String.valueOf(message.headers().get("X-Diagnosis"))) {
            case "all_trunks_busy" -> Reason.NO_LINE;
            case "via_said_no", "far_cpu_full" -> Reason.BEYOND_FULL;
            case "cpu_full" -> Reason.PROCESSOR_FULL;
            case "number_busy" -> Reason.NUMBER_BUSY;
            default -> Reason.NONE;
        };
    }

    /**
     * An attempt that broke may have run, and its release bears the same id as that of the call's next attempt at the
     * same server: the one that stands, or is out, is told from it by its connection, while that is open.
     */
    private void released(ServerConnection on, SipMessage message, Report report) {
        NodeCall call = shared.book().get(String.valueOf(message.callId()));
        boolean tidy = String.valueOf(message.headers().get(SipHeaders.REASON))
                .replace(" ", "")
                .endsWith("cause=" + CallBook.NORMAL_CLEARING);
        if (call == null) {
            LOG.atDebug()
                    .addKeyValue("id", String.valueOf(message.callId()))
                    .addKeyValue("server", server.id())
                    .log("release of no call here");
            if (CallSettings.isId(message.callId())) {
                shared.book()
                        .endedAt(
                                server.id(),
                                message.callId(),
                                tidy ? CallBook.NORMAL_CLEARING : CallBook.TEMPORARY_FAILURE);
            }
            return;
        }
        if (call.standsAt == this) {
            if (call.brokeAt == this && call.standsOn != on && call.standsOn.usable()) {
                return;
            }
            shared.book().ended(call, tidy ? Result.COMPLETED : Result.RESET, report);
            closeIfUnused();
            return;
        }
        for (Attempt a : List.copyOf(attempts.values())) {
            if (a.of == call && a.on == on && a.sent) {
                end(a, Result.RESET, Reason.NONE, report);
            }
        }
    }

    // ---- Tests ------------------------------------------------------------------------------------------

    /** A test that the module asks for. */
    void probe() {
        test(true);
    }

    private void test(boolean asked) {
        ServerConnection on = best(false);
        double now = now();
        if (on == null) {
            connect();
            if (asked) {
                shared.loop()
                        .timers()
                        .set(
                                now + shared.connectTimeout(),
                                at -> router.probed(
                                        at, server.id(), true, !connections.isEmpty(), at - now, Report.NONE));
            }
            return;
        }
        test(asked, on);
    }

    private void test(boolean asked, ServerConnection on) {
        double now = now();
        String id = String.format("%016x", (long) server.id().hashCode() << 32 | testNumber++ & 0xffffffffL);
        tests.put(id, new Test(now, asked, on));
        on.send(SipMessage.request(SipMessage.OPTIONS, PING, id, 1), null);
        shared.loop().timers().set(now + shared.connectTimeout(), at -> {
            if (tests.remove(id) != null && asked) {
                router.probed(at, server.id(), true, false, at - now, Report.NONE);
            }
        });
    }

    /**
     * Looks after connections that are of no use any more, as half an answer stands on them or set-ups vanish
     * there, and after calls that stand at a server which says nothing.
     */
    void sweep(double now) {
        for (ServerConnection c : List.copyOf(connections)) {
            if (c.stuck(now, STUCK_AFTER) || c.doubtful() && c.out() == 0) {
                c.close();
            }
        }
        if (standing.isEmpty()) {
            closeIfUnused();
            return;
        }
        double silent = now - heardAt;
        if (silent > DEAD_AFTER) {
            LOG.atWarn()
                    .addKeyValue("server", server.id())
                    .addKeyValue("calls", standing.size())
                    .log("silent server: its calls count as cut");
            List.copyOf(connections).forEach(ServerConnection::close);
            cut(call -> true);
        } else if (silent > TEST_AFTER && now - testedAt > TEST_AFTER / 2) {
            testAll(now);
        }
    }

    /**
     * Finds out whether the process is there: of one that died, a connection on which nothing is sent may know nothing,
     * so that each is asked.
     */
    private void testAll(double now) {
        testedAt = now;
        if (shared.mayProbe()) {
            List.copyOf(connections).forEach(c -> test(false, c));
        } else {
            connect(); // That it comes up shows that the machine is there, and its server speaks first.
        }
    }

    /** Ends with the node: what stands at the server goes on without it. */
    void close() {
        wanted = false;
        standing.clear();
        List.copyOf(connections).forEach(ServerConnection::close);
    }
}
