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
 * Writes what passed a socket, one JSON line a message: {@code t_us}, {@code from}, {@code to}, {@code proto},
 * {@code hex}. Time is microseconds of one clock for all logs of a run. Lines of one log may be a little out
 * of order; readers sort.
 */
public final class WireLog implements AutoCloseable {
    /** DNS as callers sent and got it. */
    public static final String DNS = "dns";
    /** M3UA frames as calculators got and sent them. */
    public static final String M3UA = "m3ua";
    /** A signalling connection was closed; no octets. */
    public static final String CLOSED = "closed";
    /** Updates as the directory sent them. */
    public static final String DIRECTORY = "directory";
    /** A front was made to stand still; the octets are its milliseconds in decimal digits. */
    public static final String PAUSED = "stall";
    /** A front was killed; no octets. */
    public static final String KILLED = "killed";
    /** A calculator's processor started; no octets. */
    public static final String STARTED = "started";

    private static final int BUFFER = 1 << 20;

    private final BufferedWriter out;
    private final long origin;

    /** One message of a log. */
    public record Line(long timeUs, String from, String to, String proto, byte[] payload) {}

    /** A log in a file; {@code origin} is the nano time that counts as zero. */
    public WireLog(Path file, long origin) throws IOException {
        out = new BufferedWriter(
                new java.io.OutputStreamWriter(Files.newOutputStream(file), StandardCharsets.US_ASCII), BUFFER);
        this.origin = origin;
    }

    /** Writes one message, seen now. */
    public void write(String from, String to, String proto, byte[] octets) {
        write((System.nanoTime() - origin) / 1_000, from, to, proto, octets);
    }

    /** Writes one message; names hold no characters that JSON would have to escape. */
    public void write(long timeUs, String from, String to, String proto, byte[] octets) {
        String line = "{\"t_us\":" + timeUs + ",\"from\":\"" + from + "\",\"to\":\"" + to + "\",\"proto\":\"" + proto
                + "\",\"hex\":\"" + HexFormat.of().formatHex(octets) + "\"}\n";
        synchronized (this) {
            try {
                out.write(line);
            } catch (IOException e) {
                throw new UncheckedIOException("wire log", e);
            }
        }
    }

    @Override
    public synchronized void close() throws IOException {
        out.close();
    }

    /**
     * Reads a log.
     *
     * @throws IOException also where a line is not what this class writes, with its number
     */
    public static void read(Path file, Consumer<Line> to) throws IOException {
        JsonFactory json = new JsonFactory();
        long number = 0;
        try (var lines = Files.newBufferedReader(file, StandardCharsets.US_ASCII)) {
            for (String text = lines.readLine(); text != null; text = lines.readLine()) {
                number++;
                try (JsonParser in = json.createParser(text)) {
                    to.accept(line(in));
                } catch (IOException | IllegalArgumentException e) {
                    throw new IOException(file + ":" + number + ": not a line of a wire log: " + e.getMessage(), e);
                }
            }
        }
    }

    private static Line line(JsonParser in) throws IOException {
        long time = -1;
        String from = null;
        String to = null;
        String proto = null;
        String hex = null;
        if (in.nextToken() != JsonToken.START_OBJECT) {
            throw new IOException("expected an object");
        }
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            switch (name) {
                case "t_us" -> time = in.getLongValue();
                case "from" -> from = in.getText();
                case "to" -> to = in.getText();
                case "proto" -> proto = in.getText();
                case "hex" -> hex = in.getText();
                default -> {}
            }
        }
        if (time < 0 || from == null || to == null || proto == null || hex == null) {
            throw new IOException("expected t_us, from, to, proto and hex");
        }
        return new Line(time, from, to, proto, HexFormat.of().parseHex(hex));
    }
}
