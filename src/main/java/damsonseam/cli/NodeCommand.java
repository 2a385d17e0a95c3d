package damsonseam.cli;

import ch.qos.logback.classic.Level;
import damsonseam.config.SettingsException;
import damsonseam.loop.CallLog;
import damsonseam.node.NodeConfig;
import damsonseam.node.NodeServer;
import damsonseam.standin.NodeRehearsal;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sun.misc.Signal;

/** Runs one front node. {@link Main} calls {@link #run} directly, as loading picocli would delay the node's start. */
@Command(
        name = "node",
        mixinStandardHelpOptions = true,
        description = {
            "Runs one front node of the platform.",
            "Reads the JSON file named by NODE_CONFIG. SIGHUP reloads it; SIGTERM drains the node and ends it."
        })
final class NodeCommand implements Callable<Integer> {
    private static final long LIVENESS_CHECK_INTERVAL_MS = 1_000;

    @Option(
            names = "--rehearse",
            description = "Run some calls through a node on loopback and exit, with 1 if one was not established.")
    private boolean rehearse;

    @Override
    public Integer call() throws Exception {
        if (rehearse) {
            return NodeRehearsal.run() ? RootCommand.EXIT_OK : RootCommand.EXIT_FAILED;
        }
        return run(System.getenv("NODE_CONFIG"));
    }

    /** Runs a node until SIGTERM; returns the exit code. */
    static int run(String file) throws Exception {
        if (file == null || file.isEmpty()) {
            System.err.println("damsonseam: NODE_CONFIG is not set");
            return RootCommand.EXIT_USAGE;
        }
        // Installed first: a signal that arrives during the start must neither kill the process nor be lost.
        ProcessSignals signals = new ProcessSignals();
        Signal.handle(new Signal("HUP"), s -> signals.requestReload());
        Signal.handle(new Signal("TERM"), s -> signals.requestShutdown());
        Signal.handle(new Signal("INT"), s -> signals.requestShutdown());
        Path config = Path.of(file);
        // The log lines of a call cost as much as the call itself, so they are written only with TRACE.
        Level logLevel = Level.toLevel(System.getenv("DAMSONSEAM_LOG"), Level.INFO);
        Logging.configure(null, logLevel);
        ((ch.qos.logback.classic.Logger) LoggerFactory.getLogger(CallLog.LOGGER_NAME))
                .setLevel(logLevel.isGreaterOrEqual(Level.DEBUG) ? Level.WARN : Level.INFO);
        try {
            if (signals.isShutdownRequested()) {
                return RootCommand.EXIT_OK; // No caller could have connected yet.
            }
            NodeServer node = NodeServer.start(NodeConfig.read(config));
            signals.onStarted(() -> reload(config, node));
            while (!signals.awaitShutdown(LIVENESS_CHECK_INTERVAL_MS)) {
                haltIfEventLoopEnded(node);
            }
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

    /** Ends the process if its event loop has ended: it would take connections and answer nothing. */
    private static void haltIfEventLoopEnded(NodeServer node) {
        if (!node.isEventLoopAlive()) {
            System.err.println("damsonseam: the event loop has ended, see the error before");
            // Exit hooks may need what the event loop ran out of.
            Runtime.getRuntime().halt(RootCommand.EXIT_FAILED);
        }
    }

    /** Reloads the configuration. An invalid file leaves the previous configuration in effect. */
    private static void reload(Path config, NodeServer node) {
        Logger log = LoggerFactory.getLogger(NodeCommand.class);
        try {
            NodeConfig newConfig = NodeConfig.read(config);
            node.reload(newConfig);
        } catch (SettingsException e) {
            log.atError()
                    .addKeyValue("why", e.getMessage())
                    .log("invalid configuration, the previous one stays in effect");
        }
    }
}
