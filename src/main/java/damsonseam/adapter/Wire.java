package damsonseam.adapter;

import damsonseam.Decide;
import damsonseam.Front;
import damsonseam.Front.Call;
import damsonseam.Front.Ending;
import damsonseam.Front.Reason;
import damsonseam.Front.Report;
import damsonseam.Front.Result;
import damsonseam.Front.ServerEntry;
import damsonseam.Front.State;
import damsonseam.settings.LoadReportParser;
import damsonseam.settings.PlatformSettings;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

/** Reads batches of events, hands each event to its instance, and writes one reply a batch. */
final class Wire {
    private static final int REDIALLED = 2;
    private static final int IN_TRANSIT = 8;
    private static final int NOTE_BITS = 16;
    private static final int NOTE_BEYOND_FULL = 18;

    private record Instance(Front front, LoadReportParser reportFields) {}

    private final BufferedReader in;
    private final Writer out;
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final Map<Integer, List<ServerEntry>> lists = new HashMap<>();
    /** The instances that had an event in this batch, in the order of their first. */
    private final Set<Integer> touched = new LinkedHashSet<>();

    private final StringBuilder reply = new StringBuilder();
    private long lineNumber;
    private double now = Double.NEGATIVE_INFINITY;

    Wire(BufferedReader in, Writer out) {
        this.in = in;
        this.out = out;
    }

    void run() throws IOException {
        for (Line line = next(); line != null; line = next()) {
            if (!line.word("turn").equals("turn")) {
                throw line.wrong("turn");
            }
            double time = line.number("the clock");
            line.end();
            if (time < now) {
                throw line.wrong("a clock that does not run backwards");
            }
            now = time;
            touched.clear();
            batch();
            touched.forEach(number -> settle(instances.get(number)));
            out.append(reply).append("done\n");
            out.flush();
            reply.setLength(0);
        }
    }

    private void settle(Instance instance) {
        if (instance != null) {
            instance.front().settled(now);
        }
    }

    private Line next() throws IOException {
        String text = in.readLine();
        lineNumber++;
        return text == null ? null : new Line(text, lineNumber);
    }

    private Line must(String expected) throws IOException {
        Line line = next();
        if (line == null) {
            throw new WireException("line " + lineNumber + ": expected " + expected + ", found the end of input");
        }
        return line;
    }

    private void batch() throws IOException {
        while (true) {
            Line line = must("an event or flush");
            String word = line.word("an event or flush");
            if (word.equals("flush")) {
                line.end();
                return;
            }
            event(word, line);
        }
    }

    private void event(String word, Line line) throws IOException {
        switch (word) {
            case "boot" -> boot(line);
            case "manifest" -> list(line);
            case "roster_change" -> listChange(line);
            case "order" -> order(line);
            case "streaming" -> {
                Front front = instance(line).front();
                long id = line.whole("the call");
                String server = line.word("the server");
                double delay = line.number("the delay");
                front.stands(now, id, server, line.small("the attempt"), delay);
                line.end();
            }
            case "stop" -> {
                int number = line.small("the instance");
                line.end();
                if (instances.remove(number) == null) {
                    throw line.wrong("a running instance");
                }
            }
            case "gone" -> {
                Front front = instance(line).front();
                long id = line.whole("the call");
                line.end();
                front.left(now, id);
            }
            case "result" -> result(line);
            case "pong" -> pong(line);
            case "datagram" -> {
                Front front = instance(line).front();
                int from = line.small("the sender");
                front.message(now, from, bytes(line));
            }
            case "tick_due" -> {
                Front front = instance(line).front();
                long token = line.whole("the timer");
                line.end();
                front.timer(now, token);
            }
            default -> throw line.wrong("a known event");
        }
    }

    private void boot(Line line) {
        int number = line.small("the instance");
        long seed = line.whole("the seed");
        PlatformSettings start = PlatformSettings.parse(line.rest(), line::wrong);
        Front front = new Decide(start.moduleSettings(seed), new Reply(reply, number));
        instances.put(number, new Instance(front, new LoadReportParser(start.reportFields(), ',')));
    }

    private Instance instance(Line line) {
        int number = line.small("the instance");
        Instance instance = instances.get(number);
        if (instance == null) {
            throw line.wrong("a running instance");
        }
        touched.add(number);
        return instance;
    }

