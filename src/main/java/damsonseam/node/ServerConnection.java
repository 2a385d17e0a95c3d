package damsonseam.node;

import damsonseam.sip.SipDecoder;
import damsonseam.sip.SipFormatException;
import damsonseam.sip.SipMessage;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A TCP connection to a signalling server, with the number of attempts outstanding on it. Event loop only. */
final class ServerConnection extends SimpleChannelInboundHandler<SipMessage> {
    private static final Logger LOG = LoggerFactory.getLogger(ServerConnection.class);

    private final ServerEndpoint endpoint;
    private final Channel channel;
    private final SipDecoder decoder;
    private final SipWriter writer;
    private int outstandingAttempts;
    private boolean suspect;
    private boolean closedByNode;
    private double openedAtMs;
    private double lastReceivedMs;
    private long receivedBytes;
    /** When the first probe was sent since the last message here; NaN if there was none. */
    private double unansweredProbeSinceMs = Double.NaN;

    ServerConnection(ServerEndpoint endpoint, Channel channel, SipDecoder decoder) {
        this.endpoint = endpoint;
        this.channel = channel;
        this.decoder = decoder;
        writer = new SipWriter(channel);
    }

    /** Returns the number of attempts assigned to this connection that have no outcome yet. */
    int outstandingAttempts() {
        return outstandingAttempts;
    }

    void adjustOutstandingAttempts(int change) {
        outstandingAttempts += change;
    }

    /** Returns whether the socket is open and takes data. That does not show that the far end serves it. */
    boolean isUsable() {
        return channel.isActive() && channel.isWritable();
    }

    /**
     * Returns whether nothing suggests that the server has given the connection up: an open socket does not show that
     * it is served, as a response may have stopped short on it.
     */
    boolean acceptsSetUps() {
        return isUsable() && !suspect && !decoder.isMidMessage();
    }

    /** Returns whether nothing has arrived since a set-up that was cancelled, or a probe, was sent here in vain. */
    boolean isSuspect() {
        return suspect;
    }

    /** Marks the connection as suspect if nothing has arrived on it since the cancelled set-up was sent. */
    void onCancelled(double sentAtMs) {
        suspect |= lastReceivedMs < sentAtMs;
    }

    /** Marks the connection as suspect: a probe on it was not answered in time. */
    void onProbeUnanswered() {
        suspect = true;
    }

    /** Returns whether the rest of an unfinished message has been missing for longer than the limit. */
    boolean isStuckMidMessage(double nowMs, double limitMs) {
        return decoder.isMidMessage() && nowMs - lastReceivedMs > limitMs;
    }

    /** Writes a message; {@code onWritten} is notified whether the operating system took it, unless it is null. */
    void send(SipMessage message, Consumer<Boolean> onWritten) {
        writer.write(message, onWritten);
    }

    void close() {
        closedByNode = true;
        channel.close();
    }

    /** Returns when the connection was opened, in milliseconds of the loop's clock. */
    double openedAtMs() {
        return openedAtMs;
    }

    /** Returns whether the connection was closed or reset by the server, and not by this node. */
    boolean isEndedByPeer() {
        return !closedByNode;
    }

    /** Records that a probe was sent here. */
    void onProbeSent(double now) {
        if (Double.isNaN(unansweredProbeSinceMs)) {
            unansweredProbeSinceMs = now;
        }
    }

    /** Returns since when a probe sent here has had no response and nothing else has arrived; NaN if there is none. */
    double unansweredProbeSinceMs() {
        return unansweredProbeSinceMs;
    }

    /**
     * Returns the connection with the fewest outstanding attempts, or null if there is none.
     *
     * @param includeDoubtful whether a connection that the server may have given up is better than none
     * @param excluded a connection that is not chosen, or null
     */
    static ServerConnection leastLoaded(
            List<ServerConnection> connections, boolean includeDoubtful, ServerConnection excluded) {
        ServerConnection best = null;
        ServerConnection bestDoubtful = null;
        for (ServerConnection connection : connections) {
            if (connection == excluded) {
                continue;
            }
            if (connection.acceptsSetUps()) {
                best = lessLoaded(connection, best);
            } else if (connection.isUsable()) {
                bestDoubtful = lessLoaded(connection, bestDoubtful);
            }
        }
        return best == null && includeDoubtful ? bestDoubtful : best;
    }

    private static ServerConnection lessLoaded(ServerConnection connection, ServerConnection other) {
        return other == null || connection.outstandingAttempts < other.outstandingAttempts ? connection : other;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        recordActivity();
        openedAtMs = lastReceivedMs;
        endpoint.onConnected(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, SipMessage message) {
        recordActivity();
        endpoint.onMessage(this, message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        // Part of a message counts as activity: a message is stuck only when nothing more of it arrives. The end of the
        // connection, which is read too, does not.
        if (decoder.receivedBytes() > receivedBytes) {
            receivedBytes = decoder.receivedBytes();
            recordActivity();
        }
        endpoint.onReadComplete(this);
        ctx.fireChannelReadComplete();
    }

    private void recordActivity() {
        lastReceivedMs = endpoint.now();
        suspect = false;
        unansweredProbeSinceMs = Double.NaN;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        endpoint.onDisconnected(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        Throwable reason = cause instanceof DecoderException && cause.getCause() != null ? cause.getCause() : cause;
        LOG.atInfo()
                .addKeyValue("server", endpoint.id())
                .addKeyValue("out", outstandingAttempts)
                .addKeyValue("why", reason.toString())
                .log("server connection failed");
        if (!(reason instanceof IOException)
                && !(reason instanceof SipFormatException)
                && !(reason instanceof IllegalArgumentException)) {
            LOG.atError().setCause(reason).log("internal error while handling a message from a server");
        }
        closedByNode |= !(reason instanceof IOException);
        channel.close();
    }
}
