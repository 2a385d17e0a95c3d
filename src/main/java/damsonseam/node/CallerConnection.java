package damsonseam.node;

import damsonseam.node.InviteParser.InvalidInviteException;
import damsonseam.node.InviteParser.SetUpRequest;
import damsonseam.sip.SipDecoder;
import damsonseam.sip.SipEncoder;
import damsonseam.sip.SipFormatException;
import damsonseam.sip.SipMessage;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.DecoderException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A TCP connection from a caller: handles the requests that arrive on it and sends the responses. It keeps the calls
 * whose INVITE arrived here and has no final response yet. Used on the event loop only.
 */
final class CallerConnection extends SimpleChannelInboundHandler<SipMessage> {
    private static final Logger LOG = LoggerFactory.getLogger(CallerConnection.class);
    /** A connection without a first message, or with an unfinished one, is closed after so long a silence. */
    private static final double SILENCE_TIMEOUT_MS = 2_000;
    /** An idle connection without calls is closed after this; well-behaved callers close theirs sooner. */
    private static final double IDLE_TIMEOUT_MS = 10_000;

    private static final int BAD_REQUEST = 400;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int CALL_DOES_NOT_EXIST = 481;
    private static final int REQUEST_MERGED = 482;
    private static final int REQUEST_TERMINATED = 487;
    private static final int MESSAGE_TOO_LARGE = 513;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final CallerListener listener;
    private final SocketChannel channel;
    private final SipDecoder decoder;
    private final SipWriter writer;
    /** Calls whose INVITE arrived here and has no final response yet; bounded by the core's call table. */
    private final Set<NodeCall> pendingCalls = new HashSet<>();
    /** Heap held by {@link #pendingCalls}, in bytes. */
    private long pendingCallBytes;
    /** Bytes held by this connection's buffers, as of the last refresh. */
    private int bufferedBytes;

    private final ReceivedSetUps receivedSetUps;

    private InetAddress remoteHost;
    /** Number of calls whose caller used this connection last and that a server has answered. */
    private int establishedCalls;
    /** Number of calls reported on this connection as established, which no server has confirmed. */
    private int reportedCalls;

    private double lastReceivedMs;
    /** When the unfinished message began to arrive; NaN while there is none. */
    private double midMessageSinceMs = Double.NaN;

    private boolean messageReceived;
    private boolean inviteReceived;
    /** Whether a server has answered a call of this connection, or its peer has answered a release. */
    private boolean provenCaller;

    CallerConnection(CallerListener listener, SocketChannel channel, SipDecoder decoder) {
        this.listener = listener;
        this.channel = channel;
        this.decoder = decoder;
        writer = new SipWriter(channel);
        receivedSetUps = new ReceivedSetUps(listener);
    }

    // ---- Connection -------------------------------------------------------------------------------------

    boolean isUsable() {
        return channel.isActive();
    }

    boolean hasPendingCalls() {
        return !pendingCalls.isEmpty();
    }

    /** Returns what shows that the peer is a caller with something to lose. */
    CallerEvidence evidence() {
        if (establishedCalls > 0) {
            return CallerEvidence.ESTABLISHED_CALL;
        }
        if (provenCaller) {
            return CallerEvidence.PROVEN;
        }
        return inviteReceived ? CallerEvidence.CLAIMED : CallerEvidence.NONE;
    }

    /** Returns whether a server has ever answered a call of this connection, or its peer has answered a release. */
    boolean isProvenCaller() {
        return provenCaller;
    }

    /** Records that a server has answered a call of this connection, or that its peer has answered a release. */
    void markProvenCaller() {
        provenCaller = true;
    }

    /**
     * Returns whether this connection may be closed in favour of another: it has no pending call and had time to send
     * one. Established calls do not prevent it, as they are not tied to a connection.
     */
    boolean isEvictable(double now) {
        return pendingCalls.isEmpty() && silentMs(now) > evidence().evictableAfterMs();
    }

    /** Returns for how long nothing has arrived, less the time for which input may be waiting unread after a pause. */
    private double silentMs(double now) {
        return now - lastReceivedMs - listener.router().maxReadAge(now);
    }

    InetAddress remoteHost() {
        return remoteHost;
    }

