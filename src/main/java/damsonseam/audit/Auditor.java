package damsonseam.audit;

import com.google.protobuf.InvalidProtocolBufferException;
import damsonseam.directory.wire.Entry;
import damsonseam.directory.wire.State;
import damsonseam.directory.wire.Update;
import damsonseam.dns.DnsCodec;
import damsonseam.dns.DnsFormatException;
import damsonseam.dns.E164Name;
import damsonseam.ss7.CalledPartyNumber;
import damsonseam.ss7.IsupMessage;
import damsonseam.ss7.IsupMessages;
import damsonseam.ss7.M3uaMessage;
import damsonseam.ss7.ProtocolData;
import damsonseam.ss7.SignallingProtocolException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Section;

/**
 * Checks the five rules from what passed the sockets, given in order of time. Attempts are told from the
 * set-ups that calculators got, calls from the questions that callers sent: no id of the front's own is used.
 */
public final class Auditor {
    /** Rule 1's slack, and the allowance for one end of a socket seeing a message later than the other. */
    private static final long SLACK_US = 20_000;
    /** Time in which a front that stood still must have answered what ran out in the meantime. */
    private static final long BACKLOG_US = 100_000;

    private static final long US_PER_MS = 1_000;
    private static final long NONE_US = 3_600_000_000L;
    private static final int MOST_FINDINGS = 100;

    private final RunParameters world;
    private final Name suffix;
    private final Map<String, String> frontByPort = new HashMap<>();
    private final Map<Integer, String> calculatorByCode = new HashMap<>();
    private final Map<String, Try> tries = new HashMap<>();
    /** The last try of a number at a front: what a set-up for it belongs to. */
    private final Map<String, Try> byNumber = new HashMap<>();

    private final Map<String, Attempt> byCircuit = new HashMap<>();
    /** When each front was made to stand still, from and until, in order. */
    private final Map<String, List<long[]>> stalls = new HashMap<>();

    private final Map<String, Long> killedAt = new HashMap<>();
    /** When a front was told that a server drains or is gone; absent while it was last told running. */
    private final Map<String, Map<String, Long>> closedFor = new HashMap<>();

    private final Map<String, Set<String>> listed = new HashMap<>();
    private final ColdStarts colds;
    private final List<Finding> findings = new ArrayList<>();
    private final TreeMap<Integer, Long> perRule = new TreeMap<>();
    private long calls;
    private long notTaken;
    private long overtaken;
    private long resolved;
    private long stood;
    private long refused;
    private long failed;
    private long setUps;
    private long leastAnswerLeftUs = NONE_US;
    private long leastGuardLeftUs = NONE_US;

    /** One question of a caller and its answer. */
    private static final class Try {
        final String front;
        final String number;
        final long askedUs;
        long givesUpUs;
        byte[] answer;
        long answeredUs = -1;
        boolean stands;
        Attempt out;
        long badEndUs = Long.MIN_VALUE / 2;

        Try(String front, String number, long askedUs) {
            this.front = front;
            this.number = number;
            this.askedUs = askedUs;
        }
    }

    /** One set-up. */
    private static final class Attempt {
        final Try of;
        final String server;

        Attempt(Try of, String server) {
            this.of = of;
            this.server = server;
        }
    }

    /** An auditor of a run in this world. */
    public Auditor(RunParameters world) {
        this.world = world;
        suffix = E164Name.parseSuffix(world.suffix());
        world.fronts().forEach(f -> frontByPort.put("front:" + f.port(), f.name()));
        world.calculators().forEach(c -> calculatorByCode.put(c.pointCode(), c.id()));
        colds = new ColdStarts(world);
    }

    /** The next line, not earlier than the one before. */
    public void accept(WireLog.Line line) {
        switch (line.proto()) {
            case WireLog.DNS -> dns(line);
            case WireLog.M3UA -> m3ua(line);
            case WireLog.CLOSED -> closed(line);
            case WireLog.DIRECTORY -> directory(line);
            case WireLog.STARTED -> colds.started(line.to(), line.timeUs());
            case WireLog.PAUSED -> stall(line);
            case WireLog.KILLED -> killedAt.put(line.to(), line.timeUs());
            default -> {}
        }
    }

    private void broken(int rule, long timeUs, String front, String what) {
        perRule.merge(rule, 1L, Long::sum);
        if (findings.size() < MOST_FINDINGS) {
            findings.add(new Finding(rule, timeUs, front, what));
        }
    }

    // ---- Stalls -----------------------------------------------------------------------------------------

    private void stall(WireLog.Line line) {
        long length = Long.parseLong(new String(line.payload(), java.nio.charset.StandardCharsets.US_ASCII));
        List<long[]> all = stalls.computeIfAbsent(line.to(), f -> new ArrayList<>());
        long from = line.timeUs();
        // One that begins while another lasts waits for it: the loop sleeps them one after the other.
        long start = all.isEmpty() ? from : Math.max(from, all.get(all.size() - 1)[1]);
        all.add(new long[] {from, start + length * US_PER_MS});
    }

