package damsonseam.node;

import damsonseam.sip.SipDecoder;
import damsonseam.sip.SipEncoder;
import damsonseam.sip.SipFormatException;
import damsonseam.sip.SipMessage;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import java.io.IOException;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One connection to a signalling server. */
final class ServerConnection extends SimpleChannelInboundHandler<SipMessage> {
    private static final Logger LOG = LoggerFactory.getLogger(ServerConnection.class);

    private final ServerEndpoint endpoint;
    private final Channel channel;
    private final SipDecoder decoder;
    private int outstanding;
    private boolean flushScheduled;
    private boolean suspect;
    private double lastReceivedMs;

    ServerConnection(ServerEndpoint endpoint, Channel channel, SipDecoder decoder) {
        this.endpoint = endpoint;
        this.channel = channel;
        this.decoder = decoder;
    }

    /** Attempts out on this connection. */
    int outstanding() {
        return outstanding;
    }

    void adjustOutstanding(int change) {
        outstanding += change;
    }

    boolean isUsable() {
        return channel.isActive() && channel.isWritable();
    }

    /** Whether a set-up was given up here that went out after the last word on this connection. */
    boolean isSuspect() {
        return suspect;
    }

    /** A set-up sent at {@code sentAt} is given up: a connection that has said nothing since may be dead. */
    void onCancelled(double sentAtMs) {
        suspect |= lastReceivedMs < sentAtMs;
    }

    /** Whether a message has been stuck half way for so long that its rest will not come. */
    boolean isStuckMidMessage(double nowMs, double limitMs) {
        return decoder.isMidMessage() && nowMs - lastReceivedMs > limitMs;
    }

    /** Sends a message with what else this turn brings; {@code sent} hears whether the system took it. */
    void send(SipMessage message, Consumer<Boolean> onWritten) {
        var future = channel.write(SipEncoder.encode(channel.alloc(), message));
        if (onWritten != null) {
            future.addListener(f -> onWritten.accept(f.isSuccess()));
        }
        if (!flushScheduled) {
            flushScheduled = true;
            channel.eventLoop().execute(() -> {
                flushScheduled = false;
                channel.flush();
            });
        }
    }

    void close() {
        channel.close();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        recordActivity();
        endpoint.onConnected(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, SipMessage message) {
        recordActivity();
        endpoint.onMessage(this, message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        // Part of a message counts as a word too: only when no more comes is its sender stuck.
        recordActivity();
        ctx.fireChannelReadComplete();
    }

    private void recordActivity() {
        lastReceivedMs = endpoint.now();
        suspect = false;
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
                .addKeyValue("out", outstanding)
                .addKeyValue("why", reason.toString())
                .log("server's connection closed");
        if (!(reason instanceof IOException)
                && !(reason instanceof SipFormatException)
                && !(reason instanceof IllegalArgumentException)) {
            LOG.atError().setCause(reason).log("a defect met by a server's message");
        }
        close();
    }
}
