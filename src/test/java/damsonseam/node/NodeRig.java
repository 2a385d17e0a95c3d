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

/** A front node on loopback with signalling servers and a coordinator that do as the test says. */
final class NodeRig implements AutoCloseable {
    static final byte[] OFFER = "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\n".getBytes(StandardCharsets.UTF_8);
    static final byte[] ANSWER = "77\r\nc=IN IP4 10.9.9.9\r\nm=audio 4 RTP/AVP 0\r\n".getBytes(StandardCharsets.UTF_8);
    /** The release guard of the settings below, in milliseconds. */
    static final int GUARD_MS = 150;

    static final String NUMBER = "7f3a9c21e0b4d655";

    final List<ServerSocket> servers = new ArrayList<>();
    final ServerSocket coordinator = listen();
    final NodeServer node;
    private final UnaryOperator<String> changes;
    private final List<AutoCloseable> open = new ArrayList<>();
    private int calls;

    /** A node before so many servers, all on the list it starts with. */
    NodeRig(int count) throws Exception {
        this(listening(count));
    }

    /** A node before these servers. */
    NodeRig(List<ServerSocket> before) throws Exception {
        this(before, UnaryOperator.identity());
    }

    /** A node before these servers with some of the configuration's text changed. */
    NodeRig(List<ServerSocket> before, UnaryOperator<String> changes) throws Exception {
        servers.addAll(before);
        this.changes = changes;
        node = NodeServer.start(NodeConfig.fromJson(new ObjectMapper().readTree(config(coordinator.getLocalPort()))));
    }

    static List<ServerSocket> listening(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            sockets.add(listen());
        }
        return sockets;
    }

    static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    /** The configuration with the coordinator at another port. */
    NodeConfig configuration(int coordinatorPort) throws Exception {
        return NodeConfig.fromJson(new ObjectMapper().readTree(config(coordinatorPort)));
    }

    String config(int coordinatorPort) {
        StringBuilder members = new StringBuilder();
        for (int i = 0; i < servers.size(); i++) {
            members.append(i > 0 ? "," : "")
                    .append("{\"cell\":")
                    .append(i)
                    .append(",\"host_port\":\"127.0.0.1:")
                    .append(servers.get(i).getLocalPort())
                    .append("\",\"id\":\"s-0000000")
                    .append(i)
                    .append("\",\"phase\":\"ready\",\"up_since_ms\":0}");
        }
        return changes.apply("{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"seed\":\"8c1f30d27a5be964\","
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

    /** A caller's connection to a node that is ready. */
    SipSocket caller() throws Exception {
        SipSocket caller = keep(SipSocket.to(node.address()));
        Awaitility.await().until(() -> {
            caller.send(SipMessage.request(SipMessage.OPTIONS, "sip:ping@net", "00000000000000aa", 1));
            return caller.next().status() == 200;
        });
        return caller;
    }

    /** A call that stands: its set-up, with the connections that carry it. */
    record Standing(SipSocket caller, SipSocket server, SipMessage invite) {}

    /** A call of a new caller that stands at a server on this connection of the node. */
    Standing standing(SipSocket server) throws Exception {
        SipSocket caller = caller();
        SipMessage invite = invite();
        caller.send(invite);
        server.send(stands(server.next("INVITE")));
        if (caller.next().status() != 200) {
            throw new AssertionError("the call does not stand");
        }
        return new Standing(caller, server, invite);
    }

    /** Keeps the node's loop from turning until the result is closed: what comes meanwhile waits in the sockets. */
    AutoCloseable pause() throws Exception {
        CountDownLatch paused = new CountDownLatch(1);
        CountDownLatch on = new CountDownLatch(1);
        node.loop().eventLoop().execute(() -> {
            paused.countDown();
            try {
                on.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        paused.await();
        return on::countDown;
    }

    /** Begins the planned end of the node. */
    Thread drain() {
        Thread ending = new Thread(() -> {
            try {
                node.drain();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        ending.start();
        return ending;
    }

    /** Waits until nothing is left of any call; what the node holds in several places agrees. */
    void empty() {
        Awaitility.await()
                .until(
                        () -> node.consistencyCounts(),
                        b -> b.equals(new NodeServer.ConsistencyCounts(0, 0, 0, 0, 0, 0, 0)));
    }

    /** What the node holds to be so agrees between its tables, as calls, attempts and standing calls go. */
    private void agree() {
        Awaitility.await()
                .atMost(Duration.ofSeconds(5))
                .until(
                        () -> node.consistencyCounts(),
                        b -> b.attempts() == b.carriedAttempts()
                                && b.establishedAtServers() == b.establishedAtCallers()
                                && b.openCalls() >= b.coreCalls()
                                && b.attempts() <= b.pendingAnswers()
                                && b.openCalls() == b.pendingAnswers() + b.establishedAtServers());
    }

    <T extends AutoCloseable> T keep(T what) {
        open.add(what);
        return what;
    }

    /** The next connection that the node makes to a server, told that 30 of 40 lines are free. */
    SipSocket accept(int server) throws Exception {
        SipSocket link = keep(new SipSocket(servers.get(server).accept()));
        link.send(SipMessage.request(SipMessage.NOTIFY, "sip:group@net", "0000000000000001", 1)
                .addHeader("X-Occupancy", "spare:30;total:40"));
        return link;
    }

    /** Accepts the node's connection to its coordinator and reads the number it asks from. */
    Coordinator coordinator() throws IOException {
        return keep(new Coordinator(coordinator.accept()));
    }

    static String id(int call) {
        return String.format("%016x", 0x1000L + call);
    }

    /** A set-up of the dear class; each has an id of its own. */
    SipMessage invite() {
        return invite(id(++calls), "dest:0;width:1;via:-1", "1500");
    }

    static SipMessage invite(String id, String legs, String timer) {
        return SipMessage.request(SipMessage.INVITE, "sip:" + NUMBER + "@net", id, 1, OFFER)
                .addHeader("X-Cos", "dear")
                .addHeader("X-Timer-Ms", timer)
                .addHeader("X-Legs", legs);
    }

    static SipMessage stands(SipMessage invite) {
        return SipMessage.response(200, "OK", invite.callId(), invite.cseq(), ANSWER);
    }

    static SipMessage bye(String id, int cause) {
        return SipMessage.request(SipMessage.BYE, "sip:" + NUMBER + "@net", id, 2)
                .addHeader("Reason", "Q.850;cause=" + cause);
    }

    /** The coordinator's end of one connection. */
    static final class Coordinator implements AutoCloseable {
        final long from;
        private final Socket socket;
        private final DataOutputStream out;

        Coordinator(Socket socket) throws IOException {
            this.socket = socket;
            from = new DataInputStream(socket.getInputStream()).readLong();
            out = new DataOutputStream(socket.getOutputStream());
        }

        /** A frame of one record, or of none with kind 0. */
        void frame(long number, int kind, int id, int port, int state) throws IOException {
            out.writeInt(9 + (kind == 0 ? 0 : 27));
            out.writeLong(number);
            out.writeByte(kind);
            if (kind > 0) {
                out.writeInt(id);
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

        void raw(byte[] octets) throws IOException {
            out.write(octets);
            out.flush();
        }

        boolean closed() throws IOException {
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
            agree();
        }
        node.close();
        for (AutoCloseable one : open) {
            one.close();
        }
        for (ServerSocket server : servers) {
            server.close();
        }
        coordinator.close();
    }
}
