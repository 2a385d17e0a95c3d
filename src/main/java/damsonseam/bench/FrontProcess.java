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
 * A front in a process of its own, so that its garbage collection, processor time and event loop are measured without
 * those of the load and the stand-ins. The parent sends commands as lines to its standard input and reads one line of
 * JSON in reply to each. Not thread-safe.
 */
final class FrontProcess implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long READY_TIMEOUT_MS = 20_000;

    private final Path folder;
    private final Process process;
    private final BufferedReader processOutput;
    private final BufferedWriter processInput;
    private final InetSocketAddress address;

    /** Starts a front with an admission control and JVM options, and waits until it is ready. */
    FrontProcess(FrontSettings settings, AdmissionVariant variant, List<String> jvmOptions) throws IOException {
        folder = Files.createTempDirectory("front");
        Path config = folder.resolve("front.yaml");
        new ObjectMapper(new YAMLFactory()).writeValue(config.toFile(), settings);
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(jvmOptions);
        command.addAll(List.of(
                "-cp",
                System.getProperty("java.class.path"),
                FrontProcess.class.getName(),
                config.toString(),
                variant.name()));
        process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        processOutput = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        processInput = new BufferedWriter(new OutputStreamWriter(process.getOutputStream(), StandardCharsets.UTF_8));
        address = new InetSocketAddress("127.0.0.1", readReply().get("port").asInt());
    }

    private JsonNode readReply() throws IOException {
        String line = processOutput.readLine();
        if (line == null) {
            throw new IOException("front process exited with status " + process.exitValue());
        }
        return JSON.readTree(line);
    }

    private JsonNode request(String command) throws IOException {
        processInput.write(command + "\n");
        processInput.flush();
        return readReply();
    }

    InetSocketAddress address() {
        return address;
    }

    /** Resets the delays measured so far. */
    void reset() throws IOException {
        request("reset");
    }

    /** Returns the front's report on itself. */
    JsonNode report() throws IOException {
        return request("report");
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

    /** Runs the front process; the arguments are the settings file and the name of the admission variant. */
    public static void main(String[] args) throws Exception {
        // The parent reads standard output: no log line may appear there.
        ((Logger) LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME)).setLevel(Level.OFF);
        FrontSettings settings = Yaml.read(Path.of(args[0]), FrontSettings.class);
        AdmissionVariant variant = AdmissionVariant.valueOf(args[1].toUpperCase(Locale.ROOT));
        FrontServer.Components defaults = FrontServer.Components.defaults(settings);
        try (FrontServer front = FrontServer.start(
                settings,
                new FrontServer.Components(defaults.policyFactory(), () -> variant.newController(settings)),
                false)) {
            if (!front.awaitReady(READY_TIMEOUT_MS)) {
                throw new IOException("front did not become ready");
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
