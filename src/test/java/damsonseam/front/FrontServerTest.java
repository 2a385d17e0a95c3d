package damsonseam.front;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.config.Endpoint;
import damsonseam.directory.wire.State;
import damsonseam.dns.DnsCodec;
import damsonseam.dns.E164Name;
import damsonseam.dns.EdnsCallOption;
import damsonseam.dns.NaptrRules;
import damsonseam.ss7.M3uaMessage;
import damsonseam.standin.DnsAuthority;
import damsonseam.standin.Scenario;
import damsonseam.standin.SimulatedPeers;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Message;
import org.xbill.DNS.NAPTRRecord;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/**
 * A real front on loopback sockets with stand-ins for calculators, authorities and directory. Guards the path of a call
 * through all sockets, and its behavior when a peer crashes, drains, stays silent or sends garbage.
 */
class FrontServerTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private SimulatedPeers peers;
    private FrontServer front;
    private int nextId = 1;

    @BeforeEach
    void start() throws Exception {
        Scenario scenario = new Scenario(
                "test",
                null,
                1L,
                1,
                new Scenario.Calculators(3, null),
                null,
                new Scenario.Directory(damsonseam.config.TimeSpan.ms(0), null),
                null,
                null);
        peers = new SimulatedPeers(scenario, null);
        front = FrontServer.start(peers.frontSettings(0, new Endpoint("127.0.0.1", 0)), true);
        assertTrue(front.awaitReady(20_000));
    }

    @AfterEach
    void stop() {
        front.close();
        peers.close();
    }

    private static String number(int firstChoice, int sequence) {
        return String.format("59821%02d%07d", firstChoice, sequence);
    }

    private byte[] question(String number) {
        Message query = new Message(nextId++);
        query.addRecord(
                Record.newRecord(
                        E164Name.toName(number, E164Name.parseSuffix(SimulatedPeers.SUFFIX)), Type.NAPTR, DClass.IN),
                Section.QUESTION);
        query.addRecord(
                new OPTRecord(1232, 0, 0, 0, List.of(new EdnsCallOption(false, 2_900).toOption())), Section.ADDITIONAL);
        return query.toWire();
    }

    private Message ask(byte[] question) throws Exception {
        try (DatagramSocket socket = new DatagramSocket()) {
            socket.setSoTimeout(10_000);
            socket.send(new DatagramPacket(question, question.length, front.enumAddress()));
            return receive(socket);
        }
    }

    private static Message receive(DatagramSocket socket) throws Exception {
        DatagramPacket packet = new DatagramPacket(new byte[4096], 4096);
        socket.receive(packet);
        return DnsCodec.decode(Arrays.copyOf(packet.getData(), packet.getLength()));
    }

    /** Returns the server at which the call is established, or the response code if the answer names none. */
    private static String serverOrRcode(Message answer, String number) {
        List<NAPTRRecord> rules = answer.getSection(Section.ANSWER).stream()
                .map(r -> (NAPTRRecord) r)
                .toList();
        return rules.isEmpty()
                ? Rcode.string(answer.getRcode())
                : NaptrRules.serverHosts(number, rules).get(0);
    }

    private String call(int firstChoice, int sequence) throws Exception {
        return serverOrRcode(ask(question(number(firstChoice, sequence))), number(firstChoice, sequence));
    }

    @Test
    void callIsEstablishedAtItsFirstChoice() throws Exception {
        assertEquals("calc-01.example.org", call(1, 1));
        assertEquals("calc-02.example.org", call(2, 2));
        assertEquals("NXDOMAIN", call(77, 3));
    }

    @Test
    void severalQueriesOnOneTcpConnectionAreAllAnswered() throws Exception {
        try (Socket socket =
                new Socket(front.enumAddress().getAddress(), front.enumAddress().getPort())) {
            socket.setSoTimeout(10_000);
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            Set<Integer> asked = new HashSet<>();
            for (int i = 0; i < 5; i++) {
                byte[] question = question(number(i % 3, i));
                asked.add(DnsCodec.messageId(question));
                out.writeShort(question.length);
                // Part of a frame in one segment, the rest in a later one.
                out.write(question, 0, 5);
                out.flush();
                out.write(question, 5, question.length - 5);
                out.flush();
            }
            DataInputStream in = new DataInputStream(socket.getInputStream());
            for (int i = 0; i < 5; i++) {
                byte[] answer = new byte[in.readUnsignedShort()];
                in.readFully(answer);
                assertTrue(asked.remove(DnsCodec.messageId(answer)));
                assertEquals(Rcode.NOERROR, DnsCodec.decode(answer).getRcode());
            }
        }
    }

    @Test
    void closedTcpConnectionEndsItsOpenCalls() throws Exception {
        peers.calculators().forEach(c -> c.pause());
        try (Socket socket =
                new Socket(front.enumAddress().getAddress(), front.enumAddress().getPort())) {
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            byte[] question = question(number(0, 1));
            out.writeShort(question.length);
            out.write(question);
            out.flush();
            await().atMost(TIMEOUT).until(() -> front.openCalls() == 1);
        }
        await().atMost(TIMEOUT).until(() -> front.openCalls() == 0);
    }

    /** Random bytes on every socket of the front: it continues to answer. */
    @Test
    void frontSurvivesRandomBytesOnEverySocket() throws Exception {
        Random random = new Random(4);
        try (DatagramSocket socket = new DatagramSocket()) {
            for (int i = 0; i < 500; i++) {
                byte[] bytes = new byte[random.nextInt(200)];
                random.nextBytes(bytes);
                socket.send(new DatagramPacket(bytes, bytes.length, front.enumAddress()));
            }
        }
        for (int i = 0; i < 20; i++) {
            try (Socket socket = new Socket(
                    front.enumAddress().getAddress(), front.enumAddress().getPort())) {
                byte[] bytes = new byte[300];
                random.nextBytes(bytes);
                socket.getOutputStream().write(bytes);
            }
        }
        byte[] badVersion = M3uaMessage.of(M3uaMessage.Kind.NTFY).encode();
        badVersion[3] = 9;
        peers.calculators().get(0).sendRaw(badVersion);
        assertNotEquals("", call(0, 1));
        byte[] huge = {1, 0, 1, 1, (byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0xff, 9, 9};
        peers.calculators().forEach(c -> c.sendRaw(huge));
        byte[] noise = new byte[4_000];
        random.nextBytes(noise);
        peers.calculators().get(1).sendRaw(noise);
        peers.authorities().forEach(a -> a.setResponseMode(DnsAuthority.ResponseMode.MALFORMED));
        assertEquals("SERVFAIL", call(0, 9));
        peers.authorities().forEach(a -> a.setResponseMode(DnsAuthority.ResponseMode.NORMAL));
        // Links that have lost their framing were closed and are re-established.
        await().atMost(TIMEOUT).until(() -> call(0, 10 + nextId).startsWith("calc-"));
    }

    @Test
    void drainingServerGetsNoMoreCalls() throws Exception {
        assertEquals("calc-00.example.org", call(0, 1));
        peers.directory().updateDelayed(peers.directoryEntry(0), State.DRAINING, false);
        await().atMost(TIMEOUT).until(() -> !call(0, 10 + nextId).equals("calc-00.example.org"));
        for (int i = 0; i < 5; i++) {
            assertNotEquals("calc-00.example.org", call(0, 100 + i));
        }
    }

    @Test
    void unavailableDestinationGetsNoCallsUntilItIsAvailable() throws Exception {
        assertEquals("calc-00.example.org", call(0, 1));
        peers.calculators().get(0).sendDestinationState(M3uaMessage.Kind.DUNA, 0);
        await().atMost(TIMEOUT).until(() -> !call(0, 10 + nextId).equals("calc-00.example.org"));
        peers.calculators().get(0).sendDestinationState(M3uaMessage.Kind.SCON, 2);
        peers.calculators().get(0).sendDestinationState(M3uaMessage.Kind.DAVA, 0);
        await().atMost(TIMEOUT).until(() -> call(0, 50 + nextId).equals("calc-00.example.org"));
    }

    @Test
    void serverListSurvivesDirectoryCrashAndFollowsTheRestartedOne() throws Exception {
        peers.directory().crash();
        assertEquals("calc-00.example.org", call(0, 1));
        peers.directory().start(null);
        peers.directory().updateNow(peers.directoryEntry(0), State.GONE);
        await().atMost(TIMEOUT).until(() -> !call(0, 10 + nextId).equals("calc-00.example.org"));
    }

    @Test
    void crashedCalculatorIsAvoidedAndUsedAgainAfterItsRestart() throws Exception {
        assertEquals("calc-00.example.org", call(0, 1));
        peers.calculators().get(0).crash();
        List<String> results = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            results.add(call(0, 10 + i));
        }
        assertTrue(results.stream().noneMatch("calc-00.example.org"::equals), results.toString());
        assertTrue(results.stream().filter(p -> p.startsWith("calc-")).count() >= 4, results.toString());
        peers.calculators().get(0).start(null, true);
        await().atMost(TIMEOUT).until(() -> call(0, 50 + nextId).equals("calc-00.example.org"));
    }

    @Test
    void callIsEstablishedWhileAuthoritiesFailInTurn() throws Exception {
        peers.authorities().get(0).setResponseMode(DnsAuthority.ResponseMode.LAME);
        peers.authorities().get(1).setResponseMode(DnsAuthority.ResponseMode.TRUNCATED);
        assertEquals("calc-01.example.org", call(1, 21));
        peers.authorities().get(0).setResponseMode(DnsAuthority.ResponseMode.SILENT);
        peers.authorities().get(1).setResponseMode(DnsAuthority.ResponseMode.FORGED);
        assertEquals("calc-01.example.org", call(1, 22));
    }

    @Test
    void drainAnswersOpenCallsBeforeItReturns() throws Exception {
        peers.calculators().forEach(c -> c.setSlowdown(10));
        try (DatagramSocket socket = new DatagramSocket()) {
            socket.setSoTimeout(10_000);
            byte[] question = question(number(0, 1));
            socket.send(new DatagramPacket(question, question.length, front.enumAddress()));
            await().atMost(TIMEOUT).until(() -> front.openCalls() == 1);
            front.drain();
            assertEquals(
                    DnsCodec.messageId(question), receive(socket).getHeader().getID());
        }
    }
}
