package damsonseam.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import damsonseam.bench.AdmissionVariant;
import damsonseam.bench.DrainBench;
import damsonseam.bench.MemoryBench;
import damsonseam.bench.OverloadBench;
import damsonseam.bench.PathBench;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The repeatable measurements. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Runs a measurement; each prints one JSON line.",
        subcommands = {
            BenchCommand.PathCommand.class,
            BenchCommand.MemoryCommand.class,
            BenchCommand.DrainCommand.class,
            BenchCommand.OverloadCommand.class
        })
final class BenchCommand implements Runnable {
    @picocli.CommandLine.Spec
    private picocli.CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new picocli.CommandLine.ParameterException(spec.commandLine(), "the name of a measurement is missing");
    }

    /** Compares the whole call path with a bare responder. */
    @Command(
            name = "path",
            mixinStandardHelpOptions = true,
            description = {
                "Calls per second of one front on the whole call path compared with a bare responder, "
                        + "and the delays at half that rate."
            })
    static final class PathCommand implements Callable<Integer> {
        @Option(names = "--seconds", defaultValue = "4", paramLabel = "N", description = "Length of each round.")
        private double seconds;

        @Override
        public Integer call() throws Exception {
            OptionChecks.checkRange("--seconds", seconds, 0.5, 3_600);
            System.out.println(new ObjectMapper().writeValueAsString(PathBench.run(seconds)));
            return RootCommand.EXIT_OK;
        }
    }

    /** Measures the heap used by open calls. */
    @Command(name = "memory", mixinStandardHelpOptions = true, description = "Heap per open call.")
    static final class MemoryCommand implements Callable<Integer> {
        @Option(names = "--calls", defaultValue = "100000", paramLabel = "N")
        private int calls;

        @Override
        public Integer call() throws Exception {
            OptionChecks.checkRange("--calls", calls, 1, 10_000_000);
            System.out.println(new ObjectMapper().writeValueAsString(MemoryBench.run(calls)));
            return RootCommand.EXIT_OK;
        }
    }

    /** Measures one front under overload. */
    @Command(
            name = "overload",
            mixinStandardHelpOptions = true,
            description = {
                "One front under overload, with and without admission control.",
                "The front runs in a separate process, at 1, 1.5, 3 and 10 times its saturation rate and in a tenfold "
                        + "burst; with the project's admission control, without any, with a plain queue limit and with "
                        + "random shedding."
            })
    static final class OverloadCommand implements Callable<Integer> {
        @Option(
                names = "--seconds",
                defaultValue = "6",
                paramLabel = "N",
                description = "Length of the run at each rate.")
        private double seconds;

        @Option(
                names = "--most",
                defaultValue = "10",
                paramLabel = "N",
                description = "Highest multiple of the saturation rate.")
        private double maxFactor;

        @Option(
                names = "--admission",
                split = ",",
                defaultValue = "LEVELS,NONE,QUEUE,RANDOM",
                description = "Kinds of admission control to run in turn: "
                        + "${COMPLETION-CANDIDATES} (default: ${DEFAULT-VALUE}).")
        private List<AdmissionVariant> admission;

        @Option(
                names = "--java",
                defaultValue = "-Xmx2g -XX:+UseZGC",
                paramLabel = "OPTIONS",
                description = "JVM options of the front (default: ${DEFAULT-VALUE}).")
        private String javaOptions;

        @Option(names = "--out", paramLabel = "DIR", description = "Folder for the plots of the bursts.")
        private Path out;

        @Override
        public Integer call() throws Exception {
            OptionChecks.checkRange("--seconds", seconds, 2, 3_600);
            OptionChecks.checkRange("--most", maxFactor, 1, 100);
            if (out != null) {
                Files.createDirectories(out);
            }
            System.out.println(new ObjectMapper()
                    .writeValueAsString(OverloadBench.run(
                            seconds,
                            maxFactor,
                            admission,
                            List.of(javaOptions.trim().split(" +")),
                            out)));
            return RootCommand.EXIT_OK;
        }
    }

    /** Measures the time from a drain update to the last set-up. */
    @Command(
            name = "drain",
            mixinStandardHelpOptions = true,
            description = {
                "Time from a drain update sent by the directory to the last set-up that reaches the calculator."
            })
    static final class DrainCommand implements Callable<Integer> {
        @Option(names = "--drains", defaultValue = "20", paramLabel = "N")
        private int drains;

        @Override
        public Integer call() throws Exception {
            OptionChecks.checkRange("--drains", drains, 1, 10_000);
            System.out.println(new ObjectMapper().writeValueAsString(DrainBench.run(drains)));
            return RootCommand.EXIT_OK;
        }
    }
}
