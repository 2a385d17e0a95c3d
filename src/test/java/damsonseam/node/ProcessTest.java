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

/** A front node as a process of its own, told by its file and by signals. */
@Timeout(60)
class ProcessTest {
    @TempDir
    private Path dir;

    private static void signal(Process process, String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    private Process start(Path config) throws Exception {
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "damsonseam.cli.Main",
                "node");
        builder.environment().put("NODE_CONFIG", config.toString());
        return builder.redirectErrorStream(true)
                .redirectOutput(dir.resolve("log").toFile())
                .start();
    }

    @Test
    void aReloadMovesTheCoordinatorAndTheEndAnswersWhatIsOut() throws Exception {
        Path config = dir.resolve("config.json");
        try (NodeRig rig = new NodeRig(1);
                ServerSocket moved = NodeRig.listen()) {
            rig.accept(0);
            int port;
            try (ServerSocket free = NodeRig.listen()) {
                port = free.getLocalPort();
            }
            String at = "127.0.0.1:" + port;
            Files.writeString(config, rig.config(rig.coordinator.getLocalPort()).replace("127.0.0.1:0", at));
            Process process = start(config);
            try {
                rig.coordinator();
                rig.coordinator();
                SipSocket server = rig.accept(0);
                SipSocket caller = Awaitility.await()
                        .ignoreExceptions()
                        .until(
                                () -> rig.keep(
                                        SipSocket.to(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))),
                                s -> true);
                caller.send(rig.invite());
                SipMessage seen = server.next("INVITE");
                Files.writeString(config, rig.config(moved.getLocalPort()).replace("127.0.0.1:0", at));
                signal(process, "HUP");
                rig.keep(new NodeRig.Coordinator(moved.accept()));
                signal(process, "TERM");
                server.send(NodeRig.stands(seen));
                assertEquals(200, caller.next().status());
                assertTrue(caller.endsInOrder());
                caller.close();
                assertTrue(process.waitFor(10, TimeUnit.SECONDS), "it does not end");
                assertEquals(0, process.exitValue(), Files.readString(dir.resolve("log")));
            } finally {
                process.destroyForcibly();
            }
        }
    }

    @Test
    void anEndThatIsAskedForDuringTheStartEndsInOrder() throws Exception {
        Path config = dir.resolve("config.json");
        try (NodeRig rig = new NodeRig(1)) {
            rig.accept(0);
            Files.writeString(config, rig.config(rig.coordinator.getLocalPort()));
            Process process = start(config);
            try {
                rig.coordinator();
                // Its second connection is this process's: the port is about to open, or just has.
                rig.coordinator();
                signal(process, "TERM");
                assertTrue(process.waitFor(10, TimeUnit.SECONDS), "it does not end");
                assertEquals(0, process.exitValue(), Files.readString(dir.resolve("log")));
            } finally {
                process.destroyForcibly();
            }
        }
    }
}
