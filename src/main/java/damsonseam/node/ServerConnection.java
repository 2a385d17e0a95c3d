package damsonseam.node;

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
    private int out;
    private boolean unflushed;

    ServerConnection(ServerLink link, Channel channel) {
        this.link = link;
        this.channel = channel;
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
        link.connected(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, SipMessage message) {
        link.received(this, message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        link.disconnected(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        Throwable why = cause instanceof DecoderException && cause.getCause() != null ? cause.getCause() : cause;
        LOG.atInfo().addKeyValue("server", link.id()).addKeyValue("out", out).addKeyValue("why", why.toString())
                .log("server's connection closed");
        if (!(why instanceof IOException) && !(why instanceof SipFormatException)
                && !(why instanceof IllegalArgumentException)) {
            LOG.atError().setCause(why).log("a defect met by a server's message");
        }
        close();
    }
}
