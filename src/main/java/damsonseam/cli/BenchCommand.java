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

/** The measurements that are kept. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Measurements; each prints one JSON line.",
        subcommands = {
            BenchCommand.PathCommand.class,
            BenchCommand.Memory.class,
            BenchCommand.Drain.class,
            BenchCommand.Overload.class
        })
final class BenchCommand implements Runnable {
    @picocli.CommandLine.Spec
    private picocli.CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new picocli.CommandLine.ParameterException(spec.commandLine(), "a measurement is missing");
    }

    /** The whole path against a bare responder. */
    @Command(
            name = "path",
            mixinStandardHelpOptions = true,
            description = {
                "Calls a second of one front on the whole path against a bare responder, and delays at half that rate."
            })
    static final class PathCommand implements Callable<Integer> {
        @Option(names = "--seconds", defaultValue = "4", paramLabel = "N", description = "Each of its rounds.")
        private double seconds;

        @Override
        public Integer call() throws Exception {
            OptionChecks.checkRange("--seconds", seconds, 0.5, 3_600);
            System.out.println(new ObjectMapper().writeValueAsString(PathBench.run(seconds)));
            return RootCommand.EXIT_OK;
        }
    }

    /** Heap of open calls. */
    @Command(name = "memory", mixinStandardHelpOptions = true, description = "Heap of each open call.")
    static final class Memory implements Callable<Integer> {
        @Option(names = "--calls", defaultValue = "100000", paramLabel = "N")
        private int calls;

        @Override
        public Integer call() throws Exception {
            OptionChecks.checkRange("--calls", calls, 1, 10_000_000);
            System.out.println(new ObjectMapper().writeValueAsString(MemoryBench.run(calls)));
            return RootCommand.EXIT_OK;
        }
    }

    /** One front past its limit. */
    @Command(
            name = "overload",
            mixinStandardHelpOptions = true,
            description = {
                "One front, a process of its own, at 1, 1.5, 3 and 10 times the rate it saturates at "
                        + "and through a tenfold",
                "burst; with the project's gate, without, with a plain queue limit, and shedding at random."
            })
    static final class Overload implements Callable<Integer> {
        @Option(names = "--seconds", defaultValue = "6", paramLabel = "N", description = "Of each rate.")
        private double seconds;

        @Option(
                names = "--most",
                defaultValue = "10",
                paramLabel = "N",
                description = "Times the saturating rate " + "that is tried at most.")
        private double most;

        @Option(
                names = "--admission",
                split = ",",
                defaultValue = "LEVELS,NONE,QUEUE,RANDOM",
                description = "What "
                        + "admits calls, one after another: ${COMPLETION-CANDIDATES} (default: ${DEFAULT-VALUE}).")
        private List<AdmissionVariant> admission;

        @Option(
                names = "--java",
                defaultValue = "-Xmx2g -XX:+UseZGC",
                paramLabel = "OPTIONS",
                description = "Options of the " + "front's Java machine (default: ${DEFAULT-VALUE}).")
        private String options;

        @Option(names = "--out", paramLabel = "DIR", description = "Where pictures of the bursts are left.")
        private Path out;

        @Override
        public Integer call() throws Exception {
            OptionChecks.checkRange("--seconds", seconds, 2, 3_600);
            OptionChecks.checkRange("--most", most, 1, 100);
            if (out != null) {
                Files.createDirectories(out);
            }
            System.out.println(new ObjectMapper()
                    .writeValueAsString(OverloadBench.run(
                            seconds, most, admission, List.of(options.trim().split(" +")), out)));
            return RootCommand.EXIT_OK;
        }
    }

    /** Time from drain news to the last set-up. */
    @Command(
            name = "drain",
            mixinStandardHelpOptions = true,
            description = {
                "Time from drain news, as the directory sends it, to the last set-up that reaches the calculator."
            })
    static final class Drain implements Callable<Integer> {
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