    boolean hasSameHost(CallerConnection other) {
        return other != null && remoteHost != null && remoteHost.equals(other.remoteHost);
    }

    /**
     * Returns whether the connection has been silent or idle for too long, or its message has taken too long. One with
     * reported calls and nothing else is silent, too, if the release of these calls has another way to its host.
     *
     * @param hostHasProvenCaller whether a connection of a proven caller from the same host is open
     */
    boolean isExpired(double now, boolean hostHasProvenCaller) {
        if (!pendingCalls.isEmpty()) {
            return false;
        }
        double idleMs = silentMs(now);
        if (decoder.isMidMessage()) {
            // A message that takes longer to arrive than any caller waits for a final response is not worth finishing.
            return idleMs > SILENCE_TIMEOUT_MS
                    || now - midMessageSinceMs > listener.inviteParser().maxPatienceMs();
        }
        if (establishedCalls > 0) {
            return false;
        }
        if (reportedCalls > 0) {
            return !provenCaller && hostHasProvenCaller && idleMs > SILENCE_TIMEOUT_MS;
        }
        return idleMs > (messageReceived ? IDLE_TIMEOUT_MS : SILENCE_TIMEOUT_MS);
    }

    /** Writes a message; {@code onWritten} is notified whether the operating system took it, unless it is null. */
    void send(SipMessage message, Consumer<Boolean> onWritten) {
        writer.write(message, onWritten);
        if (!channel.isWritable()) {
            // Bounds the memory used for a caller that sends requests and does not read the responses.
            close("does not read responses");
        }
        listener.onBuffersChanged(this);
    }

    /** Returns the bytes held by the buffers of this connection, as of the last refresh. */
    int bufferedBytes() {
        return bufferedBytes;
    }

    /** Sets the bytes held by the buffers to zero; returns what they were. */
    int clearBufferedBytes() {
        int previous = bufferedBytes;
        bufferedBytes = 0;
        return previous;
    }

    /** Determines the bytes held for the unfinished message and for unsent responses; returns the change. */
    int refreshBufferedBytes() {
        int unsentBytes = CallerListener.MAX_UNSENT_BYTES - (int) channel.bytesBeforeUnwritable();
        int previous = bufferedBytes;
        bufferedBytes = channel.isActive() ? decoder.bufferedBytes() + unsentBytes : 0;
        return bufferedBytes - previous;
    }

    /** Closes the connection and logs the reason. */
    void close(String reason) {
        LOG.atDebug()
                .addKeyValue("from", String.valueOf(channel.remoteAddress()))
                .addKeyValue("why", reason)
                .addKeyValue("open", pendingCalls.size())
                .addKeyValue("standing", establishedCalls)
                .addKeyValue("reported", reportedCalls)
                .log("closing caller connection");
        channel.flush();
        channel.close();
    }

    /** Shuts the output down behind all that was written, and reads on until the caller closes. */
    void finish() {
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(future -> channel.shutdownOutput());
    }

    @Override
    public String toString() {
        return String.valueOf(channel.remoteAddress());
    }

    /** Returns the number of established calls whose caller used this connection last, reported ones included. */
    int establishedCallCount() {
        return establishedCalls + reportedCalls;
    }

    /** Counts an established call whose caller has come to use this connection. */
    void addEstablished(NodeCall call) {
        adjustEstablished(call, 1);
    }

    /** Counts that an established call has ended, or that its caller has come to use another connection. */
    void removeEstablished(NodeCall call) {
        adjustEstablished(call, -1);
    }

    private void adjustEstablished(NodeCall call, int change) {
        if (call.isAdopted()) {
            reportedCalls += change;
        } else {
            establishedCalls += change;
        }
    }

    private void addPending(NodeCall call) {
        if (pendingCalls.add(call)) {
            pendingCallBytes += call.unansweredBytes;
            listener.unansweredCallMemory().add(call.unansweredBytes);
        }
    }