    private void list(Line line) throws IOException {
        int number = line.small("the list number");
        int count = line.small("the number of entries");
        line.end();
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(entry(must("an item")));
        }
        lists.put(number, entries);
    }

    private static ServerEntry entry(Line line) {
        if (!line.word("item").equals("item")) {
            throw line.wrong("item");
        }
        String server = line.word("the server");
        OptionalDouble launched = line.optional("the start time");
        line.optional("the machine kind");
        int cell = (int) line.optional("the pool number").orElse(-1);
        line.optional("the zone");
        line.optional("the scale");
        State state =
                switch (line.word("the health")) {
                    case "on" -> State.RUNNING;
                    case "fading" -> State.DRAINING;
                    case "off" -> State.GONE;
                    default -> throw line.wrong("on, fading or off");
                };
        line.end();
        boolean longAgo = launched.isEmpty() || launched.getAsDouble() == 0;
        return new ServerEntry(server, cell, longAgo ? OptionalDouble.empty() : launched, state);
    }

    private void listChange(Line line) {
        Front front = instance(line).front();
        String kind = line.word("the kind of news");
        line.optional("the version");
        if (kind.equals("error")) {
            line.rest();
            front.listFailed(now);
            return;
        }
        List<ServerEntry> entries = lists.get(line.small("the list number"));
        line.end();
        if (entries == null) {
            throw line.wrong("a list number seen before");
        }
        switch (kind) {
            case "diff" -> front.serverList(now, false, entries);
            case "snapshot", "disk" -> front.serverList(now, true, entries);
            default -> throw line.wrong("diff, snapshot, disk or error");
        }
    }

    private void order(Line line) {
        Front front = instance(line).front();
        long id = line.whole("the call");
        line.optional("the tenant");
        String key = line.word("the key");
        line.optional("the circuits");
        line.optional("the work");
        int callClass = line.small("the class");
        line.optional("the tandem");
        double timeLeft = line.number("the time left");
        int bits = line.small("the marks");
        OptionalDouble dest = line.optional("the destination");
        line.end();
        front.offered(
                now,
                new Call(
                        id,
                        key,
                        callClass,
                        (int) dest.orElse(-1),
                        timeLeft,
                        (bits & REDIALLED) != 0,
                        (bits & IN_TRANSIT) != 0));
    }

    private void result(Line line) {
        Instance instance = instance(line);
        long id = line.whole("the call");
        int attempt = line.small("the attempt");
        double delay = line.optional("the delay").orElse(0);
        int code = (int) line.optional("the note").orElse(0);
        String server = line.word("the server");
        boolean last = line.flag("last");
        Result how = how(line);
        Report report = report(instance, line);
        boolean beyond = code == NOTE_BEYOND_FULL;
        Reason reason =
                switch (beyond ? 2 : code % NOTE_BITS) {
                    case 1 -> Reason.NO_LINE;
                    case 2 -> Reason.BEYOND_FULL;
                    case 3 -> Reason.PROCESSOR_FULL;
                    case 4 -> Reason.NUMBER_BUSY;
                    default -> Reason.NONE;
                };
        int wait = beyond ? 0 : code / NOTE_BITS;
        OptionalDouble told = wait > 0 ? OptionalDouble.of(wait) : OptionalDouble.empty();
        instance.front().ended(now, new Ending(id, server, attempt, delay, how, reason, told, last, report));
    }

    private void pong(Line line) {
        Instance instance = instance(line);
        String server = line.word("the server");
        boolean ok = how(line) == Result.COMPLETED;
        double delay = line.optional("the delay").orElse(0);
        Report report = report(instance, line);
        instance.front().probed(now, server, !ok || delay > 0, ok, delay, report);
    }

    private static Result how(Line line) {
        return switch (line.word("an outcome")) {
            case "ok" -> Result.COMPLETED;
            case "error" -> Result.ERROR;
            case "full" -> Result.FULL;
            case "timeout" -> Result.TIMED_OUT;
            case "connect_failed" -> Result.UNREACHABLE;
            case "reset" -> Result.RESET;
            case "cancelled" -> Result.CANCELLED;
            case "moot" -> Result.NOT_SENT;
            default -> throw line.wrong("a known outcome");
        };
    }

    private static Report report(Instance instance, Line line) {
        return instance.reportFields().parse(line.rest(), line::wrong);
    }

    private static byte[] bytes(Line line) {
        String hex = line.word("the bytes");
        line.end();
        try {
            return hex.equals("-") ? new byte[0] : HexFormat.of().parseHex(hex);
        } catch (IllegalArgumentException e) {
            throw line.wrong("bytes as hex digits");
        }
    }
}
