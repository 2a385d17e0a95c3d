package damsonseam.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import damsonseam.config.Endpoint;
import damsonseam.front.FrontServer;
import damsonseam.standin.Scenario;
import damsonseam.standin.SimulatedPeers;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a front and its stand-ins on loopback, as a demonstration. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description = {
            "Runs a front with stand-ins for calculators, authorities and directory on loopback.",
            "Prints one JSON line when ready: the DNS address (enum), the suffix and a number that resolves."
        })
final class DemoCommand implements Callable<Integer> {
    private static final long READY_TIMEOUT_MS = 10_000;

    @Option(names = "--port", defaultValue = "0", paramLabel = "P", description = "DNS port; 0: chosen by the system.")
    private int port;

    @Option(names = "--seconds", defaultValue = "0", paramLabel = "N", description = "Run time; 0: until a signal.")
    private double seconds;

    @Option(
            names = "--calculators",
            defaultValue = "3",
            paramLabel = "N",
            description = "Number of stand-in calculators (default: ${DEFAULT-VALUE}).")
    private int calculators;

    @Override
    public Integer call() throws Exception {
        OptionChecks.checkRange("--port", port, 0, 65_535);
        OptionChecks.checkRange("--seconds", seconds, 0, 1e9);
        OptionChecks.checkRange("--calculators", calculators, 1, 99);
        Scenario scenario = new Scenario(
                "demo", null, null, 1, new Scenario.Calculators(calculators, null), null, null, null, null);
        try (SimulatedPeers peers = new SimulatedPeers(scenario, null);
                FrontServer front = FrontServer.start(peers.frontSettings(0, new Endpoint("127.0.0.1", port)), true)) {
            if (!front.awaitReady(READY_TIMEOUT_MS)) {
                System.err.println("damsonseam: the front was not ready within " + READY_TIMEOUT_MS + " ms");
                return RootCommand.EXIT_FAILED;
            }
            Map<String, Object> ready = new LinkedHashMap<>();
            ready.put("enum", "127.0.0.1:" + front.enumAddress().getPort());
            ready.put("suffix", SimulatedPeers.SUFFIX);
            ready.put("number", peers.exampleNumber());
            ready.put(
                    "authorities",
                    peers.authorityAddresses().stream().map(Endpoint::toString).toList());
            ready.put("directory", peers.directoryAddress().toString());
            Map<String, String> signalling = new LinkedHashMap<>();
            peers.calculators()
                    .forEach(c ->
                            signalling.put(c.id(), "127.0.0.1:" + c.address().getPort()));
            ready.put("calculators", signalling);
            System.out.println(new ObjectMapper().writeValueAsString(ready));
            System.out.flush();
            ShutdownSignal.awaitThenStop(seconds, () -> {
                front.drain();
                peers.close();
            });
        }
        return RootCommand.EXIT_OK;
    }
}
