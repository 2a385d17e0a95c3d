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

/** A SIP connection for tests, with blocking reads. */
final class SipSocket implements AutoCloseable {
    private static final int READ_TIMEOUT_MS = 8_000;

    private final Socket socket;
    private final EmbeddedChannel decoder = new EmbeddedChannel(new SipDecoder());

    SipSocket(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
    }

    static SipSocket connect(InetSocketAddress address) throws IOException {
        return new SipSocket(new Socket(address.getAddress(), address.getPort()));
    }

    void send(SipMessage message) throws IOException {
        ByteBuf bytes = SipEncoder.encode(UnpooledByteBufAllocator.DEFAULT, message);
        send(ByteBufUtil.getBytes(bytes));
        bytes.release();
    }

    void send(String text) throws IOException {
        send(text.getBytes(StandardCharsets.UTF_8));
    }

    void send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    /** Returns the next message, or null if the far end has closed. */
    SipMessage receive() throws IOException {
        SipMessage message = receive(READ_TIMEOUT_MS);
        return message;
    }

    /** Returns the next message, or null if the far end has closed; throws if none arrives in time. */
    SipMessage receive(int timeoutMs) throws IOException {
        byte[] buffer = new byte[4_096];
        while (true) {
            SipMessage message = decoder.readInbound();
            if (message != null) {
                return message;
            }
            socket.setSoTimeout(timeoutMs);
            int count;
            try {
                count = socket.getInputStream().read(buffer);
            } catch (SocketTimeoutException e) {
                throw e;
            } catch (IOException e) {
                return null;
            }
            if (count < 0) {
                return null;
            }
            decoder.writeInbound(Unpooled.copiedBuffer(buffer, 0, count));
        }
    }

    /** Returns the next request with this method, or the next response if it is empty; skips other messages. */
    SipMessage receive(String method) throws IOException {
        for (SipMessage message = receive(); message != null; message = receive()) {
            if (message.method().equals(method)) {
                return message;
            }
        }
        return null;
    }

    /** Returns the next message, which must arrive within a second and have this method. */
    SipMessage receiveWithinOneSecond(String method) throws IOException {
        SipMessage message = receive(1_000);
        if (message == null || !message.method().equals(method)) {
            throw new AssertionError("expected " + method + " but got " + message);
        }
        return message;
    }

    /** Returns whether no message arrives for so long. */
    boolean isQuiet(int durationMs) throws IOException {
        try {
            receive(durationMs);
            return false;
        } catch (SocketTimeoutException e) {
            return true;
        }
    }

    /** Resets the connection, as happens when a process dies. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Shuts the output down and keeps the input open. */
    void halfClose() throws IOException {
        socket.shutdownOutput();
    }

    /** Returns whether there are unread bytes. */
    boolean hasUnread() throws IOException {
        return socket.getInputStream().available() > 0;
    }

    /** Reads to the end of the stream; returns whether the connection ended without a reset. */
    boolean endsWithoutReset() throws IOException {
        socket.setSoTimeout(READ_TIMEOUT_MS);
        byte[] buffer = new byte[4_096];
        try {
            int count = 0;
            while (count >= 0) {
                count = socket.getInputStream().read(buffer);
                if (count > 0) {
                    decoder.writeInbound(Unpooled.copiedBuffer(buffer, 0, count));
                }
            }
            return true;
        } catch (java.net.SocketException e) {
            return false;
        }
    }

    /** Reads to the end of the stream without decoding, as fast as the far end sends. */
    void discardAll() throws IOException {
        byte[] buffer = new byte[65_536];
        socket.setSoTimeout(0);
        while (socket.getInputStream().read(buffer) >= 0) {
            // Only read.
        }
    }

    /** Returns the next message that has been read already, or null. */
    SipMessage pollBuffered() {
        return decoder.readInbound();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
