package damsonseam.bench;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import damsonseam.config.FrontSettings;
import damsonseam.config.Yaml;
import damsonseam.front.FrontServer;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.slf4j.LoggerFactory;

/**
 * A front in a process of its own, so that what is measured is its collector, its processor time and its loop, and
 * not those of the load and the stand-ins. Told what to do by lines on its standard input.
 */
final class FrontProcess implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long READY_MS = 20_000;

    private final Path folder;
    private final Process process;
    private final BufferedReader from;
    private final BufferedWriter to;
    private final InetSocketAddress address;

    /** Starts a front with what admits its calls and these options of its Java machine; waits until it is ready. */
    FrontProcess(FrontSettings settings, AdmissionVariant admission, List<String> options) throws IOException {
        folder = Files.createTempDirectory("front");
        Path config = folder.resolve("front.yaml");
        new ObjectMapper(new YAMLFactory()).writeValue(config.toFile(), settings);
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(options);
        command.addAll(List.of(
                "-cp",
                System.getProperty("java.class.path"),
                FrontProcess.class.getName(),
                config.toString(),
                admission.name()));
        process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        from = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        to = new BufferedWriter(new OutputStreamWriter(process.getOutputStream(), StandardCharsets.UTF_8));
        address = new InetSocketAddress("127.0.0.1", answer().get("port").asInt());
    }

    private JsonNode answer() throws IOException {
        String line = from.readLine();
        if (line == null) {
            throw new IOException("the front's process ended: exit " + process.exitValue());
        }
        return JSON.readTree(line);
    }

    private JsonNode tell(String what) throws IOException {
        to.write(what + "\n");
        to.flush();
        return answer();
    }

    InetSocketAddress address() {
        return address;
    }

    /** Forgets the delays measured so far. */
    void reset() throws IOException {
        tell("reset");
    }

    /** What the front says of itself. */
    JsonNode report() throws IOException {
        return tell("report");
    }

    @Override
    public void close() throws IOException {
        process.destroy();
        try {
            if (!process.waitFor(10, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
        Files.deleteIfExists(folder.resolve("front.yaml"));
        Files.deleteIfExists(folder);
    }

    /** The process: settings file and baseline are its arguments. */
    public static void main(String[] args) throws Exception {
        // Standard output is the parent's; nothing else may speak there.
        ((Logger) LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME)).setLevel(Level.OFF);
        FrontSettings settings = Yaml.read(Path.of(args[0]), FrontSettings.class);
        AdmissionVariant baseline = AdmissionVariant.valueOf(args[1].toUpperCase(Locale.ROOT));
        FrontServer.Components own = FrontServer.Components.defaults(settings);
        try (FrontServer front = FrontServer.start(
                settings, new FrontServer.Components(own.module(), () -> baseline.newController(settings)), false)) {
            if (!front.awaitReady(READY_MS)) {
                throw new IOException("the front was not ready");
            }
            System.out.println("{\"port\":" + front.enumAddress().getPort() + "}");
            BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.equals("reset")) {
                    front.resetDelays();
                    System.out.println("{}");
                } else {
                    System.out.println(JSON.writeValueAsString(front.report()));
                }
            }
        }
    }
}
