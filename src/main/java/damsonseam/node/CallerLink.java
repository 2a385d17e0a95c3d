package damsonseam.node;

import damsonseam.node.CallSettings.BadMessage;
import damsonseam.node.CallSettings.SetUp;
import damsonseam.sip.SipDecoder;
import damsonseam.sip.SipEncoder;
import damsonseam.sip.SipFormatException;
import damsonseam.sip.SipMessage;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
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

/** One connection from a caller: reads what it asks and owes it the answers. */
final class CallerLink extends SimpleChannelInboundHandler<SipMessage> {
    private static final Logger LOG = LoggerFactory.getLogger(CallerLink.class);
    /** A connection that says nothing from the start, or nothing more amid a message, is closed after this. */
    private static final double SILENT_MS = 2_000;
    /** One without an open call after this: callers close theirs sooner, those that forget give room. */
    private static final double IDLE_MS = 10_000;
    /**
     * At the limit of connections: the time in which a first set-up arrives and is read, also on part of a core; and
     * how long one that has brought a set-up is idle before it gives way to another.
     */
    private static final double GIVES_WAY_MS = 60;

    private static final double GIVES_WAY_IDLE_MS = 2_000;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_ALLOWED = 405;
    private static final int NO_CALL = 481;
    private static final int MERGED = 482;
    private static final int TERMINATED = 487;
    private static final int UNAVAILABLE = 503;

    private final CallerListener listener;
    private final SocketChannel channel;
    private final SipDecoder decoder;
    /** Set-ups of this connection that are not answered yet; the core's table bounds all of them. */
    private final Set<NodeCall> open = new HashSet<>();

    private InetAddress host;
    /** Calls that stand and were named on this connection last. */
    private int standing;

    private double heardAt;
    /** Since when part of a message stands here; NaN while none does. */
    private double amidstFrom = Double.NaN;

    private boolean spoke;
    private boolean shown;
    private boolean unflushed;

    CallerLink(CallerListener listener, SocketChannel channel, SipDecoder decoder) {
        this.listener = listener;
        this.channel = channel;
        this.decoder = decoder;
    }

    // ---- The connection ---------------------------------------------------------------------------------

    boolean usable() {
        return channel.isActive();
    }

    /** Whether a set-up that can be used ever came: what sends none is no caller, whatever host it shares. */
    boolean shown() {
        return shown;
    }

    /** Whether this connection may be closed for another: it has no call, and had time to bring one. */
    boolean givesWay(double now) {
        return open.isEmpty() && standing == 0 && now - heardAt > (shown ? GIVES_WAY_IDLE_MS : GIVES_WAY_MS);
    }

    boolean sameHost(CallerLink other) {
        return other != null && host != null && host.equals(other.host);
    }

    /** Whether the connection has been of no use for too long. */
    boolean overdue(double now) {
        boolean amidst = decoder.isMidMessage();
        double limit = !spoke || amidst ? SILENT_MS : IDLE_MS;
        // Whoever takes longer for one message than any caller waits for its answer wants none.
        boolean endless = amidst && now - amidstFrom > listener.settings().longestWait();
        return open.isEmpty() && (standing == 0 || amidst) && (now - heardAt > limit || endless);
    }

    /** Sends a message with what else this turn brings; {@code sent} hears whether the system took it. */
    void send(SipMessage message, Consumer<Boolean> sent) {
        var written = channel.write(SipEncoder.encode(channel.alloc(), message));
        if (sent != null) {
            written.addListener(f -> sent.accept(f.isSuccess()));
        }
        if (!channel.isWritable()) {
            // Guards the memory against a caller that asks and does not read.
            close("does not read");
            return;
        }
        if (!unflushed) {
            unflushed = true;
            channel.eventLoop().execute(() -> {
                unflushed = false;
                channel.flush();
            });
        }
    }

    /** Closes from this side, for a reason that the log tells. */
    void close(String why) {
        LOG.atDebug()
                .addKeyValue("from", String.valueOf(channel.remoteAddress()))
                .addKeyValue("why", why)
                .addKeyValue("open", open.size())
                .addKeyValue("standing", standing)
                .log("caller closed");
        channel.flush();
        channel.close();
    }

