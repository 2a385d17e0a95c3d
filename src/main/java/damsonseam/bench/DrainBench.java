package damsonseam.bench;

import damsonseam.audit.WireLog;
import damsonseam.config.Endpoint;
import damsonseam.config.TimeSpan;
import damsonseam.directory.wire.State;
import damsonseam.front.FrontServer;
import damsonseam.ss7.IsupMessage;
import damsonseam.ss7.M3uaMessage;
import damsonseam.ss7.ProtocolData;
import damsonseam.ss7.SignallingProtocolException;
import damsonseam.standin.CalculatorSettings;
import damsonseam.standin.Scenario;
import damsonseam.standin.SimulatedPeers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Drains one calculator repeatedly under load and measures from the wire logs how long after the update, as sent by the
 * directory, set-ups still reach it.
 */
public final class DrainBench {
    private static final int FRONTS = 4;
    private static final long STATE_INTERVAL_MS = 300;

    private DrainBench() {}

    /** Runs {@code drains} drains at 800 calls per second over four fronts and four calculators. */
    public static Map<String, Object> run(int drains) throws Exception {
        CalculatorSettings calculatorSettings =
                new CalculatorSettings(2_000.0, null, null, null, null, null, null, null, null, null, null);
        Scenario.CallerClass callerClass = new Scenario.CallerClass(
                "simulacion",
                "59821",
                1.0,
                TimeSpan.parse("1.5 s"),
                TimeSpan.parse("9 s"),
                TimeSpan.parse("3 s"),
                1.0,
                0.25,
                TimeSpan.parse("100 ms"),
                0);
        Scenario scenario = new Scenario(
                "drain",
                null,
                1L,
                FRONTS,
                new Scenario.Calculators(4, calculatorSettings),
                new Scenario.Load(800.0, List.of(callerClass)),
                new Scenario.Directory(TimeSpan.ms(0), null),
                null,
                null);
        Path folder = Files.createTempDirectory("drain");
        List<FrontServer> fronts = new ArrayList<>();
        try (SimulatedPeers peers = new SimulatedPeers(scenario, folder)) {
            List<InetSocketAddress> addresses = new ArrayList<>();
            for (int i = 0; i < FRONTS; i++) {
                FrontServer front = FrontServer.start(peers.frontSettings(i, new Endpoint("127.0.0.1", 0)), false);
                fronts.add(front);
                addresses.add(front.enumAddress());
                if (!front.awaitReady(10_000)) {
                    throw new IOException("front did not become ready within 10 s");
                }
            }
            peers.callers().start(addresses, scenario.load().callsPerS());
            Thread.sleep(3_000);
            for (int i = 0; i < drains; i++) {
                peers.directory().updateNow(peers.directoryEntry(0), State.DRAINING);
                Thread.sleep(STATE_INTERVAL_MS);
                peers.directory().updateNow(peers.directoryEntry(0), State.RUNNING);
                Thread.sleep(STATE_INTERVAL_MS);
            }
            peers.callers().stopArrivals();
            fronts.forEach(FrontServer::close);
            peers.close();
            return readReport(folder, drains);
        } finally {
            fronts.forEach(FrontServer::close);
            try (var files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
            }
        }
    }

    private static Map<String, Object> readReport(Path folder, int drains) throws Exception {
        List<WireLog.Line> lines = new ArrayList<>();
        WireLog.read(folder.resolve("directory.jsonl"), lines::add);
        WireLog.read(folder.resolve("calculators.jsonl"), lines::add);
        lines.sort(Comparator.comparingLong(WireLog.Line::timeUs));
        Histogram lastSetUpUs = new Histogram(10_000_000, 3);
        Map<String, Long> drainedAtUs = new LinkedHashMap<>();
        Map<String, Long> lastSetUpAfterUs = new LinkedHashMap<>();
        for (WireLog.Line line : lines) {
            if (line.proto().equals(WireLog.DIRECTORY)) {
                var update = damsonseam.directory.wire.Update.parseFrom(line.payload());
                if (update.getFull() || !update.getEntries(0).getServer().startsWith("calc-00")) {
                    continue;
                }
                if (update.getEntries(0).getState() == State.DRAINING) {
                    drainedAtUs.put(line.to(), line.timeUs());
                    lastSetUpAfterUs.put(line.to(), 0L);
                } else if (drainedAtUs.remove(line.to()) != null) {
                    lastSetUpUs.recordValue(lastSetUpAfterUs.get(line.to()));
                }
            } else if (line.to().startsWith("calc-00") && drainedAtUs.containsKey(line.from()) && isSetUp(line)) {
                lastSetUpAfterUs.put(line.from(), line.timeUs() - drainedAtUs.get(line.from()));
            }
        }
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("drains", drains);
        report.put("fronts", FRONTS);
        report.put("measured", lastSetUpUs.getTotalCount());
        report.put("lastSetUpP50Us", lastSetUpUs.getValueAtPercentile(50));
        report.put("lastSetUpP99Us", lastSetUpUs.getValueAtPercentile(99));
        report.put("lastSetUpMaxUs", lastSetUpUs.getMaxValue());
        return report;
    }

    private static boolean isSetUp(WireLog.Line line) {
        try {
            M3uaMessage message = M3uaMessage.decode(line.payload());
            return message.kind() == M3uaMessage.Kind.DATA
                    && IsupMessage.decode(ProtocolData.from(message).isup()).type() == IsupMessage.Type.IAM;
        } catch (SignallingProtocolException e) {
            return false;
        }
    }
}
