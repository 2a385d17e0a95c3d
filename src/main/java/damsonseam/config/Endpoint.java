package damsonseam.config;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.net.InetSocketAddress;

/**
 * A host and port as written in settings files: {@code 127.0.0.1:5353} or {@code [::1]:5353}.
 *
 * @param host the host name or address, without brackets
 * @param port the port, 0 to 65535; 0 lets the system choose one
 */
public record Endpoint(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /** Parses an endpoint. */
    @JsonCreator
    public static Endpoint parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            String host = text.substring(0, Math.max(0, colon));
            if (host.startsWith("[") && host.endsWith("]")) {
                host = host.substring(1, host.length() - 1);
            }
            if (host.isEmpty() || port < 0 || port > MAX_PORT) {
                throw new NumberFormatException();
            }
            return new Endpoint(host, port);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("expected HOST:PORT, found " + text, e);
        }
    }

    /** Returns the socket address. Resolves the host name, which may block. */
    public InetSocketAddress toSocketAddress() {
        return new InetSocketAddress(host, port);
    }

    @JsonValue
    @Override
    public String toString() {
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + port;
    }
}
