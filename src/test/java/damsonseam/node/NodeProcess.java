package damsonseam.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.awaitility.Awaitility;

/** A front node in a process of its own, whose peers are the sockets of a {@link NodeFixture}. */
final class NodeProcess implements AutoCloseable {
    final Process process;
    private final Path directory;
    private final int port;

    private NodeProcess(Process process, Path directory, int port) {
        this.process = process;
        this.directory = directory;
        this.port = port;
    }

    /** Starts a node with the configuration of a fixture and these options of the virtual machine. */
    static NodeProcess start(NodeFixture fixture, Path directory, String... options) throws Exception {
        int port;
        try (ServerSocket free = NodeFixture.listen()) {
            port = free.getLocalPort();
        }
        NodeProcess unstarted = new NodeProcess(null, directory, port);
        unstarted.writeConfig(fixture, fixture.coordinatorSocket.getLocalPort());
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1"));
        command.addAll(List.of(options));
        command.addAll(List.of("damsonseam.cli.Main", "node"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("NODE_CONFIG", unstarted.configFile().toString());
        Process process = builder.redirectErrorStream(true)
                .redirectOutput(directory.resolve("log").toFile())
                .start();
        return new NodeProcess(process, directory, port);
    }

    private Path configFile() {
        return directory.resolve("config.json");
    }

    /** Writes the configuration, with the coordinator at this port. */
    void writeConfig(NodeFixture fixture, int coordinatorPort) throws IOException {
        Files.writeString(
                configFile(), fixture.configJson(coordinatorPort).replace("127.0.0.1:0", "127.0.0.1:" + port));
    }

    /** Connects a caller as soon as the port is open. */
    SipSocket awaitCallerConnection(NodeFixture fixture) {
        return Awaitility.await().ignoreExceptions().until(() -> connectCaller(fixture), socket -> true);
    }

    SipSocket connectCaller(NodeFixture fixture) throws IOException {
        return fixture.closeLater(SipSocket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port)));
    }

    /** Sends a signal to the process. */
    void signal(String signalName) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + signalName, Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    /** Returns what the process has written. */
    String log() throws IOException {
        return Files.readString(directory.resolve("log"));
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
