package damsonseam.node;

import damsonseam.RoutingPolicy.AttemptStatus;
import damsonseam.RoutingPolicy.RejectReason;
import damsonseam.RoutingPolicy.ServerLoadReport;
import damsonseam.RoutingPolicy.ServerState;
import damsonseam.core.Router;
import damsonseam.core.ServerList;
import damsonseam.sip.SipMessage;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One signalling server: its connections, the attempts outstanding at it and the calls established at it. A set-up
 * goes out on the connection with the fewest outstanding attempts; while every connection carries one, a further
 * connection is opened for the next set-up. A failure of one connection then affects few calls.
 *
 * <p>Used on the event loop only. Bounds: {@link #MAX_CONNECTIONS} connections, {@link #MAX_QUEUED_ATTEMPTS} attempts
 * waiting for one.
 */
final class ServerEndpoint {
    private static final Logger LOG = LoggerFactory.getLogger(ServerEndpoint.class);
    /** Limit of connections to one server: the failure of one then affects an eighth of its calls. */
    private static final int MAX_CONNECTIONS = 8;

    private static final double INITIAL_BACKOFF_MS = 50;
    private static final double MAX_BACKOFF_MS = 1_000;
    /** Limit of the attempts that wait for a connection. */
    private static final int MAX_QUEUED_ATTEMPTS = 1_000;
    /** How long a message may stay unfinished: longer than any TCP retransmission takes. */
    private static final double STUCK_AFTER_MS = 1_000;

    private final ServerEndpoints.EndpointContext context;
    private final Router router;
    private ServerList.Server server;
    private final List<ServerConnection> connections = new ArrayList<>();
    private final Map<String, ServerAttempt> attempts = new HashMap<>();
    private final ArrayDeque<ServerAttempt> queuedAttempts = new ArrayDeque<>();
    private final Set<NodeCall> establishedCalls = new HashSet<>();
    private final CancelledAttempts cancelledAttempts = new CancelledAttempts();
    private final ServerProbes probes;
    private final ServerLiveness liveness;
    private final AmbiguousReleases ambiguousReleases;
    private final PendingServerReleases releases = new PendingServerReleases(this);

    private boolean connecting;
    /** Whether another connection was lost while the present connection attempt was under way. */
    private boolean connectAgain;

    /** Whether no connection has been opened since one was lost: the server repeats a lost BYE on the next one. */
    private boolean replacementNeeded;

    private boolean connectAttemptCompleted;
    /** Whether connections may be opened and set-ups sent; false once delisted, replaced or closed. */
    private boolean active = true;
    /** Whether the server list names this server. */
    private boolean listed = true;
    /** Whether another server has taken the address of this one. */
    private boolean replaced;

    private boolean backingOff;
    private double backoffMs = INITIAL_BACKOFF_MS;
    /** Whether the node has closed this endpoint for good. */
    private boolean closed;

    ServerEndpoint(ServerEndpoints.EndpointContext context, Router router, ServerList.Server server) {
        this.context = context;
        this.router = router;
        this.server = server;
        probes = new ServerProbes(context, router, server.id());
        ambiguousReleases = new AmbiguousReleases(context.loop(), this::onReleaseEffective);
        liveness = new ServerLiveness(this, probes, context.probesAllowed(), connections, now());
        connect();
    }

    String id() {
        return server.id();
    }

    String address() {
        return server.address();
    }

    /** Returns the number of file descriptors in use: the open connections and the one being opened. */
    int connectionCount() {
        return connections.size() + (connecting ? 1 : 0);
    }

    int outstandingAttempts() {
        return attempts.size();
    }

    /** Returns the number of attempts as counted by the connections, and those that wait for one. */
    int carriedAttempts() {
        return queuedAttempts.size()
                + connections.stream()
                        .mapToInt(ServerConnection::outstandingAttempts)
                        .sum();
    }

    Set<NodeCall> establishedCalls() {
        return establishedCalls;
    }

    /** Returns whether a first connection attempt has completed, successfully or not. */
    boolean hasCompletedConnectAttempt() {
        return connectAttemptCompleted;
    }

    double now() {
        return context.loop().now();
    }

    // ---- Server list ------------------------------------------------------------------------------------

    /** Applies the entry of the server list for this server, perhaps with a later start or a new state. */
    void update(ServerList.Server updated) {
        ServerList.Server previous = server;
        listed = true;
        if (replaced && updated.address().equals(previous.address())) {
            return; // The list still names the replaced server: the update about its end is yet to come.
        }
        server = updated;
        replaced = false;
        active = true;
        if (updated.state() != ServerState.RUNNING) {
            failUnsent();
        }
        double startedAtMs = updated.startedAt().orElse(Double.NEGATIVE_INFINITY);
        if (startedAtMs > previous.startedAt().orElse(Double.NEGATIVE_INFINITY)) {
            // The calls established at the previous process ended with it, reported or not.
            endCallsOfEndedProcess(call -> call.establishedAtMs < startedAtMs);
        }
        if (!updated.address().equals(previous.address())) {
            List.copyOf(connections).forEach(ServerConnection::close);
        }
        if (connections.isEmpty()) {
            connect();
        }
    }

    /** Handles that the list no longer names this server: its calls go on as long as its connections last. */
    void onDelisted() {
        listed = false;
        if (active) {
            active = false;
            failUnsent();
            closeIfUnused();
            if (!establishedCalls.isEmpty()) {
                liveness.probeAllConnections(now());
            }
        }
    }

    /** Handles that another server has taken the address: the process behind this endpoint has ended. */
    void onReplaced() {
        replaced = true;
        active = false;
        failUnsent();
        endCallsOfEndedProcess(call -> true);
        List.copyOf(connections).forEach(ServerConnection::close);
    }

    /** Returns whether this endpoint can be removed. */
    boolean isObsolete() {
        return !listed
                && !active
                && connections.isEmpty()
                && establishedCalls.isEmpty()
                && attempts.isEmpty()
                && releases.isEmpty()
                && !connecting;
    }

    private void closeIfUnused() {
        if (!active && establishedCalls.isEmpty() && attempts.isEmpty() && releases.isEmpty()) {
            List.copyOf(connections).forEach(ServerConnection::close);
        }
    }

    // ---- Connections ------------------------------------------------------------------------------------

    /** Opens one more connection if the limits allow it; returns whether one is being opened. */
    boolean connect() {
        boolean hasCapacity = connections.isEmpty()
                || connections.size() < MAX_CONNECTIONS && context.hasCapacity().getAsBoolean();
        if (connecting || !mayConnect() || !hasCapacity) {
            return connecting;
        }
        connecting = true;
        ServerConnector.connect(context, this).addListener(future -> {
            if (!future.isSuccess()) {
                onConnectFailed(future.cause());
            }
        });
        return true;
    }

    /** Returns whether connections may be opened: for set-ups, or for pending releases to a delisted server. */
    private boolean mayConnect() {
        return active || !closed && !replaced && !releases.isEmpty();
    }

    /** Adds an established connection and sends what waited for one. */
    void onConnected(ServerConnection connection) {
        connecting = false;
        connectAttemptCompleted = true;
        backoffMs = INITIAL_BACKOFF_MS;
        connections.add(connection);
        assignQueued(connection);
        replacementNeeded = connectAgain;
        if (connectAgain) {
            connectAgain = false;
            connect();
        }
        releases.onConnected(connection);
        if (!active && !establishedCalls.isEmpty() && context.probesAllowed()) {
            // The list dropped the server while this connection was being opened: it is probed like the others.
            probes.send(connection, false);
        }
    }

    /** Handles that a connection has been read: one that was in doubt may serve the attempts that wait. */
    void onReadComplete(ServerConnection connection) {
        if (!queuedAttempts.isEmpty() && active && connection.acceptsSetUps()) {
            assignQueued(connection);
        }
    }

    private void assignQueued(ServerConnection connection) {
        for (ServerAttempt attempt = queuedAttempts.poll(); attempt != null; attempt = queuedAttempts.poll()) {
            assign(attempt, connection);
        }
    }

    private void onConnectFailed(Throwable cause) {
        connecting = false;
        connectAgain = false;
        connectAttemptCompleted = true;
        failQueued();
        if (connections.isEmpty()) {
            if (cause instanceof ConnectException && !(cause instanceof io.netty.channel.ConnectTimeoutException)) {
                // Connection refused: the process has probably ended, but a full one may refuse connections, too.
                releaseCallsAtBothSides(call -> true);
            }
        }
        if (isConnectionNeeded()) {
            scheduleReconnect();
        }
        context.loop().scheduleBatchEnd();
    }

    /** Removes a closed connection. Attempts sent on it are reset: the server may have handled them. */
    void onDisconnected(ServerConnection connection) {
        connections.remove(connection);
        if (connection.outstandingAttempts() > 0) {
            LOG.atInfo()
                    .addKeyValue("server", server.id())
                    .addKeyValue("out", connection.outstandingAttempts())
                    .addKeyValue("others", connections.size())
                    .log("server connection lost with outstanding attempts");
        }
        // A BYE from the server may have been lost with it: the server repeats it on the next connection opened.
        replacementNeeded = active;
        connectAgain = connecting;
        if (!connect()) {
            scheduleReconnect();
        }
        router.advanceClock(now());
        for (ServerAttempt attempt : List.copyOf(attempts.values())) {
            if (attempt.connection == connection && attempt.sent) {
                attempt.nodeCall.recordBrokenAttempt(this);
                releases.addUncertain(attempt.nodeCall.callId, attempt.nodeCall.requestUri);
                endAttempt(attempt, AttemptStatus.RESET, RejectReason.NONE, ServerLoadReport.NONE);
            } else if (attempt.connection == connection) {
                reassign(attempt);
            }
        }
        probes.onDisconnected(connection, now());
        ambiguousReleases.onDisconnected(connection);
        cancelledAttempts
                .removeAll(connection)
                .forEach(attempt -> releases.addUncertain(attempt.callId(), attempt.requestUri()));
        releases.onDisconnected(connection);
        if (connections.isEmpty() && !active) {
            releaseCallsAtBothSides(call -> true);
        } else if (liveness.isSignOfNewProcess(connection, now())) {
            LOG.atWarn()
                    .addKeyValue("server", server.id())
                    .addKeyValue("calls", establishedCalls.size())
                    .log("all connections lost after a silence: releasing the calls of the former process");
            releaseCallsAtBothSides(call -> call.establishedAtMs <= connection.unansweredProbeSinceMs());
        }
        context.loop().scheduleBatchEnd();
    }

    private void scheduleReconnect() {
        if (!mayConnect() || backingOff) {
            return;
        }
        // All front nodes lose a server at the same time: a delay of half to all of the backoff spreads them.
        double delayMs = backoffMs * (0.5 + 0.5 * context.random().nextDouble());
        backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
        backingOff = true;
        context.loop().timers().schedule(now() + delayMs, firedAt -> {
            backingOff = false;
            if (isConnectionNeeded() && !connect()) {
                scheduleReconnect();
            }
        });
    }

    /** Returns whether a connection must be opened even if none is needed for a set-up. */
    private boolean isConnectionNeeded() {
        return connections.isEmpty() || replacementNeeded;
    }

    private ServerConnection leastLoadedConnection(boolean includeDoubtful) {
        return ServerConnection.leastLoaded(connections, includeDoubtful, null);
    }

    /** Returns the best connection for a BYE, or null if there is none beside the excluded one. */
    ServerConnection connectionForRelease(ServerConnection excluded) {
        return ServerConnection.leastLoaded(connections, true, excluded);
    }

    // ---- Attempts ---------------------------------------------------------------------------------------

    /** Starts an attempt, which may wait for a connection first; returns false if it cannot be sent. */
    boolean setUp(NodeCall nodeCall, long recordId, int index, double giveUpAtMs) {
        ServerAttempt attempt = new ServerAttempt(nodeCall, recordId, index, giveUpAtMs);
        if (!active || !tryAssignConnection(attempt)) {
            return false;
        }
        attempts.put(attempt.key(), attempt);
        return true;
    }

    private boolean tryAssignConnection(ServerAttempt attempt) {
        ServerConnection connection = leastLoadedConnection(false);
        if (connection == null && queuedAttempts.size() < MAX_QUEUED_ATTEMPTS && connect()) {
            queuedAttempts.add(attempt);
            return true;
        }
        connection = connection == null ? leastLoadedConnection(true) : connection;
        if (connection == null) {
            return false;
        }
        if (connection.outstandingAttempts() > 0) {
            connect();
        }
        assign(attempt, connection);
        return true;
    }

    /** Assigns another connection to an attempt whose connection closed before the set-up was sent. */
    private void reassign(ServerAttempt attempt) {
        attempt.connection = null;
        if (!active || !tryAssignConnection(attempt)) {
            endAttempt(attempt, AttemptStatus.UNREACHABLE, RejectReason.NONE, ServerLoadReport.NONE);
        }
    }

    /**
     * Assigns a connection to an attempt. The set-up is sent after the sockets have been read once more, since its
     * caller may have abandoned the call by then.
     */
    private void assign(ServerAttempt attempt, ServerConnection connection) {
        attempt.connection = connection;
        connection.adjustOutstandingAttempts(1);
        context.loop().runAfterReads(() -> {
            if (attempts.get(attempt.key()) == attempt && attempt.connection == connection && !attempt.sent) {
                sendInvite(attempt);
            }
        });
    }

    private void sendInvite(ServerAttempt attempt) {
        attempt.sent = true;
        attempt.sentAtMs = now();
        NodeCall call = attempt.nodeCall;
        call.attemptSent = true;
        SipMessage invite = SipMessage.request(
                        SipMessage.INVITE, call.requestUri, call.callId, attempt.index + 1, call.offer)
                .addHeader("X-Cos", call.className)
                .addHeader("X-Timer-Ms", Long.toString(Math.max(1, (long) (attempt.giveUpAtMs - now()))));
        if (call.legs != null) {
            invite.addHeader("X-Legs", call.legs);
        }
        attempt.connection.send(invite, null);
    }

    /** Cancels an attempt; the core is notified when the operating system has taken the CANCEL. */
    void cancel(String callId, int index) {
        ServerAttempt attempt = attempts.remove(ServerAttempt.key(callId, index));
        if (attempt == null) {
            return;
        }
        long recordId = attempt.recordId;
        if (attempt.connection != null) {
            attempt.connection.adjustOutstandingAttempts(-1);
        }
        if (!attempt.sent) {
            queuedAttempts.remove(attempt);
            context.loop().timers().schedule(now(), firedAt -> router.releaseConfirmed(firedAt, recordId, index));
            return;
        }
        attempt.connection.onCancelled(attempt.sentAtMs);
        attempt.nodeCall.recordBrokenAttempt(this);
        cancelledAttempts.add(attempt);
        attempt.connection.send(
                SipMessage.request(SipMessage.CANCEL, attempt.nodeCall.requestUri, callId, index + 1), written -> {
                    router.releaseConfirmed(now(), recordId, index);
                    context.loop().scheduleBatchEnd();
                });
    }

    private void endAttempt(ServerAttempt attempt, AttemptStatus status, RejectReason reason, ServerLoadReport report) {
        attempts.remove(attempt.key());
        if (attempt.connection != null) {
            attempt.connection.adjustOutstandingAttempts(-1);
        }
        router.attemptEnded(now(), attempt.recordId, attempt.index, status, reason, OptionalDouble.empty(), report);
        closeIfUnused();
    }

    /** Ends the attempts that wait for a connection as unreachable. */
    private void failQueued() {
        for (ServerAttempt attempt = queuedAttempts.poll(); attempt != null; attempt = queuedAttempts.poll()) {
            endAttempt(attempt, AttemptStatus.UNREACHABLE, RejectReason.NONE, ServerLoadReport.NONE);
        }
    }

    /** Ends all attempts that have not been sent as unreachable, since the server accepts no new set-ups. */
    private void failUnsent() {
        failQueued();
        for (ServerAttempt attempt : List.copyOf(attempts.values())) {
            if (!attempt.sent) {
                endAttempt(attempt, AttemptStatus.UNREACHABLE, RejectReason.NONE, ServerLoadReport.NONE);
            }
        }
    }

    /** Releases a call at the server, as soon as there is a connection and until the server is known to know. */
    void sendBye(String callId, String requestUri) {
        releases.send(callId, requestUri, CallRegistry.CAUSE_NORMAL_CLEARING);
    }

    /** Returns the number of BYE requests that the server may still confirm in time. */
    long releasesAwaitingConfirmation() {
        return releases.countAwaitingConfirmation();
    }

    /** Ends the calls of a process that is known to have ended, and releases them to their callers. */
    private void endCallsOfEndedProcess(Predicate<NodeCall> filter) {
        releases.onProcessEnded();
        endCalls(filter);
    }

    /**
     * Ends calls of which it is not known whether they are still established at the server. Their callers are told, and
     * the server gets a release, too.
     */
    private void releaseCallsAtBothSides(Predicate<NodeCall> filter) {
        endCalls(filter)
                .forEach(call -> releases.send(call.callId, call.requestUri, CallRegistry.CAUSE_TEMPORARY_FAILURE));
    }

    private List<NodeCall> endCalls(Predicate<NodeCall> filter) {
        router.advanceClock(now());
        List<NodeCall> ended = establishedCalls.stream().filter(filter).toList();
        ended.forEach(
                call -> context.callRegistry().onReleasedByServer(call, AttemptStatus.RESET, ServerLoadReport.NONE));
        return ended;
    }

    /** Returns whether a call is established here or may make another attempt here, which a BYE would end. */
    boolean mayUseCallAgain(String callId) {
        NodeCall call = context.callRegistry().get(callId);
        return call != null && (call.establishedServer == null || call.establishedServer == this);
    }

    // ---- Messages from the server -----------------------------------------------------------------------

    void onMessage(ServerConnection connection, SipMessage message) {
        double now = now();
        if (!ServerOutcomes.isFailedProbe(message)) {
            liveness.onMessage(now);
        }
        releases.onMessage(connection, now);
        router.fireOverdueTimers(now);
        router.advanceClock(now);
        ServerLoadReport report = parseLoadReport(message);
        if (message.isRequest()) {
            onRequest(connection, message, report, now);
        } else {
            onResponse(connection, message, report, now);
        }
        context.loop().scheduleBatchEnd();
    }

    private void onRequest(ServerConnection connection, SipMessage message, ServerLoadReport report, double now) {
        ambiguousReleases.onRequest(connection, now);
        if (message.method().equals(SipMessage.NOTIFY)) {
            endCallsUnknownToNewProcess(report);
            router.probeCompleted(now, server.id(), false, true, 0, report);
        } else if (message.method().equals(SipMessage.BYE)) {
            connection.send(SipMessage.response(SipMessage.OK, "OK", message.callId(), message.cseq()), null);
            onBye(connection, message, report);
        }
    }

    /** Releases the calls of a process that was replaced unnoticed, if the report shows it. */
    private void endCallsUnknownToNewProcess(ServerLoadReport report) {
        if (!establishedCalls.isEmpty()) {
            liveness.endOfFormerProcess(report)
                    .ifPresent(endMs ->
                            releaseCallsAtBothSides(call -> call.namedByServer && call.establishedAtMs < endMs));
        }
    }

    private ServerLoadReport parseLoadReport(SipMessage message) {
        String text = message.headers().get("X-Occupancy");
        return text == null
                ? ServerLoadReport.NONE
                : context.loadReportParser().parse(text, IllegalArgumentException::new);
    }

    private void onResponse(ServerConnection connection, SipMessage message, ServerLoadReport report, double now) {
        if (!message.isFinalResponse()) {
            return;
        }
        if (message.cseqMethod().equals(SipMessage.OPTIONS)) {
            onProbeResponse(connection, message, report, now);
            return;
        }
        if (message.cseqMethod().equals(SipMessage.BYE)) {
            releases.onConfirmed(String.valueOf(message.callId()));
            closeIfUnused();
            return;
        }
        if (!message.cseqMethod().equals(SipMessage.INVITE)) {
            return;
        }
        String key = ServerAttempt.key(message.callId(), message.cseqNumber() - 1);
        ServerAttempt attempt = attempts.get(key);
        if (attempt == null || attempt.connection != connection || !attempt.sent) {
            onLateResponse(connection, message, key);
            return;
        }
        connection.send(
                SipMessage.request(
                        SipMessage.ACK, attempt.nodeCall.requestUri, attempt.nodeCall.callId, message.cseqNumber()),
                null);
        if (message.status() >= 300) {
            AttemptStatus status = ServerOutcomes.attemptStatusOf(message.status());
            endAttempt(attempt, status, ServerOutcomes.rejectReasonOf(message), report);
            return;
        }
        attempts.remove(key);
        connection.adjustOutstandingAttempts(-1);
        NodeCall call = attempt.nodeCall;
        call.answer = message.body();
        call.answerContentType = message.headers().get("Content-Type");
        call.answeringServer = this;
        call.establishedConnection = connection;
        router.callEstablished(now, attempt.recordId, attempt.index, report);
        call.answeringServer = null;
        if (call.establishedServer == null) {
            // The core considered the response too late: no caller waits for this call any more.
            call.answer = null;
            sendBye(call.callId, call.requestUri);
        }
    }

    private void onProbeResponse(ServerConnection connection, SipMessage message, ServerLoadReport report, double now) {
        ServerProbes.Probe probe = probes.onResponse(message, report, now);
        if (probe != null && probe.connection() == connection && message.status() == SipMessage.OK) {
            ambiguousReleases.onProbeAnswered(connection, probe.sentAtMs());
        }
    }

    /** Acknowledges a response to a cancelled attempt, and releases the call on success. Other ones are ignored. */
    private void onLateResponse(ServerConnection connection, SipMessage message, String key) {
        CancelledAttempts.CancelledAttempt attempt = cancelledAttempts.remove(key);
        if (attempt == null) {
            return;
        }
        connection.send(
                SipMessage.request(SipMessage.ACK, attempt.requestUri(), attempt.callId(), message.cseqNumber()), null);
        if (message.status() >= 300) {
            return;
        }
        if (isHandlingCall(attempt.callId())) {
            // The call's next attempt is outstanding or established here: a BYE names the call and would end it.
            releases.addUncertain(attempt.callId(), attempt.requestUri());
        } else {
            sendBye(attempt.callId(), attempt.requestUri());
        }
    }

    private boolean isHandlingCall(String callId) {
        NodeCall call = context.callRegistry().get(callId);
        return call != null
                && (call.establishedServer == this
                        || attempts.values().stream().anyMatch(attempt -> attempt.nodeCall == call));
    }

    /** Handles the release of a call by its server. */
    private void onBye(ServerConnection connection, SipMessage message, ServerLoadReport report) {
        releases.onReleasedByServer(String.valueOf(message.callId()));
        NodeCall call = context.callRegistry().get(String.valueOf(message.callId()));
        if (call == null) {
            onByeOfUnknownCall(message);
        } else if (call.establishedServer == this) {
            call.namedByServer = true;
            onByeOfEstablishedCall(connection, call, message, report);
        } else {
            onByeBeforeAnswer(connection, call, message, report);
        }
    }

    private void onByeOfUnknownCall(SipMessage message) {
        LOG.atDebug()
                .addKeyValue("id", String.valueOf(message.callId()))
                .addKeyValue("server", server.id())
                .log("BYE for an unknown call");
        if (InviteParser.isCallId(message.callId())) {
            int cause = ServerOutcomes.hasCause(message, CallRegistry.CAUSE_NORMAL_CLEARING)
                    ? CallRegistry.CAUSE_NORMAL_CLEARING
                    : CallRegistry.CAUSE_TEMPORARY_FAILURE;
            context.callRegistry().recordRelease(server.id(), message.callId(), cause);
        }
    }

    private void onByeOfEstablishedCall(
            ServerConnection connection, NodeCall call, SipMessage message, ServerLoadReport report) {
        AttemptStatus status = ServerOutcomes.hasCause(message, CallRegistry.CAUSE_NORMAL_CLEARING)
                ? AttemptStatus.COMPLETED
                : AttemptStatus.RESET;
        ServerConnection own = call.establishedConnection;
        if (!call.hasBrokenAttemptAt(this)) {
            context.callRegistry().onReleasedByServer(call, status, report);
            closeIfUnused();
        } else if (own == connection || !own.isUsable()) {
            releaseAtBothSides(call, status, report);
        } else {
            ambiguousReleases.hold(call, status, report);
            if (context.probesAllowed()) {
                probes.send(own, false);
            }
        }
    }

    private void onReleaseEffective(AmbiguousReleases.AmbiguousRelease release) {
        if (establishedCalls.contains(release.call())) {
            if (context.probesAllowed()) {
                release.call().establishedConnection.onProbeUnanswered();
            }
            router.advanceClock(now());
            releaseAtBothSides(release.call(), release.status(), release.report());
            context.loop().scheduleBatchEnd();
        }
    }

    /**
     * Ends a call of which two attempts may be established at this server, one of them released: the server releases
     * the other one, too, so that none is left that no caller knows.
     */
    private void releaseAtBothSides(NodeCall call, AttemptStatus status, ServerLoadReport report) {
        ambiguousReleases.remove(call);
        context.callRegistry().onReleasedByServer(call, status, report);
        sendBye(call.callId, call.requestUri);
    }

    /**
     * Handles a BYE while an attempt of its call has no answer yet. If a former attempt broke here, the release of an
     * answered call is the former one's.
     */
    private void onByeBeforeAnswer(
            ServerConnection connection, NodeCall call, SipMessage message, ServerLoadReport report) {
        if (call.hasBrokenAttemptAt(this) && ServerOutcomes.isReleaseOfAnsweredCall(message)) {
            return;
        }
        for (ServerAttempt attempt : List.copyOf(attempts.values())) {
            if (attempt.nodeCall == call && attempt.connection == connection && attempt.sent) {
                endAttempt(attempt, AttemptStatus.RESET, RejectReason.NONE, report);
            }
        }
    }

    // ---- Probes -----------------------------------------------------------------------------------------

    /** Sends a probe that the routing policy requested. */
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
        probes.send(connection, requested);
    }

    /**
     * Closes connections with an unfinished message or with set-ups that got no response, and checks whether a silent
     * server with established calls is alive.
     */
    void sweep(double now) {
        for (ServerConnection connection : List.copyOf(connections)) {
            if (connection.isStuckMidMessage(now, STUCK_AFTER_MS)
                    || connection.isSuspect() && connection.outstandingAttempts() == 0) {
                connection.close();
            }
        }
        releases.sweep(now);
        if (establishedCalls.isEmpty()) {
            liveness.onNoCalls(now);
            closeIfUnused();
            return;
        }
        if (liveness.checkSilence(now)) {
            LOG.atWarn()
                    .addKeyValue("server", server.id())
                    .addKeyValue("calls", establishedCalls.size())
                    .log("server silent: releasing its calls");
            List.copyOf(connections).forEach(ServerConnection::close);
            releaseCallsAtBothSides(call -> true);
        }
    }

    /** Closes all connections when the node stops; calls established at the server go on without it. */
    void close() {
        active = false;
        closed = true;
        establishedCalls.clear();
        List.copyOf(connections).forEach(ServerConnection::close);
    }
}
