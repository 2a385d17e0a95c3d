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
 * Checks the five rules of routing against the messages recorded at the sockets, which must be passed in order of
 * time. Calls are recognised by the DNS queries that callers sent and attempts by the set-ups that calculators
 * received, so that no identifier assigned by a front is trusted. Not thread-safe; memory grows with the number of
 * queries in the logs.
 *
 * <ol>
 *   <li>Every query is answered exactly once, before its caller abandons the call, and no set-up follows the answer.
 *   <li>A call has at most one pending attempt.
 *   <li>No set-up is sent to a server that drains or is gone, apart from a grace period.
 *   <li>A cold server is not overloaded by the fronts; see {@link ColdStartCheck}.
 *   <li>After an unsuccessful attempt, the next set-up of the call waits for the guard time.
 * </ol>
 */
public final class Auditor {
    /** Tolerance of rule 1, and of the two ends of a socket recording the same message at different times. */
    private static final long TIMING_TOLERANCE_US = 20_000;
    /** Time after a pause within which a front must have answered the queries that expired during the pause. */
    private static final long BACKLOG_GRACE_US = 100_000;

    private static final long US_PER_MS = 1_000;
    /** Initial value of the minima, 1 hour; reported unless a smaller value is found. */
    private static final long NO_MINIMUM_US = 3_600_000_000L;

    private static final int MAX_FINDINGS = 100;

    private final RunParameters parameters;
    private final Name suffix;
    private final Map<String, String> frontByPort = new HashMap<>();
    private final Map<Integer, String> calculatorByPointCode = new HashMap<>();
    private final Map<String, Query> queries = new HashMap<>();
    /** The latest query for each front and number; a set-up for the number belongs to it. */
    private final Map<String, Query> latestQueryByNumber = new HashMap<>();

    private final Map<String, Attempt> attemptByCircuit = new HashMap<>();
    /** Start and end of each injected pause of a front, in microseconds, in order. */
    private final Map<String, List<long[]>> pausesByFront = new HashMap<>();

    private final Map<String, Long> killedAtUs = new HashMap<>();
    /** Time at which each front was notified that a server drains or is gone; absent while the server is running. */
    private final Map<String, Map<String, Long>> unavailableSinceUs = new HashMap<>();

    private final Map<String, Set<String>> knownServers = new HashMap<>();
    private final ColdStartCheck coldStartCheck;
    private final List<Finding> findings = new ArrayList<>();
    private final TreeMap<Integer, Long> perRule = new TreeMap<>();
    private long calls;
    private long notTaken;
    private long overtaken;
    private long resolved;
    private long established;
    private long refused;
    private long failed;
    private long setUps;
    private long minAnswerTimeLeftUs = NO_MINIMUM_US;
    private long minGuardTimeLeftUs = NO_MINIMUM_US;

    /** A query of a caller, its answer, and the state of the attempts that were made for it. */
    private static final class Query {
        final String front;
        final String number;
        final long sentUs;
        long deadlineUs;
        byte[] answer;
        long answeredUs = -1;
        boolean established;
        Attempt pendingAttempt;
        long lastFailureUs = Long.MIN_VALUE / 2;

        Query(String front, String number, long sentUs) {
            this.front = front;
            this.number = number;
            this.sentUs = sentUs;
        }
    }

    /** A set-up that a front sent to a server. */
    private static final class Attempt {
        final Query query;
        final String server;

        Attempt(Query query, String server) {
            this.query = query;
            this.server = server;
        }
    }

    /** Creates an auditor of a run with these parameters. */
    public Auditor(RunParameters parameters) {
        this.parameters = parameters;
        suffix = E164Name.parseSuffix(parameters.suffix());
        parameters.fronts().forEach(f -> frontByPort.put("front:" + f.port(), f.name()));
        parameters.calculators().forEach(c -> calculatorByPointCode.put(c.pointCode(), c.id()));
        coldStartCheck = new ColdStartCheck(parameters);
    }

