package damsonseam.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import damsonseam.config.FrontSettings;
import damsonseam.config.Yaml;
import damsonseam.front.FrontServer;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs one front until a signal ends it; then it takes no new calls and ends the open ones. */
@Command(
        name = "front",
        mixinStandardHelpOptions = true,
        description = {
            "Runs one front.",
            "Prints one JSON line when its DNS port is open. SIGTERM drains: no new calls, open ones are answered."
        })
final class FrontCommand implements Callable<Integer> {
    @Option(
            names = "--config",
            required = true,
            paramLabel = "FILE",
            description = "Settings, see " + "config/front.example.yaml.")
    private Path config;

    @Option(names = "--check", description = "Only check the settings.")
    private boolean check;

    @Option(
            names = "--seconds",
            defaultValue = "0",
            paramLabel = "N",
            description = "End after so long; 0: " + "run until a signal.")
    private double seconds;

    @Override
    public Integer call() throws Exception {
        OptionChecks.checkRange("--seconds", seconds, 0, 1e9);
        FrontSettings settings = Yaml.read(config, FrontSettings.class);
        if (check) {
            System.out.println(config + ": fine");
            return RootCommand.EXIT_OK;
        }
        FrontServer front = FrontServer.start(settings, true);
        Map<String, Object> ready = new LinkedHashMap<>();
        ready.put("front", settings.front().name());
        ready.put(
                "enum",
                settings.enumSettings().listen().host() + ":"
                        + front.enumAddress().getPort());
        ready.put("suffix", settings.enumSettings().suffix());
        System.out.println(new ObjectMapper().writeValueAsString(ready));
        ShutdownSignal.awaitThenStop(seconds, front::drain);
        return RootCommand.EXIT_OK;
    }
}
