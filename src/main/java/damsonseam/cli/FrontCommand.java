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

/** Runs one front until a signal, then drains it: no new calls are taken, open ones are answered. */
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
            description = "Settings file, see config/front.example.yaml.")
    private Path config;

    @Option(names = "--check", description = "Check the settings and exit.")
    private boolean checkOnly;

    @Option(names = "--seconds", defaultValue = "0", paramLabel = "N", description = "Run time; 0: until a signal.")
    private double seconds;

    @Override
    public Integer call() throws Exception {
        OptionChecks.checkRange("--seconds", seconds, 0, 1e9);
        FrontSettings settings = Yaml.read(config, FrontSettings.class);
        if (checkOnly) {
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
