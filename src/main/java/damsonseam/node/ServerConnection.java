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

    private final ServerLink link;
    private final Channel channel;
    private final SipDecoder decoder;
    private int out;
    private boolean unflushed;
    private boolean doubtful;
    private double heardAt;

    ServerConnection(ServerLink link, Channel channel, SipDecoder decoder) {
        this.link = link;
        this.channel = channel;
        this.decoder = decoder;
    }

    /** Attempts out on this connection. */
    int out() {
        return out;
    }

    void out(int change) {
        out += change;
    }

    boolean usable() {
        return channel.isActive() && channel.isWritable();
    }

    /** Whether a set-up was given up here that went out after the last word on this connection. */
    boolean doubtful() {
        return doubtful;
    }

    /** A set-up sent at {@code sentAt} is given up: a connection that has said nothing since may be dead. */
    void givenUp(double sentAt) {
        doubtful |= heardAt < sentAt;
    }

    /** Whether a message has been stuck half way for so long that its rest will not come. */
    boolean stuck(double now, double limit) {
        return decoder.isMidMessage() && now - heardAt > limit;
    }

    /** Sends a message with what else this turn brings; {@code sent} hears whether the system took it. */
    void send(SipMessage message, Consumer<Boolean> sent) {
        var written = channel.write(SipEncoder.encode(channel.alloc(), message));
        if (sent != null) {
            written.addListener(f -> sent.accept(f.isSuccess()));
        }
        if (!unflushed) {
            unflushed = true;
            channel.eventLoop().execute(() -> {
                unflushed = false;
                channel.flush();
            });
        }
    }

    void close() {
        channel.close();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        heard();
        link.connected(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, SipMessage message) {
        heard();
        link.received(this, message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        // Part of a message counts as a word too: only when no more comes is its sender stuck.
        heard();
        ctx.fireChannelReadComplete();
    }

    private void heard() {
        heardAt = link.now();
        doubtful = false;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        link.disconnected(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        Throwable why = cause instanceof DecoderException && cause.getCause() != null ? cause.getCause() : cause;
        LOG.atInfo()
                .addKeyValue("server", link.id())
                .addKeyValue("out", out)
                .addKeyValue("why", why.toString())
                .log("server's connection closed");
        if (!(why instanceof IOException)
                && !(why instanceof SipFormatException)
                && !(why instanceof IllegalArgumentException)) {
            LOG.atError().setCause(why).log("a defect met by a server's message");
        }
        close();
    }
}
