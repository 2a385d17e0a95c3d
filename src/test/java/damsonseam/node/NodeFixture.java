package damsonseam.node;

import com.fasterxml.jackson.databind.ObjectMapper;
import damsonseam.sip.SipMessage;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.UnaryOperator;
import org.awaitility.Awaitility;

/** A front node on loopback, with server and coordinator sockets that the test controls. */
final class NodeFixture implements AutoCloseable {
    static final byte[] OFFER = "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\n".getBytes(StandardCharsets.UTF_8);
    static final byte[] ANSWER = "77\r\nc=IN IP4 10.9.9.9\r\nm=audio 4 RTP/AVP 0\r\n".getBytes(StandardCharsets.UTF_8);
    /** The release guard in the configuration below. */
    static final int GUARD_MS = 150;

    /** Longer than any test waits for a connection, so that a missing one is a failure and no hang. */
    private static final int ACCEPT_TIMEOUT_MS = 15_000;

    static final String NUMBER = "7f3a9c21e0b4d655";

    final List<ServerSocket> serverSockets = new ArrayList<>();
    final ServerSocket coordinatorSocket = listen();
    final NodeServer node;
    private final UnaryOperator<String> configChange;
    private final List<AutoCloseable> closeables = new ArrayList<>();
    private int callCount;

    /** Starts a node with so many servers, all of them in its initial server list. */
    NodeFixture(int serverCount) throws Exception {
        this(listenOnPorts(serverCount));
    }

    /** Starts a node with these servers in its initial server list. */
    NodeFixture(List<ServerSocket> listeners) throws Exception {
        this(listeners, UnaryOperator.identity());
    }

    /** Starts a node with these servers, after applying a change to the text of its configuration. */
    NodeFixture(List<ServerSocket> listeners, UnaryOperator<String> configChange) throws Exception {
        this(listeners, configChange, MemoryLimits.ofVirtualMachine());
    }

    /** Starts a node with these servers and memory limits, after applying a change to its configuration. */
    NodeFixture(List<ServerSocket> listeners, UnaryOperator<String> configChange, MemoryLimits memoryLimits)
            throws Exception {
        serverSockets.addAll(listeners);
        this.configChange = configChange;
        node = NodeServer.start(parsedConfig(coordinatorSocket.getLocalPort()), memoryLimits);
    }

    /** Returns the heap that the calls without a final answer hold. */
    long unansweredCallBytes() throws Exception {
        return node.loop()
                .eventLoop()
                .submit(() -> node.callerListener().unansweredCallMemory().heldBytes())
                .get();
    }

    /** Returns the bytes that the callers' unfinished messages and unsent responses hold. */
    long callerBufferBytes() throws Exception {
        return node.loop()
                .eventLoop()
                .submit(() -> node.callerListener().buffers().heldBytes())
                .get();
    }