    /** Processes the next line, which must not be earlier than the one before. */
    public void accept(WireLog.Line line) {
        switch (line.proto()) {
            case WireLog.DNS -> onDns(line);
            case WireLog.M3UA -> onM3ua(line);
            case WireLog.CLOSED -> onConnectionClosed(line);
            case WireLog.DIRECTORY -> onDirectoryUpdate(line);
            case WireLog.STARTED -> coldStartCheck.onStarted(line.to(), line.timeUs());
            case WireLog.PAUSED -> onPause(line);
            case WireLog.KILLED -> killedAtUs.put(line.to(), line.timeUs());
            default -> {}
        }
    }

    private void recordViolation(int rule, long timeUs, String front, String what) {
        perRule.merge(rule, 1L, Long::sum);
        if (findings.size() < MAX_FINDINGS) {
            findings.add(new Finding(rule, timeUs, front, what));
        }
    }

    // ---- Pauses -----------------------------------------------------------------------------------------

    private void onPause(WireLog.Line line) {
        long lengthMs = Long.parseLong(new String(line.payload(), java.nio.charset.StandardCharsets.US_ASCII));
        List<long[]> pauses = pausesByFront.computeIfAbsent(line.to(), f -> new ArrayList<>());
        long fromUs = line.timeUs();
        // The event loop runs pauses one after another: one that begins during another starts when that one ends.
        long startUs = pauses.isEmpty() ? fromUs : Math.max(fromUs, pauses.get(pauses.size() - 1)[1]);
        pauses.add(new long[] {fromUs, startUs + lengthMs * US_PER_MS});
    }

    /** Returns the earliest time at which the front can have read a message that arrived at the given time. */
    private long readTimeUs(String front, long timeUs) {
        List<long[]> pauses = pausesByFront.getOrDefault(front, List.of());
        long readUs = timeUs;
        for (int i = 0; i < pauses.size() && pauses.get(i)[0] - TIMING_TOLERANCE_US <= readUs; i++) {
            readUs = readUs < pauses.get(i)[1] ? pauses.get(i)[1] : readUs;
        }
        return readUs;
    }

    // ---- Callers ----------------------------------------------------------------------------------------

    private void onDns(WireLog.Line line) {
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
        boolean isQuery = !DnsCodec.isResponse(line.payload());
        String front = frontByPort.get(isQuery ? line.to() : line.from());
        if (number == null || front == null) {
            return;
        }
        String caller = isQuery ? line.from() : line.to();
        String key = caller + " " + front + " " + message.getHeader().getID() + " " + number;
        if (isQuery) {
            onQuery(line.timeUs(), key, front, number);
        } else {
            onAnswer(line, key, message);
        }
    }

    private void onQuery(long atUs, String key, String front, String number) {
        Query previous = queries.get(key);
        if (previous != null && atUs <= previous.deadlineUs + TIMING_TOLERANCE_US) {
            return;
        }
        Query query = new Query(front, number, atUs);
        query.deadlineUs = atUs + (long) (patienceMs(number) * US_PER_MS);
        if (previous != null) {
            closeQuery(previous);
        }
        queries.put(key, query);
        latestQueryByNumber.put(front + " " + number, query);
    }

    private double patienceMs(String number) {
        return parameters.numbers().stream()
                .filter(n -> number.startsWith(n.prefix()))
                .mapToDouble(RunParameters.NumberRange::patienceMs)
                .findFirst()
                .orElse(Double.MAX_VALUE / US_PER_MS);
    }

    private void onAnswer(WireLog.Line line, String key, Message message) {
        Query query = queries.get(key);
        if (query == null) {
            recordViolation(1, line.timeUs(), line.from(), "answer without a matching query: " + key);
            return;
        }
        if (query.answer != null) {
            if (!java.util.Arrays.equals(query.answer, line.payload())) {
                recordViolation(1, line.timeUs(), query.front, "second, different answer for " + query.number);
            }
            return;
        }
        query.answer = line.payload();
        query.answeredUs = line.timeUs();
        resolved++;
        int rcode = message.getRcode();
        if (rcode == Rcode.NOERROR && !message.getSection(Section.ANSWER).isEmpty()) {
            established++;
            query.established = true;
        } else if (rcode == Rcode.REFUSED) {
            refused++;
        } else {
            failed++;
        }
    }

