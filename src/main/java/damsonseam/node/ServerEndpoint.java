package damsonseam.node;

import damsonseam.RoutingPolicy.AttemptStatus;
import damsonseam.RoutingPolicy.RejectReason;
import damsonseam.RoutingPolicy.ServerLoadReport;
import damsonseam.RoutingPolicy.ServerState;
import damsonseam.config.Endpoint;
import damsonseam.core.Router;
import damsonseam.core.ServerList;
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
final class ServerEndpoint {
    private static final Logger LOG = LoggerFactory.getLogger(ServerEndpoint.class);
    /** Connections to one server at the most: what it spoils on one of them then spoils an eighth of its calls. */
    private static final int MAX_CONNECTIONS = 8;

    private static final double INITIAL_BACKOFF_MS = 50;
    private static final double MAX_BACKOFF_MS = 1_000;
    /** Octets unsent beyond which a server is taken not to read. */
    private static final int MAX_UNSENT_BYTES = 256 << 10;
    /** Set-ups that wait for a connection at the most. */
    private static final int MAX_QUEUED_REQUESTS = 1_000;
    /** Attempts given up that are remembered, so that an answer which crossed the give-up ends its call. */
    private static final int MAX_CANCELLED_ATTEMPTS = 1_000;
    /** Silence of a server with calls standing, before it is tested, and before they count as cut: the platform
     * wants the release of a call whose end nobody told within 8 s. */
    private static final double PROBE_AFTER_MS = 2_000;

    private static final double DEAD_AFTER_MS = 5_000;
    /** A message stops half way for longer than any packet takes to be sent again. */
    private static final double STUCK_AFTER_MS = 1_000;

    private static final String PROBE_URI = "sip:ping@net";

