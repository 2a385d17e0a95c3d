package damsonseam.cli;

import ch.qos.logback.classic.Level;
import damsonseam.config.SettingsException;
import damsonseam.loop.CallLog;
import damsonseam.node.NodeConfig;
import damsonseam.node.NodeServer;
import damsonseam.standin.Rehearsal;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sun.misc.Signal;

/** Stands in the help; {@link Main} runs the node without the command line's library, which costs its start. */
@Command(
        name = "node",
        mixinStandardHelpOptions = true,
        description = {
            "Runs one front node of the platform.",
            "Reads the JSON file that NODE_CONFIG names. SIGHUP reads it again; SIGTERM finishes what is open and ends."
        })
final class NodeCommand implements Callable<Integer> {
    @Option(
            names = "--rehearse",
            description = "Play some calls through a node on loopback and end; exits with 1 if " + "one did not stand.")
    private boolean rehearse;

    @Override
    public Integer call() throws Exception {
        if (rehearse) {
            return Rehearsal.play() ? RootCommand.EXIT_OK : RootCommand.EXIT_FAILED;
        }
        return run(System.getenv("NODE_CONFIG"));
    }

    /** Runs a node until SIGTERM; returns the exit code. */
    static int run(String file) throws Exception {
        if (file == null || file.isEmpty()) {
            System.err.println("damsonseam: NODE_CONFIG names no file");
            return RootCommand.EXIT_USAGE;
        }
        // First of all: a signal that comes during the start must neither end the process nor be lost.
        ProcessSignals signals = new ProcessSignals();
        Signal.handle(new Signal("HUP"), s -> signals.requestReload());
        Signal.handle(new Signal("TERM"), s -> signals.requestShutdown());
        Signal.handle(new Signal("INT"), s -> signals.requestShutdown());
        Path config = Path.of(file);
        // The story of each call costs as much as the call: it is told where TRACE is asked for.
        Level level = Level.toLevel(System.getenv("DAMSONSEAM_LOG"), Level.INFO);
        Logging.configure(null, level);
        ((ch.qos.logback.classic.Logger) LoggerFactory.getLogger(CallLog.NAME))
                .setLevel(level.isGreaterOrEqual(Level.DEBUG) ? Level.WARN : Level.INFO);
        try {
            if (signals.isShutdownRequested()) {
                return RootCommand.EXIT_OK; // Nobody has been able to connect.
            }
            NodeServer node = NodeServer.start(NodeConfig.read(config));
            signals.onStarted(() -> reload(config, node));
            signals.awaitShutdown();
            node.drain();
            Logging.flush();
        } catch (SettingsException e) {
            System.err.println("damsonseam: " + e.getMessage());
            return RootCommand.EXIT_USAGE;
        } catch (IOException e) {
            System.err.println("damsonseam: " + e.getMessage());
            return RootCommand.EXIT_FAILED;
        }
        return RootCommand.EXIT_OK;
    }

    /** A file that can't be used leaves what was read before in force. */
    private static void reload(Path config, NodeServer node) {
        Logger log = LoggerFactory.getLogger(NodeCommand.class);
        try {
            NodeConfig news = NodeConfig.read(config);
            node.reload(news);
        } catch (SettingsException e) {
            log.atError().addKeyValue("why", e.getMessage()).log("the new configuration can't be used, the old stays");
        }
    }
}
