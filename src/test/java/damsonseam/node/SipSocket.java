package damsonseam.node;

import damsonseam.sip.SipDecoder;
import damsonseam.sip.SipEncoder;
import damsonseam.sip.SipMessage;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** One end of a SIP connection for tests, with blocking reads. */
final class SipSocket implements AutoCloseable {
    private static final int PATIENCE_MS = 8_000;

    private final Socket socket;
    private final EmbeddedChannel decoder = new EmbeddedChannel(new SipDecoder());

    SipSocket(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
    }

    static SipSocket to(InetSocketAddress address) throws IOException {
        return new SipSocket(new Socket(address.getAddress(), address.getPort()));
    }

    void send(SipMessage message) throws IOException {
        ByteBuf octets = SipEncoder.encode(UnpooledByteBufAllocator.DEFAULT, message);
        send(ByteBufUtil.getBytes(octets));
        octets.release();
    }

    void send(String text) throws IOException {
        send(text.getBytes(StandardCharsets.UTF_8));
    }

    void send(byte[] octets) throws IOException {
        socket.getOutputStream().write(octets);
        socket.getOutputStream().flush();
    }

    /** The next message; null when the far end has closed. */
    SipMessage next() throws IOException {
        SipMessage message = next(PATIENCE_MS);
        return message;
    }

    /** The next message; null when the far end has closed, an error where none comes in time. */
    SipMessage next(int millis) throws IOException {
        byte[] part = new byte[4_096];
        while (true) {
            SipMessage message = decoder.readInbound();
            if (message != null) {
                return message;
            }
            socket.setSoTimeout(millis);
            int n;
            try {
                n = socket.getInputStream().read(part);
            } catch (SocketTimeoutException e) {
                throw e;
            } catch (IOException e) {
                return null;
            }
            if (n < 0) {
                return null;
            }
            decoder.writeInbound(Unpooled.copiedBuffer(part, 0, n));
        }
    }

    /** The next message of this method or, with {@code method} empty, the next answer; others are passed over. */
    SipMessage next(String method) throws IOException {
        for (SipMessage m = next(); m != null; m = next()) {
            if (m.method().equals(method)) {
                return m;
            }
        }
        return null;
    }

    /** The next message, which must be this method's and come within a second. */
    SipMessage soon(String method) throws IOException {
        SipMessage message = next(1_000);
        if (message == null || !message.method().equals(method)) {
            throw new AssertionError("no " + method + " but " + message);
        }
        return message;
    }

    /** Whether the far end says nothing for so long. */
    boolean quiet(int millis) throws IOException {
        try {
            next(millis);
            return false;
        } catch (SocketTimeoutException e) {
            return true;
        }
    }

    /** Resets the connection, as a process that dies does. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Says that nothing more comes, and reads on. */
    void halfClose() throws IOException {
        socket.shutdownOutput();
    }

    /** Whether octets wait to be read. */
    boolean hasUnread() throws IOException {
        return socket.getInputStream().available() > 0;
    }

    /** Reads to the end; whether that was an end in order and no reset. */
    boolean endsInOrder() throws IOException {
        socket.setSoTimeout(PATIENCE_MS);
        byte[] part = new byte[4_096];
        try {
            int n = 0;
            while (n >= 0) {
                n = socket.getInputStream().read(part);
                if (n > 0) {
                    decoder.writeInbound(Unpooled.copiedBuffer(part, 0, n));
                }
            }
            return true;
        } catch (java.net.SocketException e) {
            return false;
        }
    }

    /** The next of the messages read already, or null. */
    SipMessage had() {
        return decoder.readInbound();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