    /** Removes a call from the pending ones, since its INVITE gets its final response or none. */
    void removePending(NodeCall call) {
        if (pendingCalls.remove(call)) {
            pendingCallBytes -= call.unansweredBytes;
            listener.unansweredCallMemory().remove(call.unansweredBytes);
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        lastReceivedMs = listener.loop().now();
        remoteHost = ((InetSocketAddress) channel.remoteAddress()).getAddress();
        listener.onConnected(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (!pendingCalls.isEmpty()) {
            LOG.atDebug()
                    .addKeyValue("from", String.valueOf(channel.remoteAddress()))
                    .addKeyValue("open", pendingCalls.size())
                    .log("caller connection lost with pending calls");
        }
        listener.onClosed(this);
        abandonPending();
        listener.callRegistry().releases().onConnectionClosed(this);
    }

    private void abandonPending() {
        if (!pendingCalls.isEmpty()) {
            listener.router().advanceClock(listener.loop().now());
            new ArrayList<>(pendingCalls).forEach(call -> {
                removePending(call);
                listener.callRegistry().abandon(call);
            });
            listener.loop().scheduleBatchEnd();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        Throwable reason = cause instanceof DecoderException && cause.getCause() != null ? cause.getCause() : cause;
        LOG.atDebug()
                .addKeyValue("from", String.valueOf(channel.remoteAddress()))
                .addKeyValue("why", reason.toString())
                .log("caller connection failed");
        if (reason instanceof SipFormatException && channel.isActive()) {
            // The start of the next message is unknown: the caller gets one response, then the connection is closed.
            channel.writeAndFlush(SipEncoder.encode(
                            channel.alloc(), SipMessage.response(BAD_REQUEST, "Bad Request", null, null)))
                    .addListener(ChannelFutureListener.CLOSE);
            abandonPending();
            return;
        }
        if (!(reason instanceof java.io.IOException) && !(reason instanceof SipFormatException)) {
            LOG.atError().setCause(reason).log("internal error while handling a message from a caller");
        }
        close(reason.toString());
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        // Part of a message counts as activity: its sender is silent only when nothing more arrives.
        lastReceivedMs = listener.loop().now();
        midMessageSinceMs = !decoder.isMidMessage()
                ? Double.NaN
                : Double.isNaN(midMessageSinceMs) ? lastReceivedMs : midMessageSinceMs;
        listener.onBuffersChanged(this);
        routeReceivedSetUps();
        ctx.fireChannelReadComplete();
    }

    private void routeReceivedSetUps() {
        RecvByteBufAllocator.Handle handle = channel.unsafe().recvBufAllocHandle();
        boolean endOfStream = handle.lastBytesRead() < 0;
        if (!endOfStream) {
            receivedSetUps.onReadComplete(handle.lastBytesRead() == handle.attemptedBytesRead());
        }
    }

    /** Passes the set-ups that have been read to the core, whether or not more bytes wait in the socket. */
    void routeAllReceivedSetUps() {
        receivedSetUps.routeAll();
    }

    // ---- Requests ---------------------------------------------------------------------------------------

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, SipMessage message) {
        double now = listener.loop().now();
        lastReceivedMs = now;
        messageReceived = true;
        listener.onMessage(this);
        listener.router().fireOverdueTimers(now);
        listener.router().advanceClock(now);
        if (message.isRequest()) {
            onRequest(message, now);
            listener.loop().scheduleBatchEnd();
        } else if (message.cseqMethod().equals(SipMessage.BYE) && message.status() == SipMessage.OK) {
            listener.callRegistry().releases().onConfirmed(this, String.valueOf(message.callId()));
        }
    }

    private void onRequest(SipMessage message, double now) {
        switch (message.method()) {
            case SipMessage.INVITE -> onInvite(message, now);
            case SipMessage.ACK -> {}
            case SipMessage.CANCEL -> onCancel(message);
            case SipMessage.BYE -> onBye(message);
            case SipMessage.OPTIONS -> {
                if (listener.isReady()) {
                    reply(message, SipMessage.OK, "OK");
                } else {
                    reply(message, SERVICE_UNAVAILABLE, "Service Unavailable");
                }
            }
            default -> reply(message, METHOD_NOT_ALLOWED, "Method Not Allowed");
        }
    }

    private void reply(SipMessage request, int status, String reasonPhrase) {
        send(SipMessage.response(status, reasonPhrase, request.callId(), request.cseq()), null);
    }

    private void onInvite(SipMessage message, double now) {
        SetUpRequest setUp;
        try {
            setUp = listener.inviteParser().parse(message);
        } catch (InvalidInviteException e) {
            reply(message, BAD_REQUEST, "Bad Request: " + e.getMessage());
            return;
        }
        if (setUp.forwardedBytes() > SipDecoder.MAX_MESSAGE_BYTES) {
            reply(message, MESSAGE_TOO_LARGE, "Message Too Large");
            return;
        }
        CallRegistry callRegistry = listener.callRegistry();
        if (!inviteReceived) {
            inviteReceived = true;
            callRegistry.releases().onCallerAvailable(this);
        }
        NodeCall existing = callRegistry.get(setUp.callId());
        if (setUp.establishedServerId() != null) {
            onEstablishedInvite(setUp, message, existing, now);
            return;
        }
        if (existing != null) {
            rejectMerged(message, existing);
            return;
        }
        if (callRegistry.isRecentCall(setUp.callId())) {
            reply(message, REQUEST_MERGED, "Request Merged");
            return;
        }
        NodeCall call = new NodeCall(
                callRegistry,
                setUp.callId(),
                setUp.requestUri(),
                setUp.className(),
                setUp.legs(),
                message.cseq(),
                message.body(),
                this);
        if (!listener.unansweredCallMemory().admits(pendingCallBytes, call.unansweredBytes)) {
            listener.router().refuseCall(now, setUp.number(), setUp.classIndex(), setUp.redial(), call);
            return;
        }
        addPending(call);
        callRegistry.add(call);
        receivedSetUps.add(call, setUp, now);
    }

    /**
     * Rejects an INVITE whose Call-ID is in use. If the same connection sent both with different offers, the earlier
     * call is abandoned too, since it is unknown which of the two its sender means.
     */
    private void rejectMerged(SipMessage message, NodeCall existing) {
        if (existing.caller == this
                && pendingCalls.contains(existing)
                && !Arrays.equals(existing.offer, message.body())) {
            removePending(existing);
            listener.callRegistry().abandon(existing);
        }
        reply(message, REQUEST_MERGED, "Request Merged");
    }

    /** Handles the report of a call that is established already: its release goes to this connection from now on. */
    private void onEstablishedInvite(SetUpRequest setUp, SipMessage message, NodeCall existing, double now) {
        if (existing != null) {
            // Only a closed connection loses its call: knowing a Call-ID is not enough to get the call's release.
            if (existing.establishedServer != null
                    && existing.establishedServer.id().equals(setUp.establishedServerId())
                    && !existing.caller.isUsable()) {
                listener.callRegistry().changeCaller(existing, this);
            }
            return;
        }
        NodeCall call = new NodeCall(
                listener.callRegistry(),
                setUp.callId(),
                setUp.requestUri(),
                setUp.className(),
                setUp.legs(),
                message.cseq(),
                null,
                this);
        ServerEndpoint server = listener.serverEndpoints().get(setUp.establishedServerId());
        if (server == null) {
            listener.callRegistry().releases().send(call, CallRegistry.CAUSE_TEMPORARY_FAILURE);
        } else {
            listener.callRegistry().adopt(call, server, now);
        }
    }

    private void onCancel(SipMessage message) {
        NodeCall call = listener.callRegistry().get(String.valueOf(message.callId()));
        if (call == null) {
            reply(message, CALL_DOES_NOT_EXIST, "Call Does Not Exist");
        } else if (call.establishedServer == null) {
            terminate(call);
        } else {
            // The CANCEL crossed the 200: the caller has abandoned the call, and both sides get a release.
            listener.callRegistry().releaseByCaller(call);
            listener.callRegistry().releases().send(call, CallRegistry.CAUSE_NORMAL_CLEARING);
        }
    }

    private void terminate(NodeCall call) {
        CallerConnection owner = call.caller;
        owner.removePending(call);
        listener.callRegistry().abandon(call);
        owner.send(SipMessage.response(REQUEST_TERMINATED, "Request Terminated", call.callId, call.cseq), null);
    }

    private void onBye(SipMessage message) {
        NodeCall call = listener.callRegistry().get(String.valueOf(message.callId()));
        if (call == null) {
            reply(message, CALL_DOES_NOT_EXIST, "Call Does Not Exist");
            return;
        }
        if (call.establishedServer == null) {
            terminate(call);
        } else {
            listener.callRegistry().releaseByCaller(call);
        }
        reply(message, SipMessage.OK, "OK");
    }
}