    /** When a front that may stand still can have read something that came at this time. */
    private long readAt(String front, long timeUs) {
        List<long[]> all = stalls.getOrDefault(front, List.of());
        long readUs = timeUs;
        for (int i = 0; i < all.size() && all.get(i)[0] - SLACK_US <= readUs; i++) {
            readUs = readUs < all.get(i)[1] ? all.get(i)[1] : readUs;
        }
        return readUs;
    }

    // ---- Callers ----------------------------------------------------------------------------------------

    private void dns(WireLog.Line line) {
        Message message;
        try {
            message = DnsCodec.decode(line.payload());
        } catch (DnsFormatException e) {
            return;
        }
        if (message.getQuestion() == null) {
            return;
        }
        String number = E164Name.toNumber(message.getQuestion().getName(), suffix);
        boolean question = !DnsCodec.isResponse(line.payload());
        String front = frontByPort.get(question ? line.to() : line.from());
        if (number == null || front == null) {
            return;
        }
        String caller = question ? line.from() : line.to();
        String key = caller + " " + front + " " + message.getHeader().getID() + " " + number;
        if (question) {
            asked(line.timeUs(), key, front, number);
        } else {
            answered(line, key, message);
        }
    }

    private void asked(long at, String key, String front, String number) {
        Try known = tries.get(key);
        if (known != null && at <= known.givesUpUs + SLACK_US) {
            return;
        }
        Try next = new Try(front, number, at);
        next.givesUpUs = at + (long) (patience(number) * US_PER_MS);
        if (known != null) {
            close(known);
        }
        tries.put(key, next);
        byNumber.put(front + " " + number, next);
    }

    private double patience(String number) {
        return world.numbers().stream()
                .filter(n -> number.startsWith(n.prefix()))
                .mapToDouble(RunParameters.NumberRange::patienceMs)
                .findFirst()
                .orElse(Double.MAX_VALUE / US_PER_MS);
    }

    private void answered(WireLog.Line line, String key, Message message) {
        Try of = tries.get(key);
        if (of == null) {
            broken(1, line.timeUs(), line.from(), "an answer to a question that was not asked: " + key);
            return;
        }
        if (of.answer != null) {
            if (!java.util.Arrays.equals(of.answer, line.payload())) {
                broken(1, line.timeUs(), of.front, "a second, other answer for " + of.number);
            }
            return;
        }
        of.answer = line.payload();
        of.answeredUs = line.timeUs();
        resolved++;
        int rcode = message.getRcode();
        if (rcode == Rcode.NOERROR && !message.getSection(Section.ANSWER).isEmpty()) {
            stood++;
            of.stands = true;
        } else if (rcode == Rcode.REFUSED) {
            refused++;
        } else {
            failed++;
        }
    }

    /** The end of a try: whether it was answered once and in time. */
    private void close(Try of) {
        long takenUs = readAt(of.front, of.askedUs);
        Long killed = killedAt.get(of.front);
        boolean dead = killed != null && killed >= of.askedUs - SLACK_US && killed <= of.givesUpUs;
        boolean taken = takenUs + SLACK_US < of.givesUpUs && !dead;
        if (of.answer == null && !taken) {
            notTaken++;
            return;
        }
        calls++;
        // A front that stands still while the time runs out answers when it runs again, and never with a set-up.
        long dueUs = readAt(of.front, of.givesUpUs);
        if (of.answer != null && dueUs == of.givesUpUs) {
            leastAnswerLeftUs = Math.min(leastAnswerLeftUs, of.givesUpUs - of.answeredUs);
        }
        boolean late = of.answer != null && of.answeredUs > of.givesUpUs + SLACK_US;
        if (dueUs > of.givesUpUs && late && !of.stands && of.answeredUs <= dueUs + BACKLOG_US) {
            overtaken++;
        } else if (of.answer == null) {
            broken(1, of.givesUpUs, of.front, "no answer for " + of.number);
        } else if (late) {
            broken(
                    1,
                    of.answeredUs,
                    of.front,
                    "answered " + (of.answeredUs - of.givesUpUs) / US_PER_MS + " ms after the caller of " + of.number
                            + " gave up");
        }
    }

    // ---- Signalling -------------------------------------------------------------------------------------

    private void m3ua(WireLog.Line line) {
        try {
            M3uaMessage message = M3uaMessage.decode(line.payload());
            if (message.kind() == M3uaMessage.Kind.DATA) {
                ProtocolData data = ProtocolData.from(message);
                String server = calculatorByCode.get(data.dpc());
                boolean toServer = server != null;
                server = toServer ? server : calculatorByCode.get(data.opc());
                String front = "front-" + (toServer ? data.opc() : data.dpc());
                if (server != null) {
                    isup(line.timeUs(), front, server, toServer, IsupMessage.decode(data.isup()));
                }
            }
        } catch (SignallingProtocolException e) {
            // Frames that can't be read set nothing up.
        }
    }

