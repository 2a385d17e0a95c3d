package damsonseam.cli;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.FileAppender;
import ch.qos.logback.core.OutputStreamAppender;
import org.slf4j.LoggerFactory;
import org.slf4j.bridge.SLF4JBridgeHandler;

/**
 * Configures the structured log: JSON lines to a file or to standard error, written by a thread of its own. If that
 * thread falls behind, lines are dropped and the event loop is never blocked: the evidence of a run is its wire logs.
 */
final class Logging {
    private static final int QUEUE_CAPACITY = 1 << 16;
    private static final int MAX_FLUSH_TIME_MS = 2_000;

    private Logging() {}

    static void configure(String file, Level level) {
        // gRPC logs through java.util.logging; route it to the same appender.
        SLF4JBridgeHandler.removeHandlersForRootLogger();
        SLF4JBridgeHandler.install();
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.setWithContext(false);
        encoder.start();
        OutputStreamAppender<ILoggingEvent> out;
        if (file == null) {
            ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
            console.setTarget("System.err");
            out = console;
        } else {
            FileAppender<ILoggingEvent> appender = new FileAppender<>();
            appender.setFile(file);
            out = appender;
        }
        out.setContext(context);
        out.setEncoder(encoder);
        out.start();
        AsyncAppender async = new AsyncAppender();
        async.setContext(context);
        async.setQueueSize(QUEUE_CAPACITY);
        async.setDiscardingThreshold(0);
        async.setNeverBlock(true);
        async.setMaxFlushTime(MAX_FLUSH_TIME_MS);
        async.addAppender(out);
        async.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(level);
        root.addAppender(async);
        // Libraries log at WARN and above, whatever the program's own level.
        for (String library : new String[] {"io.netty", "io.grpc", "org.xbill"}) {
            context.getLogger(library).setLevel(level.isGreaterOrEqual(Level.WARN) ? level : Level.WARN);
        }
    }

    static void flush() {
        ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
    }
}
