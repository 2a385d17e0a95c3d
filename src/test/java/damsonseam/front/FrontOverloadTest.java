package damsonseam.front;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.config.Endpoint;
import damsonseam.config.FrontSettings;
import damsonseam.config.TimeSpan;
import damsonseam.dns.DnsCodec;
import damsonseam.dns.E164Name;
import damsonseam.dns.EdnsCallOption;
import damsonseam.load.LoadPlan;
import damsonseam.load.LoadResult;
import damsonseam.load.LoadRunner;
import damsonseam.load.RateProfile;
import damsonseam.standin.CalculatorSettings;
import damsonseam.standin.Scenario;
import damsonseam.standin.SimulatedPeers;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Message;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/**
 * A real front on loopback sockets under overload. Guards against calls that get no answer or two, low-worth calls that
 * displace high-worth ones, and callers locked out by idle connections.
 */
class FrontOverloadTest {
    private static final int MAX_CONNECTIONS = 3;
    private SimulatedPeers peers;
    private FrontServer front;

    @BeforeEach
    void start() throws Exception {
        CalculatorSettings fastCalculators =
                new CalculatorSettings(2_000.0, null, null, null, null, 20_000, null, null, null, null, null);
        peers = new SimulatedPeers(
                new Scenario(
                        "test",
                        null,
                        1L,
                        1,
                        new Scenario.Calculators(3, fastCalculators),
                        null,
                        new Scenario.Directory(TimeSpan.ms(0), null),
                        null,
                        null),
                null);
        FrontSettings settings = peers.frontSettings(0, new Endpoint("127.0.0.1", 0));
        front = FrontServer.start(
                new FrontSettings(
                        settings.front(),
                        settings.enumSettings(),
                        settings.classes(),
                        settings.numbers(),
                        settings.upstream(),
                        settings.directory(),
                        settings.trunks(),
                        settings.fleet(),
                        new FrontSettings.Limits(null, null, null, null, MAX_CONNECTIONS, null),
                        settings.overload()),
                false);
        assertTrue(front.awaitReady(20_000));
    }

    @AfterEach
    void stop() {
        front.close();
        peers.close();
    }

    private static Message question(int id, String number) {
        Message query = new Message(id);
        query.addRecord(
                Record.newRecord(
                        E164Name.toName(number, E164Name.parseSuffix(SimulatedPeers.SUFFIX)), Type.NAPTR, DClass.IN),
                Section.QUESTION);
        query.addRecord(
                new OPTRecord(1232, 0, 0, 0, List.of(new EdnsCallOption(false, 2_100).toOption())), Section.ADDITIONAL);
        return query;
    }

    private static byte[] receive(DatagramSocket socket) throws Exception {
        DatagramPacket packet = new DatagramPacket(new byte[4096], 4096);
        socket.receive(packet);
        return java.util.Arrays.copyOf(packet.getData(), packet.getLength());
    }

    private void send(DatagramSocket socket, byte[] message) throws Exception {
        socket.send(new DatagramPacket(message, message.length, front.enumAddress()));
    }

    /**
     * The event loop is paused while calls arrive. The intake thread refuses low-worth calls at once, high-worth calls
     * wait in the queue. Each call gets one answer, and a retransmitted query gets the identical answer.
     */
    @Test
    void pausedEventLoopRefusesLowWorthAtOnceAndQueuesHighWorthCalls() throws Exception {
        try (DatagramSocket socket = new DatagramSocket()) {
            socket.setSoTimeout(10_000);
            // Holds all answers: none is read before the last query is sent.
            socket.setReceiveBufferSize(4 << 20);
            front.pauseLoop(400);
            int callsPerClass = 300;
            Map<Integer, byte[]> questions = new HashMap<>();
            for (int i = 0; i < 2 * callsPerClass; i++) {
                byte[] question = question(i, String.format("5982%s00%07d", i % 2 == 0 ? "1" : "8", i))
                        .toWire();
                questions.put(i, question);
                send(socket, question);
                Thread.sleep(i % 30 == 0 ? 10 : 0);
            }
            Map<Integer, byte[]> answers = new HashMap<>();
            int refusedLowWorth = 0;
            int refusedHighWorth = 0;
            while (answers.size() < 2 * callsPerClass) {
                byte[] answer = receive(socket);
                int id = DnsCodec.messageId(answer);
                assertTrue(answers.put(id, answer) == null, "a second answer for " + id);
                boolean refused = DnsCodec.decode(answer).getRcode() == Rcode.REFUSED;
                refusedLowWorth += refused && id % 2 == 0 ? 1 : 0;
                refusedHighWorth += refused && id % 2 != 0 ? 1 : 0;
            }
            // The numbers depend on this machine's send rate; that high-worth calls wait longer does not.
            assertTrue(refusedLowWorth > 0, refusedLowWorth + " low-worth calls refused");
            assertTrue(
                    refusedHighWorth < refusedLowWorth,
                    refusedHighWorth + " high-worth calls refused, " + refusedLowWorth + " low-worth");
            for (int id = 0; id < 2 * callsPerClass; id += 37) {
                send(socket, questions.get(id));
                assertArrayEquals(answers.get(id), receive(socket), "retransmitted: " + id);
            }
        }
    }