    private void isup(long at, String front, String server, boolean toServer, IsupMessage message)
            throws SignallingProtocolException {
        String circuit = front + " " + server + " " + message.circuit();
        Attempt attempt = byCircuit.get(circuit);
        switch (message.type()) {
            case IAM -> {
                if (toServer) {
                    setUp(
                            at,
                            front,
                            server,
                            circuit,
                            CalledPartyNumber.decode(message.parameterValue(IsupMessage.CALLED_PARTY_NUMBER)));
                }
            }
            case ANM, CON -> end(attempt, circuit, at, false);
            // Our own release of an attempt that was not answered: given up or called off.
            case REL ->
                end(attempt, circuit, at, toServer || IsupMessages.cause(message) == IsupMessage.TEMPORARY_FAILURE);
            case RLC, RSC -> end(attempt, circuit, at, true);
            default -> {}
        }
    }

    private void end(Attempt attempt, String circuit, long at, boolean badly) {
        if (attempt != null && byCircuit.remove(circuit) != null && attempt.of != null) {
            attempt.of.out = attempt.of.out == attempt ? null : attempt.of.out;
            if (badly) {
                attempt.of.badEndUs = at;
            }
        }
    }

    private void setUp(long at, String front, String server, String circuit, String number) {
        setUps++;
        colds.setUp(server, front, at);
        Try of = byNumber.get(front + " " + number);
        Long closedUs = closedFor.getOrDefault(front, Map.of()).get(server);
        if (closedUs != null && at > closedUs + (long) (world.drainGraceMs() * US_PER_MS) + SLACK_US) {
            broken(
                    3,
                    at,
                    front,
                    "set-up for " + number + " to " + server + " " + (at - closedUs) / US_PER_MS
                            + " ms after the front was told that it drains or is gone");
        }
        if (of == null) {
            broken(1, at, front, "set-up for " + number + ", which nobody asked for");
            return;
        }
        if (of.out != null) {
            broken(2, at, front, "set-up for " + number + " to " + server + " while one is out at " + of.out.server);
        }
        leastGuardLeftUs = Math.min(leastGuardLeftUs, at - of.badEndUs - (long) (world.guardMs() * US_PER_MS));
        if (at - of.badEndUs < (long) (world.guardMs() * US_PER_MS)) {
            broken(
                    5,
                    at,
                    front,
                    "set-up for " + number + " " + (at - of.badEndUs) / US_PER_MS
                            + " ms after an attempt that was given up or cut");
        }
        if (of.answer != null && at > of.answeredUs + SLACK_US) {
            broken(1, at, front, "set-up for " + number + " after its final answer");
        }
        of.out = new Attempt(of, server);
        byCircuit.put(circuit, of.out);
    }

    /** A connection between a front and a calculator is gone, and all attempts on it with it. */
    private void closed(WireLog.Line line) {
        String prefix = line.from() + " " + line.to() + " ";
        for (String circuit :
                byCircuit.keySet().stream().filter(c -> c.startsWith(prefix)).toList()) {
            end(byCircuit.get(circuit), circuit, line.timeUs(), true);
        }
    }

    // ---- Directory --------------------------------------------------------------------------------------

    private void directory(WireLog.Line line) {
        Update update;
        try {
            update = Update.parseFrom(line.payload());
        } catch (InvalidProtocolBufferException e) {
            return;
        }
        String front = line.to();
        Map<String, Long> closed = closedFor.computeIfAbsent(front, f -> new HashMap<>());
        Set<String> known = listed.computeIfAbsent(front, f -> new HashSet<>());
        long toldUs = readAt(front, line.timeUs());
        Set<String> named = new HashSet<>();
        for (Entry entry : update.getEntriesList()) {
            named.add(entry.getServer());
            known.add(entry.getServer());
            if (entry.getState() == State.RUNNING) {
                closed.remove(entry.getServer());
                if (entry.hasAgeMs()) {
                    colds.told(entry.getServer(), front, toldUs - entry.getAgeMs() * US_PER_MS);
                }
            } else {
                closed.putIfAbsent(entry.getServer(), toldUs);
            }
        }
        if (update.getFull()) {
            known.stream().filter(s -> !named.contains(s)).forEach(s -> closed.putIfAbsent(s, toldUs));
        }
    }

    /** Closes the books at the end of the run. */
    public AuditReport finish() {
        tries.values().forEach(this::close);
        colds.findings().forEach(f -> broken(4, f.timeUs(), f.front(), f.what()));
        long violations = perRule.values().stream().mapToLong(Long::longValue).sum();
        Map<Integer, Long> all = new TreeMap<>();
        for (int rule = 1; rule <= 5; rule++) {
            all.put(rule, perRule.getOrDefault(rule, 0L));
        }
        return new AuditReport(
                calls,
                notTaken,
                overtaken,
                resolved,
                stood,
                refused,
                failed,
                setUps,
                violations,
                all,
                findings,
                leastAnswerLeftUs / (double) US_PER_MS,
                leastGuardLeftUs / (double) US_PER_MS);
    }
}
