package damsonseam.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.sip.SipMessage;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards the front node as a process of its own, controlled by its configuration file and by signals. */
@Timeout(60)
class NodeProcessTest {
    @TempDir
    Path directory;

    @Test
    void reloadMovesCoordinatorAndShutdownAnswersPendingCall() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1);
                ServerSocket moved = NodeFixture.listen()) {
            fixture.acceptServerConnection(0);
            try (NodeProcess node = NodeProcess.start(fixture, directory)) {
                fixture.acceptCoordinator();
                fixture.acceptCoordinator();
                SipSocket server = fixture.acceptServerConnection(0);
                SipSocket caller = node.awaitCallerConnection(fixture);
                caller.send(fixture.invite());
                SipMessage received = server.receive("INVITE");
                node.writeConfig(fixture, moved.getLocalPort());
                node.signal("HUP");
                fixture.closeLater(new NodeFixture.CoordinatorConnection(moved.accept()));
                node.signal("TERM");
                server.send(NodeFixture.okResponse(received));
                assertEquals(200, caller.receive().status());
                assertTrue(caller.endsWithoutReset());
                caller.close();
                assertTrue(node.process.waitFor(10, TimeUnit.SECONDS), "the process does not exit");
                assertEquals(0, node.process.exitValue(), node.log());
            }
        }
    }

    @Test
    void terminationDuringStartExitsCleanly() throws Exception {
        try (NodeFixture fixture = new NodeFixture(1)) {
            fixture.acceptServerConnection(0);
            try (NodeProcess node = NodeProcess.start(fixture, directory)) {
                fixture.acceptCoordinator();
                // The second connection is the process's: its port is about to open, or has just opened.
                fixture.acceptCoordinator();
                node.signal("TERM");
                assertTrue(node.process.waitFor(10, TimeUnit.SECONDS), "the process does not exit");
                assertEquals(0, node.process.exitValue(), node.log());
            }
        }
    }
}