    /** A burst of ten times the calculators' capacity through front and calculators: each call gets one answer. */
    @Test
    void everyCallOfABurstIsAnswered() throws Exception {
        List<LoadPlan.CallerClass> kinds = List.of(
                new LoadPlan.CallerClass("simulacion", "59821", 9, 1_500, 3_000, 1, 0.25),
                new LoadPlan.CallerClass("tasacion-firma", "59828", 1, 1_200, 2_200, 8, 0.25));
        LoadResult result = LoadRunner.run(new LoadPlan(
                List.of(front.enumAddress()),
                SimulatedPeers.SUFFIX,
                kinds,
                RateProfile.burst(200, 10, 1, 2),
                3,
                5,
                1,
                1,
                500,
                3));
        assertTrue(result.offered(-1, 1, 2) > 1_000, "offered " + result.offered(-1, 1, 2));
        assertEquals(0, result.count(-1, LoadResult.Outcome.UNANSWERED, 0, 3));
        FrontReport report = front.report();
        assertEquals(
                result.offered(-1, 0, 3),
                report.stood()
                        + report.refused()
                        + report.failed()
                        + report.turnedAway()[0]
                        + report.turnedAway()[1]
                        + report.tooOld());
        assertEquals(0, report.unanswered());
    }

    @Test
    void newConnectionEvictsTheLongestIdleOne() throws Exception {
        List<Socket> idle = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            idle.add(new Socket(
                    front.enumAddress().getAddress(), front.enumAddress().getPort()));
        }
        // The front has accepted all of them, since the last one gets an answer.
        assertEquals(Rcode.NOERROR, ask(idle.get(MAX_CONNECTIONS - 1), 1));
        try (Socket caller =
                new Socket(front.enumAddress().getAddress(), front.enumAddress().getPort())) {
            assertEquals(Rcode.NOERROR, ask(caller, 2));
            idle.get(0).setSoTimeout(10_000);
            assertEquals(-1, idle.get(0).getInputStream().read(), "the longest idle connection is closed");
            assertEquals(Rcode.NOERROR, ask(idle.get(MAX_CONNECTIONS - 1), 3), "the one used last stays open");
        }
        for (Socket s : idle) {
            s.close();
        }
    }

    private static int ask(Socket socket, int id) throws Exception {
        byte[] question = question(id, String.format("5982100%07d", id)).toWire();
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        out.writeShort(question.length);
        out.write(question);
        out.flush();
        socket.setSoTimeout(10_000);
        DataInputStream in = new DataInputStream(socket.getInputStream());
        byte[] answer = new byte[in.readUnsignedShort()];
        in.readFully(answer);
        return DnsCodec.decode(answer).getRcode();
    }

    /** RFC 6891 6.1.1: more than one OPT record is a format error. */
    @Test
    void secondOptRecordIsAFormatError() throws Exception {
        Message query = question(9, "59821000000001");
        query.addRecord(new OPTRecord(1232, 0, 0), Section.ADDITIONAL);
        try (DatagramSocket socket = new DatagramSocket()) {
            socket.setSoTimeout(10_000);
            send(socket, query.toWire());
            assertEquals(Rcode.FORMERR, DnsCodec.decode(receive(socket)).getRcode());
        }
    }
}
