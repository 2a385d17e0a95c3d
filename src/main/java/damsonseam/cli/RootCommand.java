package damsonseam.cli;

import ch.qos.logback.classic.Level;
import damsonseam.config.SettingsException;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.BindException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ScopeType;

/** The root command: its subcommands, the options common to all of them, and the exit codes. */
@Command(
        name = "damsonseam",
        mixinStandardHelpOptions = true,
        version = "damsonseam 0.2.0",
        description = "Routes calls over trunk groups on request by ENUM over DNS.",
        footer = {"", "Exit codes: 0 success, 1 failure or a broken rule, 2 wrong usage or invalid settings."},
        subcommands = {
            FrontCommand.class,
            StandinCommand.class,
            DemoCommand.class,
            LookupCommand.class,
            BadDayCommand.class,
            AuditCommand.class,
            LoadCommand.class,
            BenchCommand.class,
            AdapterCommand.class,
            NodeCommand.class,
            CommandLine.HelpCommand.class
        })
public final class RootCommand implements Runnable {
    /** Success. */
    static final int EXIT_OK = 0;
    /** The command failed, or a rule was broken. */
    static final int EXIT_FAILED = 1;
    /** The command line or a settings file is invalid. */
    static final int EXIT_USAGE = 2;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(
            names = "--log-file",
            scope = ScopeType.INHERIT,
            paramLabel = "FILE",
            description = "File for the JSON log; by default standard error.")
    private String logFile;

    @Option(
            names = "--log-level",
            scope = ScopeType.INHERIT,
            paramLabel = "LEVEL",
            defaultValue = "WARN",
            description =
                    "TRACE, DEBUG, INFO, WARN, ERROR or OFF; calls are logged at INFO (default: ${DEFAULT-VALUE}).")
    private String logLevel;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }

    /** Runs the command line and returns the exit code. */
    public static int run(String[] args) {
        RootCommand commands = new RootCommand();
        CommandLine commandLine = new CommandLine(commands);
        commandLine.setCaseInsensitiveEnumValuesAllowed(true);
        commandLine.setExecutionStrategy(parsed -> {
            Level level = Level.toLevel(commands.logLevel, null);
            if (level == null) {
                throw new ParameterException(commandLine, "--log-level: " + commands.logLevel + " is not a log level");
            }
            Logging.configure(commands.logFile, level);
            return new CommandLine.RunLast().execute(parsed);
        });
        commandLine.setExecutionExceptionHandler((e, command, parsed) -> handleException(e, command.getErr()));
        int code = commandLine.execute(args);
        Logging.flush();
        return code;
    }

    private static int handleException(Exception e, PrintWriter err) throws Exception {
        if (e instanceof SettingsException) {
            err.println("damsonseam: " + e.getMessage());
            return EXIT_USAGE;
        }
        if (e instanceof BindException || e instanceof IOException || e instanceof UncheckedIOException) {
            err.println("damsonseam: " + (e.getMessage() == null ? e.toString() : e.getMessage()));
            return EXIT_FAILED;
        }
        throw e;
    }
}
