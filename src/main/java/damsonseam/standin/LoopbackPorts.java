package damsonseam.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Chooses ports for stand-ins that are restarted on the same address. If a stand-in
 * used an ephemeral port, the system could, while it is down, assign that port to an outgoing connection, even to one
 * towards that very port. The ports chosen here lie below the ephemeral range.
 */
final class LoopbackPorts {
    private static final int FIRST_PORT = 12_000;
    private static final int END_PORT = 32_000;
    private static final int MAX_TRIES = 200;

    private LoopbackPorts() {}

    /** Returns the address unchanged, or with a free port of the range if its port is 0. */
    static InetSocketAddress withFixedPort(InetSocketAddress address) throws IOException {
        if (address.getPort() != 0) {
            return address;
        }
        for (int i = 0; i < MAX_TRIES; i++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, END_PORT);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return new InetSocketAddress(address.getAddress(), probe.getLocalPort());
            } catch (IOException e) {
                // The port is in use: try another.
            }
        }
        throw new IOException("no free port from " + FIRST_PORT + " to " + END_PORT);
    }
}