    /** Closes a query: counts it and checks that it was answered in time. */
    private void closeQuery(Query query) {
        long readUs = readTimeUs(query.front, query.sentUs);
        Long killedUs = killedAtUs.get(query.front);
        boolean wasKilled =
                killedUs != null && killedUs >= query.sentUs - TIMING_TOLERANCE_US && killedUs <= query.deadlineUs;
        boolean wasRead = readUs + TIMING_TOLERANCE_US < query.deadlineUs && !wasKilled;
        if (query.answer == null && !wasRead) {
            notTaken++;
            return;
        }
        calls++;
        // A front that is paused when the deadline passes must answer once it runs again, and must not establish the
        // call.
        long answerDueUs = readTimeUs(query.front, query.deadlineUs);
        if (query.answer != null && answerDueUs == query.deadlineUs) {
            minAnswerTimeLeftUs = Math.min(minAnswerTimeLeftUs, query.deadlineUs - query.answeredUs);
        }
        boolean isLate = query.answer != null && query.answeredUs > query.deadlineUs + TIMING_TOLERANCE_US;
        if (answerDueUs > query.deadlineUs
                && isLate
                && !query.established
                && query.answeredUs <= answerDueUs + BACKLOG_GRACE_US) {
            overtaken++;
        } else if (query.answer == null) {
            recordViolation(1, query.deadlineUs, query.front, "no answer for " + query.number);
        } else if (isLate) {
            recordViolation(
                    1,
                    query.answeredUs,
                    query.front,
                    "answered " + (query.answeredUs - query.deadlineUs) / US_PER_MS + " ms after the caller of "
                            + query.number + " abandoned the call");
        }
    }

    // ---- Signalling -------------------------------------------------------------------------------------

    private void onM3ua(WireLog.Line line) {
        try {
            M3uaMessage message = M3uaMessage.decode(line.payload());
            if (message.kind() == M3uaMessage.Kind.DATA) {
                ProtocolData data = ProtocolData.from(message);
                String server = calculatorByPointCode.get(data.dpc());
                boolean toServer = server != null;
                server = toServer ? server : calculatorByPointCode.get(data.opc());
                String front = "front-" + (toServer ? data.opc() : data.dpc());
                if (server != null) {
                    onIsup(line.timeUs(), front, server, toServer, IsupMessage.decode(data.isup()));
                }
            }
        } catch (SignallingProtocolException e) {
            // A malformed frame cannot set up a call.
        }
    }

    private void onIsup(long atUs, String front, String server, boolean toServer, IsupMessage message)
            throws SignallingProtocolException {
        String circuit = front + " " + server + " " + message.circuit();
        Attempt attempt = attemptByCircuit.get(circuit);
        switch (message.type()) {
            case IAM -> {
                if (toServer) {
                    onSetUp(
                            atUs,
                            front,
                            server,
                            circuit,
                            CalledPartyNumber.decode(message.parameterValue(IsupMessage.CALLED_PARTY_NUMBER)));
                }
            }
            case ANM, CON -> endAttempt(attempt, circuit, atUs, false);
            // A release by the front ends an unanswered attempt: it timed out or was cancelled.
            case REL ->
                endAttempt(
                        attempt,
                        circuit,
                        atUs,
                        toServer || IsupMessages.cause(message) == IsupMessage.TEMPORARY_FAILURE);
            case RLC, RSC -> endAttempt(attempt, circuit, atUs, true);
            default -> {}
        }
    }

    private void endAttempt(Attempt attempt, String circuit, long atUs, boolean unsuccessful) {
        if (attempt != null && attemptByCircuit.remove(circuit) != null && attempt.query != null) {
            attempt.query.pendingAttempt =
                    attempt.query.pendingAttempt == attempt ? null : attempt.query.pendingAttempt;
            if (unsuccessful) {
                attempt.query.lastFailureUs = atUs;
            }
        }
    }