    static List<ServerSocket> listenOnPorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            sockets.add(listen());
        }
        return sockets;
    }

    static ServerSocket listen() throws IOException {
        ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        socket.setSoTimeout(ACCEPT_TIMEOUT_MS);
        return socket;
    }

    /** Returns the configuration with the coordinator at another port. */
    NodeConfig parsedConfig(int coordinatorPort) throws Exception {
        return NodeConfig.fromJson(new ObjectMapper().readTree(configJson(coordinatorPort)));
    }

    String configJson(int coordinatorPort) {
        StringBuilder members = new StringBuilder();
        for (int i = 0; i < serverSockets.size(); i++) {
            members.append(i > 0 ? "," : "")
                    .append("{\"cell\":")
                    .append(i)
                    .append(",\"host_port\":\"127.0.0.1:")
                    .append(serverSockets.get(i).getLocalPort())
                    .append("\",\"id\":\"s-0000000")
                    .append(i)
                    .append("\",\"phase\":\"ready\",\"up_since_ms\":0}");
        }
        return configChange.apply("{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":256},\"coordinator\":\"127.0.0.1:"
                + coordinatorPort + "\",\"known\":{\"index\":1,\"updates\":[{\"index\":1,\"endpoints\":"
                + "{\"complete\":true,\"members\":[" + members + "]}}]},\"settings\":{\"Balancers\":3,"
                + "\"Caps\":{\"ConnectTimeout\":300.0,\"MaxAttempts\":4,\"MaxRetryAfter\":2000.0,\"MayCancel\":true,"
                + "\"MayProbe\":true,\"MostHeld\":20000,\"RetryAfter\":true},\"Discovery\":\"push\","
                + "\"FamilyInfo\":{\"Guard\":150.0,\"Retransmit\":125.0,\"SelfNo\":-1,\"SkilledPools\":[[0,1],[0,1]]},"
                + "\"Invariants\":{\"AnswerSlack\":5.0,\"ColdFrom\":0.35,\"DrainGrace\":250.0,\"Fall\":1000.0,"
                + "\"TipMultiple\":3.0,\"WarmWithin\":14000.0},\"Report\":{\"Fields\":[\"spare\",\"total\"]},"
                + "\"RequestClasses\":[{\"Aim\":380.0,\"HardLimit\":3000.0,\"LateValue\":0.25,\"Name\":\"plain\","
                + "\"Worth\":1.0},{\"Aim\":300.0,\"HardLimit\":2000.0,\"LateValue\":0.25,\"Name\":\"dear\","
                + "\"Worth\":8.0}],\"Tick\":1.0}}");
    }

    /** Connects a caller and waits until the node reports that it is ready. */
    SipSocket connectCaller() throws Exception {
        SipSocket caller = closeLater(SipSocket.connect(node.address()));
        Awaitility.await().until(() -> {
            caller.send(SipMessage.request(SipMessage.OPTIONS, "sip:ping@net", "00000000000000aa", 1));
            return caller.receive().status() == 200;
        });
        return caller;
    }

    /** An established call: its INVITE and the connections that carry it. */
    record EstablishedCall(SipSocket caller, SipSocket server, SipMessage invite) {}

    /** Establishes a call of a new caller at the server behind this connection. */
    EstablishedCall establishCall(SipSocket server) throws Exception {
        SipSocket caller = connectCaller();
        SipMessage invite = invite();
        caller.send(invite);
        server.send(okResponse(server.receive("INVITE")));
        if (caller.receive().status() != 200) {
            throw new AssertionError("the call was not established");
        }
        return new EstablishedCall(caller, server, invite);
    }

    /** Pauses the node's event loop until the result is closed: what arrives meanwhile waits in the sockets. */
    AutoCloseable pauseEventLoop() throws Exception {
        CountDownLatch paused = new CountDownLatch(1);
        CountDownLatch resume = new CountDownLatch(1);
        node.loop().eventLoop().execute(() -> {
            paused.countDown();
            try {
                resume.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        paused.await();
        return resume::countDown;
    }

    /** Starts the graceful shutdown of the node on a thread of its own. */
    Thread startDrain() {
        Thread drainThread = new Thread(() -> {
            try {
                node.drain();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        drainThread.start();
        return drainThread;
    }

    /** Waits until all counts of calls and attempts are zero. */
    void awaitEmpty() {
        Awaitility.await()
                .until(
                        () -> node.consistencyCounts(),
                        counts -> counts.equals(new NodeServer.ConsistencyCounts(0, 0, 0, 0, 0, 0, 0)));
    }

    /** Waits until the node's tables agree on the numbers of calls, attempts and established calls. */
    private void awaitConsistentCounts() {
        Awaitility.await()
                .atMost(Duration.ofSeconds(5))
                .until(
                        () -> node.consistencyCounts(),
                        counts -> counts.attempts() == counts.carriedAttempts()
                                && counts.establishedAtServers() == counts.establishedAtCallers()
                                && counts.openCalls() >= counts.coreCalls()
                                && counts.attempts() <= counts.unansweredCalls()
                                && counts.openCalls() == counts.unansweredCalls() + counts.establishedAtServers());
    }

    <T extends AutoCloseable> T closeLater(T closeable) {
        closeables.add(closeable);
        return closeable;
    }

    /** Accepts the node's next connection to a server and reports on it that 30 of 40 lines are free. */
    SipSocket acceptServerConnection(int serverIndex) throws Exception {
        SipSocket connection =
                closeLater(new SipSocket(serverSockets.get(serverIndex).accept()));
        connection.send(SipMessage.request(SipMessage.NOTIFY, "sip:group@net", "0000000000000001", 1)
                .addHeader("X-Occupancy", "spare:30;total:40"));
        return connection;
    }

    /** Accepts the node's connection to its coordinator and reads the number after which it asks for updates. */
    CoordinatorConnection acceptCoordinator() throws IOException {
        return closeLater(new CoordinatorConnection(coordinatorSocket.accept()));
    }

    static String callId(int number) {
        return String.format("%016x", 0x1000L + number);
    }

    /** Returns an INVITE of the class "dear" with a new Call-ID. */
    SipMessage invite() {
        return invite(callId(++callCount), "dest:0;width:1;via:-1", "1500");
    }

    static SipMessage invite(String callId, String legs, String timerMs) {
        return SipMessage.request(SipMessage.INVITE, "sip:" + NUMBER + "@net", callId, 1, OFFER)
                .addHeader("X-Cos", "dear")
                .addHeader("X-Timer-Ms", timerMs)
                .addHeader("X-Legs", legs);
    }

    static SipMessage okResponse(SipMessage invite) {
        return SipMessage.response(200, "OK", invite.callId(), invite.cseq(), ANSWER);
    }

    static SipMessage bye(String callId, int cause) {
        return SipMessage.request(SipMessage.BYE, "sip:" + NUMBER + "@net", callId, 2)
                .addHeader("Reason", "Q.850;cause=" + cause);
    }

    /** The coordinator's end of one connection. */
    static final class CoordinatorConnection implements AutoCloseable {
        final long requestedAfter;
        private final Socket socket;
        private final DataOutputStream out;

        CoordinatorConnection(Socket socket) throws IOException {
            this.socket = socket;
            requestedAfter = new DataInputStream(socket.getInputStream()).readLong();
            out = new DataOutputStream(socket.getOutputStream());
        }

        /** Sends a frame with one record, or with none for kind 0. */
        void sendFrame(long number, int kind, int serverId, int port, int state) throws IOException {
            out.writeInt(9 + (kind == 0 ? 0 : 27));
            out.writeLong(number);
            out.writeByte(kind);
            if (kind > 0) {
                out.writeInt(serverId);
                out.writeInt(0x7f000001);
                out.writeShort(port);
                out.writeByte(state);
                out.writeByte(0);
                out.writeByte(0);
                out.writeShort(0);
                out.writeInt(1_000);
                out.writeLong(0);
            }
            out.flush();
        }

        void sendRaw(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        boolean isClosedByNode() throws IOException {
            socket.setSoTimeout(8_000);
            try {
                return socket.getInputStream().read() < 0;
            } catch (java.net.SocketException e) {
                return true;
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    @Override
    public void close() throws Exception {
        if (!node.loop().eventLoop().isShuttingDown()) {
            awaitConsistentCounts();
        }
        node.close();
        for (AutoCloseable closeable : closeables) {
            closeable.close();
        }
        for (ServerSocket server : serverSockets) {
            server.close();
        }
        coordinatorSocket.close();
    }
}
