package damsonseam.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Ports for stand-ins that are restarted behind the same address. One that the system chose could, while its owner
 * is down, be given to an outgoing connection (even to one made towards that very port); these lie below the range
 * from which outgoing ports are taken.
 */
final class LoopbackPorts {
    private static final int FIRST = 12_000;
    private static final int BEYOND = 32_000;
    private static final int TRIES = 200;

    private LoopbackPorts() {}

    /** The address as it is, or with a free port of the range in the place of port 0. */
    static InetSocketAddress lasting(InetSocketAddress at) throws IOException {
        if (at.getPort() != 0) {
            return at;
        }
        for (int i = 0; i < TRIES; i++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST, BEYOND);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return new InetSocketAddress(at.getAddress(), probe.getLocalPort());
            } catch (IOException e) {
                // Taken: the next one.
            }
        }
        throw new IOException("no free port from " + FIRST + " to " + BEYOND);
    }
}
