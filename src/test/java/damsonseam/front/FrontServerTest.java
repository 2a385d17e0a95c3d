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
import damsonseam.standin.Surroundings;
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

/** A real front on loopback sockets with its stand-ins. */
class FrontServerTest {
    private static final Duration LONG = Duration.ofSeconds(20);
    private Surroundings around;
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
        around = new Surroundings(scenario, null);
        front = FrontServer.start(around.frontSettings(0, new Endpoint("127.0.0.1", 0)), true);
        assertTrue(front.awaitReady(20_000));
    }

    @AfterEach
    void stop() {
        front.close();
        around.close();
    }

    private static String number(int first, int n) {
        return String.format("59821%02d%07d", first, n);
    }

    private byte[] question(String number) {
        Message query = new Message(nextId++);
        query.addRecord(
                Record.newRecord(
                        E164Name.toName(number, E164Name.parseSuffix(Surroundings.SUFFIX)), Type.NAPTR, DClass.IN),
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

    /** The server at which a call stood, or its rcode. */
    private static String place(Message answer, String number) {
        List<NAPTRRecord> rules = answer.getSection(Section.ANSWER).stream()
                .map(r -> (NAPTRRecord) r)
                .toList();
        return rules.isEmpty()
                ? Rcode.string(answer.getRcode())
                : NaptrRules.serverHosts(number, rules).get(0);
    }

    private String call(int first, int n) throws Exception {
        return place(ask(question(number(first, n))), number(first, n));
    }

    @Test
    void aCallStandsAtItsFirstChoice() throws Exception {
        assertEquals("calc-01.example.org", call(1, 1));
        assertEquals("calc-02.example.org", call(2, 2));
        assertEquals("NXDOMAIN", call(77, 3));
    }

    @Test
    void severalQuestionsOnOneTcpConnectionAreAnsweredEach() throws Exception {
        try (Socket socket =
                new Socket(front.enumAddress().getAddress(), front.enumAddress().getPort())) {
            socket.setSoTimeout(10_000);
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            Set<Integer> asked = new HashSet<>();
            for (int i = 0; i < 5; i++) {
                byte[] question = question(number(i % 3, i));
                asked.add(DnsCodec.messageId(question));
                out.writeShort(question.length);
                // Half a frame now, the rest in a later segment.
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
    void aClosedTcpConnectionTakesItsCallsAlong() throws Exception {
        around.calculators().forEach(c -> c.freeze());
        try (Socket socket =
                new Socket(front.enumAddress().getAddress(), front.enumAddress().getPort())) {
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            byte[] question = question(number(0, 1));
            out.writeShort(question.length);
            out.write(question);
            out.flush();
            await().atMost(LONG).until(() -> front.openCalls() == 1);
        }
        await().atMost(LONG).until(() -> front.openCalls() == 0);
    }

    /** Random octets on every socket of the front: it goes on answering. */
    @Test
    void randomOctetsOnEverySocketAreBorne() throws Exception {
        Random random = new Random(4);
        try (DatagramSocket socket = new DatagramSocket()) {
            for (int i = 0; i < 500; i++) {
                byte[] octets = new byte[random.nextInt(200)];
                random.nextBytes(octets);
                socket.send(new DatagramPacket(octets, octets.length, front.enumAddress()));
            }
        }
        for (int i = 0; i < 20; i++) {
            try (Socket socket = new Socket(
                    front.enumAddress().getAddress(), front.enumAddress().getPort())) {
                byte[] octets = new byte[300];
                random.nextBytes(octets);
                socket.getOutputStream().write(octets);
            }
        }
        byte[] sound = M3uaMessage.of(M3uaMessage.Kind.NTFY).encode();
        sound[3] = 9;
        around.calculators().get(0).sendRaw(sound);
        assertNotEquals("", call(0, 1));
        byte[] huge = {1, 0, 1, 1, (byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0xff, 9, 9};
        around.calculators().forEach(c -> c.sendRaw(huge));
        byte[] noise = new byte[4_000];
        random.nextBytes(noise);
        around.calculators().get(1).sendRaw(noise);
        around.authorities().forEach(a -> a.mood(DnsAuthority.Mood.GARBAGE));
        assertEquals("SERVFAIL", call(0, 9));
        around.authorities().forEach(a -> a.mood(DnsAuthority.Mood.WELL));
        // The links whose frames could not be told apart any more were closed and are made again.
        await().atMost(LONG).until(() -> call(0, 10 + nextId).startsWith("calc-"));
    }

    @Test
    void drainNewsOfTheDirectoryIsFollowed() throws Exception {
        assertEquals("calc-00.example.org", call(0, 1));
        around.directory().set(around.listed(0), State.DRAINING, false);
        await().atMost(LONG).until(() -> !call(0, 10 + nextId).equals("calc-00.example.org"));
        for (int i = 0; i < 5; i++) {
            assertNotEquals("calc-00.example.org", call(0, 100 + i));
        }
    }

    @Test
    void aDestinationToldUnavailableIsLeftUntilItIsToldAvailable() throws Exception {
        assertEquals("calc-00.example.org", call(0, 1));
        around.calculators().get(0).tell(M3uaMessage.Kind.DUNA, 0);
        await().atMost(LONG).until(() -> !call(0, 10 + nextId).equals("calc-00.example.org"));
        around.calculators().get(0).tell(M3uaMessage.Kind.SCON, 2);
        around.calculators().get(0).tell(M3uaMessage.Kind.DAVA, 0);
        await().atMost(LONG).until(() -> call(0, 50 + nextId).equals("calc-00.example.org"));
    }

    @Test
    void aDeadDirectoryLeavesTheListAndALaterOneIsFollowedAgain() throws Exception {
        around.directory().crash();
        assertEquals("calc-00.example.org", call(0, 1));
        around.directory().start(null);
        around.directory().setNow(around.listed(0), State.GONE);
        await().atMost(LONG).until(() -> !call(0, 10 + nextId).equals("calc-00.example.org"));
    }

    @Test
    void aCrashedCalculatorIsLeftAndFoundAgain() throws Exception {
        assertEquals("calc-00.example.org", call(0, 1));
        around.calculators().get(0).crash();
        List<String> places = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            places.add(call(0, 10 + i));
        }
        assertTrue(places.stream().noneMatch("calc-00.example.org"::equals), places.toString());
        assertTrue(places.stream().filter(p -> p.startsWith("calc-")).count() >= 4, places.toString());
        around.calculators().get(0).start(null, true);
        await().atMost(LONG).until(() -> call(0, 50 + nextId).equals("calc-00.example.org"));
    }

    @Test
    void authoritiesThatFailInTurnDoNotCostTheCall() throws Exception {
        around.authorities().get(0).mood(DnsAuthority.Mood.LAME);
        around.authorities().get(1).mood(DnsAuthority.Mood.TRUNCATING);
        assertEquals("calc-01.example.org", call(1, 21));
        around.authorities().get(0).mood(DnsAuthority.Mood.SILENT);
        around.authorities().get(1).mood(DnsAuthority.Mood.FORGED);
        assertEquals("calc-01.example.org", call(1, 22));
    }

    @Test
    void drainingAnswersWhatIsOpenAndThenEnds() throws Exception {
        around.calculators().forEach(c -> c.slow(10));
        try (DatagramSocket socket = new DatagramSocket()) {
            socket.setSoTimeout(10_000);
            byte[] question = question(number(0, 1));
            socket.send(new DatagramPacket(question, question.length, front.enumAddress()));
            await().atMost(LONG).until(() -> front.openCalls() == 1);
            front.drain();
            assertEquals(
                    DnsCodec.messageId(question), receive(socket).getHeader().getID());
        }
    }
}