    /** Says that nothing more comes, behind all that was said, and reads on until the caller closes. */
    void finish() {
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> channel.shutdownOutput());
    }

    boolean standing() {
        return standing > 0;
    }

    @Override
    public String toString() {
        return String.valueOf(channel.remoteAddress());
    }

    int standingCalls() {
        return standing;
    }

    void standing(int change) {
        standing += change;
    }

    /** One of this connection's set-ups has its answer. */
    void answered(NodeCall call) {
        open.remove(call);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        heardAt = listener.loop().now();
        host = ((InetSocketAddress) channel.remoteAddress()).getAddress();
        listener.connected(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (!open.isEmpty()) {
            LOG.atDebug()
                    .addKeyValue("from", String.valueOf(channel.remoteAddress()))
                    .addKeyValue("open", open.size())
                    .log("caller gone with set-ups open");
        }
        listener.closed(this);
        giveUpAll();
        listener.book().releases().gone(this);
    }

    private void giveUpAll() {
        if (!open.isEmpty()) {
            listener.router().clock(listener.loop().now());
            new ArrayList<>(open).forEach(call -> listener.book().givenUp(call));
            open.clear();
            listener.loop().kick();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        Throwable why = cause instanceof DecoderException && cause.getCause() != null ? cause.getCause() : cause;
        LOG.atDebug()
                .addKeyValue("from", String.valueOf(channel.remoteAddress()))
                .addKeyValue("why", why.toString())
                .log("caller's connection closed");
        if (why instanceof SipFormatException && channel.isActive()) {
            // Where the next message starts is not known: told once, then closed.
            channel.writeAndFlush(SipEncoder.encode(
                            channel.alloc(), SipMessage.response(BAD_REQUEST, "Bad Request", null, null)))
                    .addListener(ChannelFutureListener.CLOSE);
            giveUpAll();
            return;
        }
        if (!(why instanceof java.io.IOException) && !(why instanceof SipFormatException)) {
            LOG.atError().setCause(why).log("a defect met by a caller's message");
        }
        close(why.toString());
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        // Part of a message counts as a word too: only when no more comes is its sender silent.
        heardAt = listener.loop().now();
        amidstFrom = !decoder.isMidMessage() ? Double.NaN : Double.isNaN(amidstFrom) ? heardAt : amidstFrom;
        ctx.fireChannelReadComplete();
    }

    // ---- What it says -----------------------------------------------------------------------------------

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, SipMessage message) {
        double now = listener.loop().now();
        heardAt = now;
        spoke = true;
        listener.heard(this);
        listener.router().catchUp(now);
        listener.router().clock(now);
        if (message.isRequest()) {
            request(message, now);
            listener.loop().kick();
        } else if (message.cseqMethod().equals(SipMessage.BYE) && message.status() == SipMessage.OK) {
            listener.book().releases().heard(this, String.valueOf(message.callId()));
        }
    }

    private void request(SipMessage message, double now) {
        switch (message.method()) {
            case SipMessage.INVITE -> invite(message, now);
            case SipMessage.ACK -> {}
            case SipMessage.CANCEL -> cancel(message);
            case SipMessage.BYE -> bye(message);
            case SipMessage.OPTIONS -> {
                if (listener.ready()) {
                    reply(message, SipMessage.OK, "OK");
                } else {
                    reply(message, UNAVAILABLE, "Service Unavailable");
                }
            }
            default -> reply(message, NOT_ALLOWED, "Method Not Allowed");
        }
    }

    private void reply(SipMessage to, int status, String reason) {
        send(SipMessage.response(status, reason, to.callId(), to.cseq()), null);
    }

    private void invite(SipMessage message, double now) {
        SetUp asked;
        try {
            asked = listener.settings().read(message);
        } catch (BadMessage e) {
            reply(message, BAD_REQUEST, "Bad Request: " + e.getMessage());
            return;
        }
        CallBook book = listener.book();
        if (!shown) {
            shown = true;
            book.releases().shown(this);
        }
        NodeCall known = book.get(asked.id());
        if (asked.at() != null) {
            stands(asked, message, known, now);
            return;
        }
        if (known != null) {
            twice(message, known);
            return;
        }
        NodeCall call = new NodeCall(
                book,
                asked.id(),
                asked.target(),
                asked.className(),
                asked.legs(),
                message.cseq(),
                message.body(),
                this);
        open.add(call);
        book.add(call);
        book.taken(
                call,
                listener.router()
                        .routed(
                                now,
                                asked.number(),
                                asked.callClass(),
                                asked.destination(),
                                asked.patience(),
                                listener.router().turnAge(now),
                                asked.redialled(),
                                call));
    }

    /** A second set-up under an id in use: which of the two its sender means can't be known. */
    private void twice(SipMessage message, NodeCall known) {
        if (known.caller == this && open.contains(known) && !Arrays.equals(known.offer, message.body())) {
            open.remove(known);
            listener.book().givenUp(known);
        }
        reply(message, MERGED, "Request Merged");
    }

    /** A call that stands already: from now on its release goes to this connection. */
    private void stands(SetUp asked, SipMessage message, NodeCall known, double now) {
        if (known != null) {
            // Taken over from a connection that has gone only: who merely knows an id does not get its release.
            if (known.standsAt != null && known.standsAt.id().equals(asked.at()) && !known.caller.usable()) {
                known.caller.standing(-1);
                known.caller = this;
                standing(1);
            }
            return;
        }
        NodeCall call = new NodeCall(
                listener.book(),
                asked.id(),
                asked.target(),
                asked.className(),
                asked.legs(),
                message.cseq(),
                null,
                this);
        ServerLink server = listener.servers().get(asked.at());
        if (server == null) {
            listener.book().releases().say(call, CallBook.TEMPORARY_FAILURE);
        } else {
            listener.book().adopt(call, server, now);
        }
    }

    private void cancel(SipMessage message) {
        NodeCall call = listener.book().get(String.valueOf(message.callId()));
        if (call == null) {
            reply(message, NO_CALL, "Call Does Not Exist");
        } else if (call.standsAt == null) {
            withdraw(call);
        } else {
            // It crossed the answer: its caller has gone, and both sides hear that the call is over.
            listener.book().hangUp(call);
            listener.book().releases().say(call, CallBook.NORMAL_CLEARING);
        }
    }

    private void withdraw(NodeCall call) {
        CallerLink owner = call.caller;
        owner.open.remove(call);
        listener.book().givenUp(call);
        owner.send(SipMessage.response(TERMINATED, "Request Terminated", call.id, call.cseq), null);
    }

    private void bye(SipMessage message) {
        NodeCall call = listener.book().get(String.valueOf(message.callId()));
        if (call == null) {
            reply(message, NO_CALL, "Call Does Not Exist");
            return;
        }
        if (call.standsAt == null) {
            withdraw(call);
        } else {
            listener.book().hangUp(call);
        }
        reply(message, SipMessage.OK, "OK");
    }
}