    private final ServerEndpoints.EndpointContext context;
    private final Router router;
    private ServerList.Server server;
    private final List<ServerConnection> connections = new ArrayList<>();
    private final Map<String, Attempt> attempts = new HashMap<>();
    private final ArrayDeque<Attempt> queuedAttempts = new ArrayDeque<>();
    private final Set<NodeCall> establishedCalls = new HashSet<>();
    private final Map<String, String> cancelledAttempts = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
            return size() > MAX_CANCELLED_ATTEMPTS;
        }
    };
    private final Map<String, Probe> probes = new HashMap<>();
    /** Releases that wait for a connection. */
    private final ArrayDeque<SipMessage> queuedByes = new ArrayDeque<>();

    private boolean connecting;
    /** Whether the connection that is being made began before another was lost. */
    private boolean connectAgain;

    private boolean connectAttempted;
    private boolean active = true;
    private boolean listed = true;
    private boolean replaced;
    private boolean backingOff;
    private double backoffMs = INITIAL_BACKOFF_MS;
    private double lastReceivedMs;
    private double lastProbedMs;
    private long probeNumber;

    /** An attempt that has not ended: it waits for a connection, or has one, or has gone out on it. */
    private static final class Attempt {
        final NodeCall nodeCall;
        final long recordId;
        final int index;
        final double deadlineMs;
        ServerConnection connection;
        boolean sent;
        double sentAtMs;

        Attempt(NodeCall nodeCall, long recordId, int index, double deadlineMs) {
            this.nodeCall = nodeCall;
            this.recordId = recordId;
            this.index = index;
            this.deadlineMs = deadlineMs;
        }

        String key() {
            return ServerEndpoint.key(nodeCall.id, index);
        }
    }

    /** A test that is not answered yet; the module hears of those that it asked for. */
    private record Probe(double sentAtMs, boolean requested, ServerConnection connection) {}

    ServerEndpoint(ServerEndpoints.EndpointContext context, Router router, ServerList.Server server) {
        this.context = context;
        this.router = router;
        this.server = server;
        lastReceivedMs = context.loop().now();
        connect();
    }

    /** The attempts of one call are told apart by the number in CSeq. */
    private static String key(String callId, long index) {
        return callId + "/" + index;
    }

    String id() {
        return server.id();
    }

    String address() {
        return server.address();
    }

    /** Descriptors of this link: its connections, and the one being made. */
    int connectionCount() {
        return connections.size() + (connecting ? 1 : 0);
    }

    int attemptCount() {
        return attempts.size();
    }

    /** Attempts by the counts of connections, and those that wait for one. */
    int carriedAttempts() {
        return queuedAttempts.size()
                + connections.stream().mapToInt(ServerConnection::outstanding).sum();
    }

    Set<NodeCall> establishedCalls() {
        return establishedCalls;
    }

    /** Whether a first connection was made or failed. */
    boolean hasTriedToConnect() {
        return connectAttempted;
    }

    double now() {
        return context.loop().now();
    }

    // ---- The list ---------------------------------------------------------------------------------------

    /** The list names this server, perhaps with a later start or draining. */
    void update(ServerList.Server updated) {
        ServerList.Server previous = server;
        listed = true;
        if (replaced && updated.address().equals(previous.address())) {
            return; // The list still names it: its end has not been told yet.
        }
        server = updated;
        replaced = false;
        active = true;
        if (updated.state() != ServerState.RUNNING) {
            failUnsent();
        }
        double startedAtMs = updated.startedAt().orElse(Double.NEGATIVE_INFINITY);
        if (startedAtMs > previous.startedAt().orElse(Double.NEGATIVE_INFINITY)) {
            // What stood at the process before this one ended with it, told or not.
            cutCalls(call -> call.establishedAtMs < startedAtMs);
        }
        if (!updated.address().equals(previous.address())) {
            List.copyOf(connections).forEach(ServerConnection::close);
        }
        if (connections.isEmpty()) {
            connect();
        }
    }

    /** The list names it no more: what stands there runs on while its connections do. */
    void onDelisted() {
        listed = false;
        if (active) {
            active = false;
            failUnsent();
            closeIfUnused();
            if (!establishedCalls.isEmpty()) {
                probeAllConnections(now());
            }
        }
    }

    /** Another server has taken the address: the process that this link led to is no more. */
    void onReplaced() {
        replaced = true;
        active = false;
        failUnsent();
        cutCalls(call -> true);
        List.copyOf(connections).forEach(ServerConnection::close);
    }

    /** Whether this link is of no more use. */
    boolean isObsolete() {
        return !listed
                && !active
                && connections.isEmpty()
                && establishedCalls.isEmpty()
                && attempts.isEmpty()
                && !connecting;
    }

    private void closeIfUnused() {
        if (!active && establishedCalls.isEmpty() && attempts.isEmpty()) {
            List.copyOf(connections).forEach(ServerConnection::close);
        }
    }

    // ---- Connections ------------------------------------------------------------------------------------

    /** Makes one more connection where there is room; returns whether one is being made. */
    private boolean connect() {
        boolean hasCapacity = connections.isEmpty()
                || connections.size() < MAX_CONNECTIONS && context.hasCapacity().getAsBoolean();
        if (connecting || !active || !hasCapacity) {
            return connecting;
        }
        connecting = true;
        new Bootstrap()
                .group(context.loop().eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOCATOR, NodeServer.ALLOCATOR)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) context.connectTimeoutMs())
                .option(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(MAX_UNSENT_BYTES / 2, MAX_UNSENT_BYTES))
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        SipDecoder decoder = new SipDecoder();
                        channel.pipeline()
                                .addLast(decoder, new ServerConnection(ServerEndpoint.this, channel, decoder));
                    }
                })
                .connect(Endpoint.parse(server.address()).toSocketAddress())
                .addListener(future -> {
                    if (!future.isSuccess()) {
                        onConnectFailed(future.cause());
                    }
                });
        return true;
    }

    /** A connection stands: what waited for one goes out. */
    void onConnected(ServerConnection connection) {
        connecting = false;
        connectAttempted = true;
        backoffMs = INITIAL_BACKOFF_MS;
        connections.add(connection);
        lastReceivedMs = Math.max(lastReceivedMs, now() - PROBE_AFTER_MS);
        for (Attempt attempt = queuedAttempts.poll(); attempt != null; attempt = queuedAttempts.poll()) {
            assign(attempt, connection);
        }
        if (connectAgain) {
            connectAgain = false;
            connect();
        }
        for (SipMessage bye = queuedByes.poll(); bye != null; bye = queuedByes.poll()) {
            connection.send(bye, null);
        }
    }

    private void onConnectFailed(Throwable cause) {
        connecting = false;
        connectAttempted = true;
        failQueued();
        if (connections.isEmpty()) {
            if (cause instanceof ConnectException && !(cause instanceof io.netty.channel.ConnectTimeoutException)) {
                // Refused: there is no process any more, and what stood there is cut.
                cutCalls(call -> true);
                queuedByes.clear();
            }
            scheduleReconnect();
        }
        context.loop().scheduleBatchEnd();
    }

    /** A connection is gone: what was out on it may have run. */
    void onDisconnected(ServerConnection connection) {
        connections.remove(connection);
        if (connection.outstanding() > 0) {
            LOG.atInfo()
                    .addKeyValue("server", server.id())
                    .addKeyValue("out", connection.outstanding())
                    .addKeyValue("others", connections.size())
                    .log("server's connection lost with set-ups out");
        }
        // A release may have been on its way here: the server says it again on the next connection that is opened.
        connectAgain = connecting;
        connect();
        router.advanceClock(now());
        for (Attempt attempt : List.copyOf(attempts.values())) {
            if (attempt.connection == connection && attempt.sent) {
                attempt.nodeCall.brokenAttemptServer = this;
                endAttempt(attempt, AttemptStatus.RESET, RejectReason.NONE, ServerLoadReport.NONE);
            } else if (attempt.connection == connection) {
                reassign(attempt);
            }
        }
        probes.entrySet().removeIf(entry -> {
            boolean lost = entry.getValue().connection == connection;
            if (lost && entry.getValue().requested) {
                router.probeCompleted(
                        now(), server.id(), true, false, now() - entry.getValue().sentAtMs, ServerLoadReport.NONE);
            }
            return lost;
        });
        if (connections.isEmpty() && !active) {
            cutCalls(call -> true);
        }
        context.loop().scheduleBatchEnd();
    }

    private void scheduleReconnect() {
        if (!active || backingOff) {
            return;
        }
        // Fronts lose a server together: half to all of the pause keeps their connections apart.
        double delayMs = backoffMs * (0.5 + 0.5 * context.random().nextDouble());
        backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
        backingOff = true;
        context.loop().timers().schedule(now() + delayMs, firedAt -> {
            backingOff = false;
            if (connections.isEmpty()) {
                connect();
            }
        });
    }

    /** The connection that carries the fewest attempts, or null; doubtful ones only where they are allowed. */
    private ServerConnection leastLoadedConnection(boolean includeSuspect) {
        ServerConnection best = null;
        for (ServerConnection connection : connections) {
            if (connection.isUsable()
                    && (includeSuspect || !connection.isSuspect())
                    && (best == null || connection.outstanding() < best.outstanding())) {
                best = connection;
            }
        }
        return best;
    }

    // ---- Attempts ---------------------------------------------------------------------------------------

    /** Takes a set-up, which waits for a connection where none is free; false if it can't go out. */
    boolean setUp(NodeCall nodeCall, long recordId, int index, double deadlineMs) {
        Attempt attempt = new Attempt(nodeCall, recordId, index, deadlineMs);
        if (!active || !assignConnection(attempt)) {
            return false;
        }
        attempts.put(attempt.key(), attempt);
        return true;
    }

    private boolean assignConnection(Attempt attempt) {
        ServerConnection connection = leastLoadedConnection(false);
        if (connection == null && queuedAttempts.size() < MAX_QUEUED_REQUESTS && connect()) {
            queuedAttempts.add(attempt);
            return true;
        }
        connection = connection == null ? leastLoadedConnection(true) : connection;
        if (connection == null) {
            return false;
        }
        if (connection.outstanding() > 0) {
            connect();
        }
        assign(attempt, connection);
        return true;
    }

    /** The connection of an attempt went before the attempt did. */
    private void reassign(Attempt attempt) {
        attempt.connection = null;
        if (!active || !assignConnection(attempt)) {
            endAttempt(attempt, AttemptStatus.UNREACHABLE, RejectReason.NONE, ServerLoadReport.NONE);
        }
    }

    /** The set-up goes out when the sockets have been read once more: its caller may have left by then. */
    private void assign(Attempt attempt, ServerConnection connection) {
        attempt.connection = connection;
        connection.adjustOutstanding(1);
        context.loop().runAfterReads(() -> {
            if (attempts.get(attempt.key()) == attempt && attempt.connection == connection && !attempt.sent) {
                sendInvite(attempt);
            }
        });
    }

    private void sendInvite(Attempt attempt) {
        attempt.sent = true;
        attempt.sentAtMs = now();
        NodeCall call = attempt.nodeCall;
        SipMessage invite = SipMessage.request(
                        SipMessage.INVITE, call.requestUri, call.id, attempt.index + 1, call.offer)
                .addHeader("X-Cos", call.className)
                .addHeader("X-Timer-Ms", Long.toString(Math.max(1, (long) (attempt.deadlineMs - now()))));
        if (call.legs != null) {
            invite.addHeader("X-Legs", call.legs);
        }
        attempt.connection.send(invite, null);
    }

    /** Gives an attempt up; the core hears when the system has taken the give-up. */
    void cancel(String callId, int index) {
        Attempt attempt = attempts.remove(key(callId, index));
        if (attempt == null) {
            return;
        }
        long recordId = attempt.recordId;
        if (attempt.connection != null) {
            attempt.connection.adjustOutstanding(-1);
        }
        if (!attempt.sent) {
            queuedAttempts.remove(attempt);
            context.loop().timers().schedule(now(), firedAt -> router.releaseConfirmed(firedAt, recordId, index));
            return;
        }
        attempt.connection.onCancelled(attempt.sentAtMs);
        attempt.nodeCall.brokenAttemptServer = this;
        cancelledAttempts.put(attempt.key(), attempt.nodeCall.requestUri);
        attempt.connection.send(
                SipMessage.request(SipMessage.CANCEL, attempt.nodeCall.requestUri, callId, index + 1), written -> {
                    router.releaseConfirmed(now(), recordId, index);
                    context.loop().scheduleBatchEnd();
                });
    }

    private void endAttempt(Attempt attempt, AttemptStatus result, RejectReason reason, ServerLoadReport report) {
        attempts.remove(attempt.key());
        if (attempt.connection != null) {
            attempt.connection.adjustOutstanding(-1);
        }
        router.attemptEnded(now(), attempt.recordId, attempt.index, result, reason, OptionalDouble.empty(), report);
        closeIfUnused();
    }

    /** What waits for a connection never went out. */
    private void failQueued() {
        for (Attempt attempt = queuedAttempts.poll(); attempt != null; attempt = queuedAttempts.poll()) {
            endAttempt(attempt, AttemptStatus.UNREACHABLE, RejectReason.NONE, ServerLoadReport.NONE);
        }
    }

    /** The server takes nothing new any more: what has not gone out does not go. */
    private void failUnsent() {
        failQueued();
        for (Attempt attempt : List.copyOf(attempts.values())) {
            if (!attempt.sent) {
                endAttempt(attempt, AttemptStatus.UNREACHABLE, RejectReason.NONE, ServerLoadReport.NONE);
            }
        }
    }

    /** Sends the release of a call that stands. */
    void sendBye(String callId, String requestUri) {
        LOG.atDebug()
                .addKeyValue("id", callId)
                .addKeyValue("server", server.id())
                .log("released by the node");
        SipMessage bye = SipMessage.request(SipMessage.BYE, requestUri, callId, 2)
                .addHeader(SipHeaders.REASON, "Q.850;cause=16");
        ServerConnection connection = leastLoadedConnection(true);
        if (connection != null) {
            connection.send(bye, null);
        } else if (queuedByes.size() < MAX_QUEUED_REQUESTS) {
            queuedByes.add(bye);
        }
        closeIfUnused();
    }

    private void cutCalls(java.util.function.Predicate<NodeCall> filter) {
        router.advanceClock(now());
        for (NodeCall call : List.copyOf(establishedCalls)) {
            if (filter.test(call)) {
                context.callRegistry().onReleasedByServer(call, AttemptStatus.RESET, ServerLoadReport.NONE);
            }
        }
    }

    // ---- What the server says ---------------------------------------------------------------------------

    void onMessage(ServerConnection connection, SipMessage message) {
        double now = now();
        if (!isFailedProbe(message)) {
            lastReceivedMs = now;
        }
        router.fireOverdueTimers(now);
        router.advanceClock(now);
        ServerLoadReport report = parseReport(message);
        if (!message.isRequest()) {
            onResponse(connection, message, report, now);
        } else if (message.method().equals(SipMessage.NOTIFY)) {
            router.probeCompleted(now, server.id(), false, true, 0, report);
        } else if (message.method().equals(SipMessage.BYE)) {
            connection.send(SipMessage.response(SipMessage.OK, "OK", message.callId(), message.cseq()), null);
            onBye(connection, message, report);
        }
        context.loop().scheduleBatchEnd();
    }

    /**
     * A process that has left its calls may go on to fail tests until it ends: that says nothing for them, and without
     * another word it is as silent as one that is not there.
     */
    private static boolean isFailedProbe(SipMessage message) {
        return !message.isRequest()
                && message.cseqMethod().equals(SipMessage.OPTIONS)
                && message.status() != SipMessage.OK;
    }

    private ServerLoadReport parseReport(SipMessage message) {
        String text = message.headers().get("X-Occupancy");
        return text == null ? ServerLoadReport.NONE : context.reportFields().parse(text, IllegalArgumentException::new);
    }

    private void onResponse(ServerConnection connection, SipMessage message, ServerLoadReport report, double now) {
        if (!message.isFinalResponse()) {
            return;
        }
        if (message.cseqMethod().equals(SipMessage.OPTIONS)) {
            Probe probe = probes.remove(String.valueOf(message.callId()));
            if (probe != null && probe.requested) {
                router.probeCompleted(
                        now, server.id(), true, message.status() == SipMessage.OK, now - probe.sentAtMs, report);
            }
            return;
        }
        if (!message.cseqMethod().equals(SipMessage.INVITE)) {
            return;
        }
        String key = key(message.callId(), message.cseqNumber() - 1);
        Attempt attempt = attempts.get(key);
        if (attempt == null || attempt.connection != connection || !attempt.sent) {
            onLateResponse(connection, message, key);
            return;
        }
        connection.send(
                SipMessage.request(
                        SipMessage.ACK, attempt.nodeCall.requestUri, attempt.nodeCall.id, message.cseqNumber()),
                null);
        if (message.status() >= 300) {
            endAttempt(attempt, resultOf(message.status()), reasonOf(message), report);
            return;
        }
        attempts.remove(key);
        connection.adjustOutstanding(-1);
        NodeCall call = attempt.nodeCall;
        call.answer = message.body();
        call.answerContentType = message.headers().get("Content-Type");
        call.answeringServer = this;
        call.establishedConnection = connection;
        router.callEstablished(now, attempt.recordId, attempt.index, report);
        call.answeringServer = null;
        if (call.establishedServer == null) {
            // The core took it for too late: nobody waits for this call any more.
            call.answer = null;
            sendBye(call.id, call.requestUri);
        }
    }

    /** The answer to an attempt that was given up: if its call stands, it is released. Others are passed over. */
    private void onLateResponse(ServerConnection connection, SipMessage message, String key) {
        String requestUri = cancelledAttempts.remove(key);
        if (requestUri != null) {
            connection.send(
                    SipMessage.request(SipMessage.ACK, requestUri, message.callId(), message.cseqNumber()), null);
            // The call's next attempt may be out or stand here by now: a release names the call and would cut it.
            if (message.status() < 300 && !hasAttemptOrCall(message.callId())) {
                sendBye(message.callId(), requestUri);
            }
        }
    }

    private boolean hasAttemptOrCall(String callId) {
        NodeCall call = context.callRegistry().get(callId);
        return call != null
                && (call.establishedServer == this
                        || attempts.values().stream().anyMatch(attempt -> attempt.nodeCall == call));
    }

    private static AttemptStatus resultOf(int status) {
        return switch (status) {
            case 503 -> AttemptStatus.FULL;
            case 480 -> AttemptStatus.NOT_SENT;
            case 504 -> AttemptStatus.RESET;
            default -> AttemptStatus.ERROR;
        };
    }

    private static RejectReason reasonOf(SipMessage message) {
        return switch (String.valueOf(message.headers().get("X-Diagnosis"))) {
            case "all_trunks_busy" -> RejectReason.NO_LINE;
            case "via_said_no", "far_cpu_full" -> RejectReason.BEYOND_FULL;
            case "cpu_full" -> RejectReason.PROCESSOR_FULL;
            case "number_busy" -> RejectReason.NUMBER_BUSY;
            default -> RejectReason.NONE;
        };
    }

    /**
     * An attempt that broke may have run, and its release bears the same id as that of the call's next attempt at the
     * same server: the one that stands, or is out, is told from it by its connection, while that is open.
     */
    private void onBye(ServerConnection connection, SipMessage message, ServerLoadReport report) {
        NodeCall call = context.callRegistry().get(String.valueOf(message.callId()));
        boolean normalClearing = String.valueOf(message.headers().get(SipHeaders.REASON))
                .replace(" ", "")
                .endsWith("cause=" + CallRegistry.CAUSE_NORMAL_CLEARING);
        if (call == null) {
            LOG.atDebug()
                    .addKeyValue("id", String.valueOf(message.callId()))
                    .addKeyValue("server", server.id())
                    .log("release of no call here");
            if (InviteParser.isCallId(message.callId())) {
                context.callRegistry()
                        .recordRelease(
                                server.id(),
                                message.callId(),
                                normalClearing
                                        ? CallRegistry.CAUSE_NORMAL_CLEARING
                                        : CallRegistry.CAUSE_TEMPORARY_FAILURE);
            }
            return;
        }
        if (call.establishedServer == this) {
            if (call.brokenAttemptServer == this
                    && call.establishedConnection != connection
                    && call.establishedConnection.isUsable()) {
                return;
            }
            context.callRegistry()
                    .onReleasedByServer(call, normalClearing ? AttemptStatus.COMPLETED : AttemptStatus.RESET, report);
            closeIfUnused();
            return;
        }
        for (Attempt attempt : List.copyOf(attempts.values())) {
            if (attempt.nodeCall == call && attempt.connection == connection && attempt.sent) {
                endAttempt(attempt, AttemptStatus.RESET, RejectReason.NONE, report);
            }
        }
    }

    // ---- Tests ------------------------------------------------------------------------------------------

    /** A test that the module asks for. */
    void probe() {
        sendProbe(true);
    }

    private void sendProbe(boolean requested) {
        ServerConnection connection = leastLoadedConnection(false);
        double now = now();
        if (connection == null) {
            connect();
            if (requested) {
                context.loop()
                        .timers()
                        .schedule(
                                now + context.connectTimeoutMs(),
                                firedAt -> router.probeCompleted(
                                        firedAt,
                                        server.id(),
                                        true,
                                        !connections.isEmpty(),
                                        firedAt - now,
                                        ServerLoadReport.NONE));
            }
            return;
        }
        sendProbe(requested, connection);
    }

    private void sendProbe(boolean requested, ServerConnection connection) {
        double now = now();
        String probeId = String.format("%016x", (long) server.id().hashCode() << 32 | probeNumber++ & 0xffffffffL);
        probes.put(probeId, new Probe(now, requested, connection));
        connection.send(SipMessage.request(SipMessage.OPTIONS, PROBE_URI, probeId, 1), null);
        context.loop().timers().schedule(now + context.connectTimeoutMs(), firedAt -> {
            if (probes.remove(probeId) != null && requested) {
                router.probeCompleted(firedAt, server.id(), true, false, firedAt - now, ServerLoadReport.NONE);
            }
        });
    }

    /**
     * Looks after connections that are of no use any more, as half an answer stands on them or set-ups vanish
     * there, and after calls that stand at a server which says nothing.
     */
    void sweep(double now) {
        for (ServerConnection connection : List.copyOf(connections)) {
            if (connection.isStuckMidMessage(now, STUCK_AFTER_MS)
                    || connection.isSuspect() && connection.outstanding() == 0) {
                connection.close();
            }
        }
        if (establishedCalls.isEmpty()) {
            closeIfUnused();
            return;
        }
        double silentMs = now - lastReceivedMs;
        if (silentMs > DEAD_AFTER_MS) {
            LOG.atWarn()
                    .addKeyValue("server", server.id())
                    .addKeyValue("calls", establishedCalls.size())
                    .log("silent server: its calls count as cut");
            List.copyOf(connections).forEach(ServerConnection::close);
            cutCalls(call -> true);
        } else if (silentMs > PROBE_AFTER_MS && now - lastProbedMs > PROBE_AFTER_MS / 2) {
            probeAllConnections(now);
        }
    }

    /**
     * Finds out whether the process is there: of one that died, a connection on which nothing is sent may know nothing,
     * so that each is asked.
     */
    private void probeAllConnections(double now) {
        lastProbedMs = now;
        if (context.probesAllowed()) {
            List.copyOf(connections).forEach(connection -> sendProbe(false, connection));
        } else {
            connect(); // That it comes up shows that the machine is there, and its server speaks first.
        }
    }

    /** Ends with the node: what stands at the server goes on without it. */
    void close() {
        active = false;
        establishedCalls.clear();
        List.copyOf(connections).forEach(ServerConnection::close);
    }
}
