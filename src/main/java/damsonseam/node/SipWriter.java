package damsonseam.node;

import damsonseam.sip.SipEncoder;
import damsonseam.sip.SipMessage;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.function.Consumer;

/**
 * Writes messages to one connection. All messages of one event-loop iteration are flushed together, so that they take
 * one system call. Used on the event loop only.
 */
final class SipWriter {
    private final Channel channel;
    private boolean flushScheduled;

    SipWriter(Channel channel) {
        this.channel = channel;
    }

    /** Writes a message; {@code onWritten} is notified whether the operating system took it, unless it is null. */
    void write(SipMessage message, Consumer<Boolean> onWritten) {
        ChannelFuture future = channel.write(SipEncoder.encode(channel.alloc(), message));
        if (onWritten != null) {
            future.addListener(completed -> onWritten.accept(completed.isSuccess()));
        }
        if (!flushScheduled) {
            flushScheduled = true;
            channel.eventLoop().execute(() -> {
                flushScheduled = false;
                channel.flush();
            });
        }
    }
}
