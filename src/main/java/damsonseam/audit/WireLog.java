package damsonseam.audit;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.function.Consumer;

/**
 * A log of the messages that passed a socket, with one JSON object per line: {@code t_us}, {@code from}, {@code to},
 * {@code proto}, {@code hex}. Times are microseconds on one clock for all logs of a run. Writing is thread-safe; as
 * threads take the time before they write, the lines of a log may be slightly out of order, and readers must sort them.
 */
public final class WireLog implements AutoCloseable {
    /** A DNS message as sent or received by a caller. */
    public static final String DNS = "dns";
    /** An M3UA message as received or sent by a calculator. */
    public static final String M3UA = "m3ua";
    /** A signalling connection was closed; no payload. */
    public static final String CLOSED = "closed";
    /** A server-list update as sent by the directory. */
    public static final String DIRECTORY = "directory";
    /** A front was paused; the payload is the length of the pause in milliseconds, in decimal ASCII digits. */
    public static final String PAUSED = "stall";
    /** A front was killed; no payload. */
    public static final String KILLED = "killed";
    /** A calculator's processor started; no payload. */
    public static final String STARTED = "started";

    private static final int BUFFER_CHARS = 1 << 20;

    private final BufferedWriter writer;
    private final long originNs;

    /** A line of a log: a message or an event, its time in microseconds, and its parties. */
    public record Line(long timeUs, String from, String to, String proto, byte[] payload) {}

    /** Creates the log file; {@code originNs} is the {@link System#nanoTime()} at which the log's time is zero. */
    public WireLog(Path file, long originNs) throws IOException {
        writer = new BufferedWriter(
                new java.io.OutputStreamWriter(Files.newOutputStream(file), StandardCharsets.US_ASCII), BUFFER_CHARS);
        this.originNs = originNs;
    }

    /** Writes a message with the current time. */
    public void write(String from, String to, String proto, byte[] payload) {
        write((System.nanoTime() - originNs) / 1_000, from, to, proto, payload);
    }

    /** Writes a message; {@code from} and {@code to} must not contain characters that JSON escapes. */
    public void write(long timeUs, String from, String to, String proto, byte[] payload) {
        String line = "{\"t_us\":" + timeUs + ",\"from\":\"" + from + "\",\"to\":\"" + to + "\",\"proto\":\"" + proto
                + "\",\"hex\":\"" + HexFormat.of().formatHex(payload) + "\"}\n";
        synchronized (this) {
            try {
                writer.write(line);
            } catch (IOException e) {
                throw new UncheckedIOException("cannot write the wire log", e);
            }
        }
    }

    @Override
    public synchronized void close() throws IOException {
        writer.close();
    }

    /**
     * Reads a log and passes its lines to the consumer in the order of the file.
     *
     * @throws IOException if the file cannot be read or a line is malformed; the message names the line
     */
    public static void read(Path file, Consumer<Line> consumer) throws IOException {
        JsonFactory json = new JsonFactory();
        long lineNumber = 0;
        try (var reader = Files.newBufferedReader(file, StandardCharsets.US_ASCII)) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                lineNumber++;
                try (JsonParser parser = json.createParser(line)) {
                    consumer.accept(parseLine(parser));
                } catch (IOException | IllegalArgumentException e) {
                    throw new IOException(file + ":" + lineNumber + ": malformed wire log line: " + e.getMessage(), e);
                }
            }
        }
    }

    private static Line parseLine(JsonParser parser) throws IOException {
        long timeUs = -1;
        String from = null;
        String to = null;
        String proto = null;
        String hex = null;
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw new IOException("expected a JSON object");
        }
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "t_us" -> timeUs = parser.getLongValue();
                case "from" -> from = parser.getText();
                case "to" -> to = parser.getText();
                case "proto" -> proto = parser.getText();
                case "hex" -> hex = parser.getText();
                default -> {}
            }
        }
        if (timeUs < 0 || from == null || to == null || proto == null || hex == null) {
            throw new IOException("expected t_us, from, to, proto and hex");
        }
        return new Line(timeUs, from, to, proto, HexFormat.of().parseHex(hex));
    }
}
