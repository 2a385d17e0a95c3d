package damsonseam.audit;

import damsonseam.dns.DnsCodec;
import damsonseam.dns.DnsFormatException;
import damsonseam.ss7.CalledPartyNumber;
import damsonseam.ss7.IsupMessage;
import damsonseam.ss7.IsupMessages;
import damsonseam.ss7.M3uaMessage;
import damsonseam.ss7.ProtocolData;
import damsonseam.ss7.SignallingProtocolException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.xbill.DNS.Message;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Section;

/**
 * Lists the messages that were recorded at the sockets for one called number, as readable lines, to explain a finding
 * of the auditor. The number of lines of a trace is bounded.
 */
public final class CallTrace {
    private static final Pattern NUMBER = Pattern.compile("\\b\\d{8,20}\\b");
    private static final int MAX_LINES = 200;

    private final String number;
    private final List<String> entries = new ArrayList<>();
    /** Circuits currently used by a call to the number, as both parties and the circuit number. */
    private final Set<String> circuits = new HashSet<>();

    private CallTrace(String number) {
        this.number = number;
    }

    /**
     * Returns the trace of the number named in a finding, from the folder of its run; empty if the finding names no
     * number.
     */
    public static List<String> forFinding(Path folder, Finding finding) throws IOException {
        Matcher numberMatcher = NUMBER.matcher(finding.what());
        if (!numberMatcher.find()) {
            return List.of();
        }
        List<WireLog.Line> lines = new ArrayList<>();
        try (Stream<Path> files = Files.list(folder.resolve("wire"))) {
            for (Path file :
                    files.filter(f -> f.toString().endsWith(".jsonl")).sorted().toList()) {
                WireLog.read(file, line -> {
                    if (line.proto().equals(WireLog.DNS)
                            || line.proto().equals(WireLog.M3UA)
                            || line.proto().equals(WireLog.PAUSED) && line.to().equals(finding.front())) {
                        lines.add(line);
                    }
                });
            }
        }
        lines.sort(Comparator.comparingLong(WireLog.Line::timeUs));
        CallTrace trace = new CallTrace(numberMatcher.group());
        for (WireLog.Line line : lines) {
            if (trace.entries.size() < MAX_LINES) {
                trace.accept(line);
            }
        }
        return trace.entries;
    }

    private void accept(WireLog.Line line) {
        try {
            switch (line.proto()) {
                case WireLog.DNS -> onDns(line, DnsCodec.decode(line.payload()));
                case WireLog.M3UA -> onM3ua(line, M3uaMessage.decode(line.payload()));
                default ->
                    append(
                            line,
                            "paused for " + new String(line.payload(), java.nio.charset.StandardCharsets.US_ASCII)
                                    + " ms");
            }
        } catch (DnsFormatException | SignallingProtocolException e) {
            // Malformed messages are not part of a call's trace.
        }
    }

    private void onDns(WireLog.Line line, Message message) {
        if (message.getQuestion() == null) {
            return;
        }
        StringBuilder digits = new StringBuilder();
        for (int i = message.getQuestion().getName().labels() - 1; i >= 0; i--) {
            String label = message.getQuestion().getName().getLabelString(i);
            digits.append(label.length() == 1 ? label : "");
        }
        if (digits.toString().equals(number)) {
            boolean isAnswer = DnsCodec.isResponse(line.payload());
            boolean established =
                    isAnswer && !message.getSection(Section.ANSWER).isEmpty();
            append(
                    line,
                    established
                            ? "answer established"
                            : isAnswer
                                    ? "answer " + Rcode.string(message.getRcode())
                                    : "question " + message.getHeader().getID());
        }
    }

    private void onM3ua(WireLog.Line line, M3uaMessage frame) throws SignallingProtocolException {
        if (frame.kind() != M3uaMessage.Kind.DATA) {
            return;
        }
        IsupMessage message = IsupMessage.decode(ProtocolData.from(frame).isup());
        String circuit = line.from().compareTo(line.to()) < 0
                ? line.from() + " " + line.to() + " " + message.circuit()
                : line.to() + " " + line.from() + " " + message.circuit();
        if (message.type() == IsupMessage.Type.IAM) {
            if (CalledPartyNumber.decode(message.parameterValue(IsupMessage.CALLED_PARTY_NUMBER))
                    .equals(number)) {
                circuits.add(circuit);
            } else {
                circuits.remove(circuit);
            }
        }
        if (circuits.contains(circuit)) {
            append(
                    line,
                    message.type()
                            + (message.type() == IsupMessage.Type.REL ? " cause " + IsupMessages.cause(message) : "")
                            + " on circuit " + message.circuit());
        }
    }

    private void append(WireLog.Line line, String event) {
        entries.add(
                String.format(Locale.ROOT, "%.6f s %s > %s: %s", line.timeUs() / 1e6, line.from(), line.to(), event));
    }
}