    private void onSetUp(long atUs, String front, String server, String circuit, String number) {
        setUps++;
        coldStartCheck.onSetUp(server, front, atUs);
        Query query = latestQueryByNumber.get(front + " " + number);
        Long unavailableUs = unavailableSinceUs.getOrDefault(front, Map.of()).get(server);
        if (unavailableUs != null
                && atUs > unavailableUs + (long) (parameters.drainGraceMs() * US_PER_MS) + TIMING_TOLERANCE_US) {
            recordViolation(
                    3,
                    atUs,
                    front,
                    "set-up for " + number + " to " + server + " " + (atUs - unavailableUs) / US_PER_MS
                            + " ms after the front was notified that the server drains or is gone");
        }
        if (query == null) {
            recordViolation(1, atUs, front, "set-up for " + number + " without a query");
            return;
        }
        if (query.pendingAttempt != null) {
            recordViolation(
                    2,
                    atUs,
                    front,
                    "set-up for " + number + " to " + server + " while an attempt is pending at "
                            + query.pendingAttempt.server);
        }
        minGuardTimeLeftUs =
                Math.min(minGuardTimeLeftUs, atUs - query.lastFailureUs - (long) (parameters.guardMs() * US_PER_MS));
        if (atUs - query.lastFailureUs < (long) (parameters.guardMs() * US_PER_MS)) {
            recordViolation(
                    5,
                    atUs,
                    front,
                    "set-up for " + number + " " + (atUs - query.lastFailureUs) / US_PER_MS
                            + " ms after an attempt was released or its connection was lost");
        }
        if (query.answer != null && atUs > query.answeredUs + TIMING_TOLERANCE_US) {
            recordViolation(1, atUs, front, "set-up for " + number + " after its final answer");
        }
        query.pendingAttempt = new Attempt(query, server);
        attemptByCircuit.put(circuit, query.pendingAttempt);
    }

    /** Ends all attempts on a signalling connection that was closed. */
    private void onConnectionClosed(WireLog.Line line) {
        String prefix = line.from() + " " + line.to() + " ";
        for (String circuit : attemptByCircuit.keySet().stream()
                .filter(c -> c.startsWith(prefix))
                .toList()) {
            endAttempt(attemptByCircuit.get(circuit), circuit, line.timeUs(), true);
        }
    }

    // ---- Directory --------------------------------------------------------------------------------------

    private void onDirectoryUpdate(WireLog.Line line) {
        Update update;
        try {
            update = Update.parseFrom(line.payload());
        } catch (InvalidProtocolBufferException e) {
            return;
        }
        String front = line.to();
        Map<String, Long> unavailable = unavailableSinceUs.computeIfAbsent(front, f -> new HashMap<>());
        Set<String> known = knownServers.computeIfAbsent(front, f -> new HashSet<>());
        long readUs = readTimeUs(front, line.timeUs());
        Set<String> listed = new HashSet<>();
        for (Entry entry : update.getEntriesList()) {
            listed.add(entry.getServer());
            known.add(entry.getServer());
            if (entry.getState() == State.RUNNING) {
                unavailable.remove(entry.getServer());
                if (entry.hasAgeMs()) {
                    coldStartCheck.onFrontNotified(entry.getServer(), front, readUs - entry.getAgeMs() * US_PER_MS);
                }
            } else {
                unavailable.putIfAbsent(entry.getServer(), readUs);
            }
        }
        if (update.getFull()) {
            known.stream().filter(s -> !listed.contains(s)).forEach(s -> unavailable.putIfAbsent(s, readUs));
        }
    }

    /** Closes the remaining queries at the end of the run and returns the results. */
    public AuditReport finish() {
        queries.values().forEach(this::closeQuery);
        coldStartCheck.findings().forEach(f -> recordViolation(4, f.timeUs(), f.front(), f.what()));
        long violations = perRule.values().stream().mapToLong(Long::longValue).sum();
        Map<Integer, Long> violationsPerRule = new TreeMap<>();
        for (int rule = 1; rule <= 5; rule++) {
            violationsPerRule.put(rule, perRule.getOrDefault(rule, 0L));
        }
        return new AuditReport(
                calls,
                notTaken,
                overtaken,
                resolved,
                established,
                refused,
                failed,
                setUps,
                violations,
                violationsPerRule,
                findings,
                minAnswerTimeLeftUs / (double) US_PER_MS,
                minGuardTimeLeftUs / (double) US_PER_MS);
    }
}
