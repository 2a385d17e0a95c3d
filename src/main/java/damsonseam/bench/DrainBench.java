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

/** Drains one calculator again and again under load and reads from the wire how long set-ups still reach it. */
public final class DrainBench {
    private static final int FRONTS = 4;
    private static final long PAUSE_MS = 300;

    private DrainBench() {}

    /** Runs so many drains at 800 calls a second over four fronts and four calculators. */
    public static Map<String, Object> run(int drains) throws Exception {
        CalculatorSettings each =
                new CalculatorSettings(2_000.0, null, null, null, null, null, null, null, null, null, null);
        Scenario.CallerClass kind = new Scenario.CallerClass(
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
                new Scenario.Calculators(4, each),
                new Scenario.Load(800.0, List.of(kind)),
                new Scenario.Directory(TimeSpan.ms(0), null),
                null,
                null);
        Path folder = Files.createTempDirectory("drain");
        List<FrontServer> fronts = new ArrayList<>();
        try (SimulatedPeers around = new SimulatedPeers(scenario, folder)) {
            List<InetSocketAddress> addresses = new ArrayList<>();
            for (int i = 0; i < FRONTS; i++) {
                FrontServer front = FrontServer.start(around.frontSettings(i, new Endpoint("127.0.0.1", 0)), false);
                fronts.add(front);
                addresses.add(front.enumAddress());
                if (!front.awaitReady(10_000)) {
                    throw new IOException("a front was not ready");
                }
            }
            around.callers().start(addresses, scenario.load().callsPerS());
            Thread.sleep(3_000);
            for (int i = 0; i < drains; i++) {
                around.directory().updateNow(around.directoryEntry(0), State.DRAINING);
                Thread.sleep(PAUSE_MS);
                around.directory().updateNow(around.directoryEntry(0), State.RUNNING);
                Thread.sleep(PAUSE_MS);
            }
            around.callers().stopArrivals();
            fronts.forEach(FrontServer::close);
            around.close();
            return read(folder, drains);
        } finally {
            fronts.forEach(FrontServer::close);
            try (var files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
            }
        }
    }

    private static Map<String, Object> read(Path folder, int drains) throws Exception {
        List<WireLog.Line> lines = new ArrayList<>();
        WireLog.read(folder.resolve("directory.jsonl"), lines::add);
        WireLog.read(folder.resolve("calculators.jsonl"), lines::add);
        lines.sort(Comparator.comparingLong(WireLog.Line::timeUs));
        Histogram lastUs = new Histogram(10_000_000, 3);
        Map<String, Long> drainedAt = new LinkedHashMap<>();
        Map<String, Long> last = new LinkedHashMap<>();
        for (WireLog.Line line : lines) {
            if (line.proto().equals(WireLog.DIRECTORY)) {
                var update = damsonseam.directory.wire.Update.parseFrom(line.payload());
                if (update.getFull() || !update.getEntries(0).getServer().startsWith("calc-00")) {
                    continue;
                }
                if (update.getEntries(0).getState() == State.DRAINING) {
                    drainedAt.put(line.to(), line.timeUs());
                    last.put(line.to(), 0L);
                } else if (drainedAt.remove(line.to()) != null) {
                    lastUs.recordValue(last.get(line.to()));
                }
            } else if (line.to().startsWith("calc-00") && drainedAt.containsKey(line.from()) && isSetUp(line)) {
                last.put(line.from(), line.timeUs() - drainedAt.get(line.from()));
            }
        }
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("drains", drains);
        report.put("fronts", FRONTS);
        report.put("measured", lastUs.getTotalCount());
        report.put("lastSetUpP50Us", lastUs.getValueAtPercentile(50));
        report.put("lastSetUpP99Us", lastUs.getValueAtPercentile(99));
        report.put("lastSetUpMaxUs", lastUs.getMaxValue());
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
