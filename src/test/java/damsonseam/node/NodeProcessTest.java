package damsonseam.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.sip.SipMessage;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards the front node as a process of its own, controlled by its configuration file and by signals. */
@Timeout(60)
class NodeProcessTest {
    @TempDir
    private Path directory;

    private static void signal(Process process, String signalName) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + signalName, Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    private Process start(Path configFile) throws Exception {
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "damsonseam.cli.Main",
                "node");
        builder.environment().put("NODE_CONFIG", configFile.toString());
        return builder.redirectErrorStream(true)
                .redirectOutput(directory.resolve("log").toFile())
                .start();
    }

    @Test
    void reloadMovesCoordinatorAndShutdownAnswersPendingCall() throws Exception {
        Path config = directory.resolve("config.json");
        try (NodeFixture fixture = new NodeFixture(1);
                ServerSocket moved = NodeFixture.listen()) {
            fixture.acceptServerConnection(0);
            int port;
            try (ServerSocket free = NodeFixture.listen()) {
                port = free.getLocalPort();
            }
            String listenAddress = "127.0.0.1:" + port;
            Files.writeString(
                    config,
                    fixture.configJson(fixture.coordinatorSocket.getLocalPort()).replace("127.0.0.1:0", listenAddress));
            Process process = start(config);
            try {
                fixture.acceptCoordinator();
                fixture.acceptCoordinator();
                SipSocket server = fixture.acceptServerConnection(0);
                SipSocket caller = Awaitility.await()
                        .ignoreExceptions()
                        .until(
                                () -> fixture.closeLater(SipSocket.connect(
                                        new InetSocketAddress(InetAddress.getLoopbackAddress(), port))),
                                s -> true);
                caller.send(fixture.invite());
                SipMessage received = server.receive("INVITE");
                Files.writeString(
                        config, fixture.configJson(moved.getLocalPort()).replace("127.0.0.1:0", listenAddress));
                signal(process, "HUP");
                fixture.closeLater(new NodeFixture.CoordinatorConnection(moved.accept()));
                signal(process, "TERM");
                server.send(NodeFixture.okResponse(received));
                assertEquals(200, caller.receive().status());
                assertTrue(caller.endsWithoutReset());
                caller.close();
                assertTrue(process.waitFor(10, TimeUnit.SECONDS), "the process does not exit");
                assertEquals(0, process.exitValue(), Files.readString(directory.resolve("log")));
            } finally {
                process.destroyForcibly();
            }
        }
    }

    @Test
    void terminationDuringStartExitsCleanly() throws Exception {
        Path config = directory.resolve("config.json");
        try (NodeFixture fixture = new NodeFixture(1)) {
            fixture.acceptServerConnection(0);
            Files.writeString(config, fixture.configJson(fixture.coordinatorSocket.getLocalPort()));
            Process process = start(config);
            try {
                fixture.acceptCoordinator();
                // The second connection is the process's: its port is about to open, or has just opened.
                fixture.acceptCoordinator();
                signal(process, "TERM");
                assertTrue(process.waitFor(10, TimeUnit.SECONDS), "the process does not exit");
                assertEquals(0, process.exitValue(), Files.readString(directory.resolve("log")));
            } finally {
                process.destroyForcibly();
            }
        }
    }
}
