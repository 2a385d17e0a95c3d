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

/** What passed the sockets for one number, told in words: what a finding of the auditor is about. */
public final class CallTrace {
    private static final Pattern NUMBER = Pattern.compile("\\b\\d{8,20}\\b");
    private static final int MOST_LINES = 200;

    private final String number;
    private final List<String> told = new ArrayList<>();
    /** Circuits that carry a call of the number now: front, calculator and circuit. */
    private final Set<String> circuits = new HashSet<>();

    private CallTrace(String number) {
        this.number = number;
    }

    /** The story of the number that a finding names, from the folder of its run; empty if it names none. */
    public static List<String> forFinding(Path folder, Finding finding) throws IOException {
        Matcher named = NUMBER.matcher(finding.what());
        if (!named.find()) {
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
        CallTrace story = new CallTrace(named.group());
        for (WireLog.Line line : lines) {
            if (story.told.size() < MOST_LINES) {
                story.line(line);
            }
        }
        return story.told;
    }

    private void line(WireLog.Line line) {
        try {
            switch (line.proto()) {
                case WireLog.DNS -> dns(line, DnsCodec.decode(line.payload()));
                case WireLog.M3UA -> signal(line, M3uaMessage.decode(line.payload()));
                default ->
                    tell(
                            line,
                            "stands still for " + new String(line.payload(), java.nio.charset.StandardCharsets.US_ASCII)
                                    + " ms");
            }
        } catch (DnsFormatException | SignallingProtocolException e) {
            // What can't be read is no part of a call's story.
        }
    }

    private void dns(WireLog.Line line, Message message) {
        if (message.getQuestion() == null) {
            return;
        }
        StringBuilder digits = new StringBuilder();
        for (int i = message.getQuestion().getName().labels() - 1; i >= 0; i--) {
            String label = message.getQuestion().getName().getLabelString(i);
            digits.append(label.length() == 1 ? label : "");
        }
        if (digits.toString().equals(number)) {
            boolean answer = DnsCodec.isResponse(line.payload());
            boolean stands = answer && !message.getSection(Section.ANSWER).isEmpty();
            tell(
                    line,
                    stands
                            ? "answer stands"
                            : answer
                                    ? "answer " + Rcode.string(message.getRcode())
                                    : "question " + message.getHeader().getID());
        }
    }

    private void signal(WireLog.Line line, M3uaMessage frame) throws SignallingProtocolException {
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
            tell(
                    line,
                    message.type()
                            + (message.type() == IsupMessage.Type.REL ? " cause " + IsupMessages.cause(message) : "")
                            + " on circuit " + message.circuit());
        }
    }

    private void tell(WireLog.Line line, String what) {
        told.add(String.format(Locale.ROOT, "%.6f s %s > %s: %s", line.timeUs() / 1e6, line.from(), line.to(), what));
    }
}
