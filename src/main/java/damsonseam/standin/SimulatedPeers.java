package damsonseam.standin;

import damsonseam.audit.RunParameters;
import damsonseam.audit.WireLog;
import damsonseam.config.Endpoint;
import damsonseam.config.FrontSettings;
import damsonseam.config.TimeSpan;
import damsonseam.directory.wire.State;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * The simulated peers of the fronts of a scenario, on loopback: calculators, name servers, directory and callers. The
 * constructor starts all but the callers; closing stops all and completes the wire logs.
 */
public final class SimulatedPeers implements AutoCloseable {
    /** Domain of the ENUM zone. */
    public static final String SUFFIX = "e164.example.org";

    private static final int FIRST_POINT_CODE = 1_000;
    private static final int FIRST_FRONT_POINT_CODE = 5_000;
    private static final int AUTHORITY_COUNT = 2;
    private static final long RECORD_TTL_S = 60;
    private static final InetSocketAddress LOOPBACK_ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

    private final Scenario scenario;
    private final MultiThreadIoEventLoopGroup group;
    private final List<Calculator> calculators = new ArrayList<>();
    private final List<DnsAuthority> authorities = new ArrayList<>();
    private final List<Endpoint> authorityAddresses = new ArrayList<>();
    private final List<WireLog> wireLogs = new ArrayList<>();
    private final DirectoryServer directory;
    private final Endpoint directoryAddress;
    private final CallGenerator callers;
    private final WireLog eventLog;
    private boolean closed;

    /**
     * Starts the peers of a scenario.
     *
     * @param scenario scenario
     * @param wireFolder folder of the wire logs, or null for none
     */
    public SimulatedPeers(Scenario scenario, Path wireFolder) throws IOException, InterruptedException {
        this.scenario = scenario;
        long originNanos = System.nanoTime();
        // One event loop each for callers and name servers and two for calculators, so that none delays another.
        group = new MultiThreadIoEventLoopGroup(4, NioIoHandler.newFactory());
        SplittableRandom seeds = new SplittableRandom(scenario.seed());
        WireLog callerLog = openWireLog(wireFolder, "callers", originNanos);
        WireLog calculatorLog = openWireLog(wireFolder, "calculators", originNanos);
        WireLog directoryLog = openWireLog(wireFolder, "directory", originNanos);
        eventLog = openWireLog(wireFolder, "events", originNanos);
        EventLoop callerLoop = (EventLoop) group.next();
        List<CallGenerator.CallerClass> callerClasses = new ArrayList<>();
        for (Scenario.CallerClass callerClass : scenario.load().classes()) {
            callerClasses.add(new CallGenerator.CallerClass(
                    callerClass.prefix(),
                    callerClass.share(),
                    callerClass.aim().ms(),
                    callerClass.patience().ms(),
                    callerClass.worth(),
                    callerClass.lateShare(),
                    callerClass.redials()));
        }
        int count = scenario.calculators().count();
        callers = new CallGenerator(
                callerLoop, SUFFIX, callerClasses, r -> r.nextInt(count), seeds.nextLong(), callerLog);
        EventLoop[] calculatorLoops = {(EventLoop) group.next(), (EventLoop) group.next()};
        directory = new DirectoryServer(
                scenario.directory().notice().ms() > 0
                        ? (long) scenario.directory().notice().ms()
                        : 0,
                directoryLog);
        for (int i = 0; i < count; i++) {
            Calculator calculator = new Calculator(
                    calculatorName(i),
                    FIRST_POINT_CODE + i,
                    scenario.calculators().each(),
                    calculatorLoops[i % 2],
                    seeds.nextLong(),
                    this::meanHoldingTimeMs,
                    callers::onCallDropped,
                    calculatorLog);
            calculator.start(LOOPBACK_ANY_PORT, false);
            calculators.add(calculator);
        }
        EventLoop authorityLoop = (EventLoop) group.next();
        for (int i = 0; i < AUTHORITY_COUNT; i++) {
            DnsAuthority authority = new DnsAuthority(SUFFIX, this::hostsOf, RECORD_TTL_S, authorityLoop);
            InetSocketAddress address = authority.start(LOOPBACK_ANY_PORT);
            authorities.add(authority);
            authorityAddresses.add(new Endpoint(address.getHostString(), address.getPort()));
        }
        InetSocketAddress address = directory.start(LOOPBACK_ANY_PORT);
        directoryAddress = new Endpoint(address.getHostString(), address.getPort());
        for (int i = 0; i < count; i++) {
            directory.updateNow(directoryEntry(i), State.RUNNING);
        }
    }

    private WireLog openWireLog(Path folder, String party, long originNanos) throws IOException {
        if (folder == null) {
            return null;
        }
        WireLog log = new WireLog(folder.resolve(party + ".jsonl"), originNanos);
        wireLogs.add(log);
        return log;
    }

    private static String calculatorName(int index) {
        return String.format("calc-%02d.example.org", index);
    }

    /** Returns the hosts of a number: the first choice, whose index the number contains, then the others in order. */
    private List<String> hostsOf(String number) {
        int count = scenario.calculators().count();
        for (Scenario.CallerClass callerClass : scenario.load().classes()) {
            if (number.startsWith(callerClass.prefix())
                    && number.length() == callerClass.prefix().length() + 9) {
                int firstChoice = Integer.parseInt(number.substring(
                        callerClass.prefix().length(), callerClass.prefix().length() + 2));
                List<String> hosts = new ArrayList<>();
                for (int i = 0; i < count && firstChoice < count; i++) {
                    hosts.add(calculatorName((firstChoice + i) % count));
                }
                return hosts;
            }
        }
        return List.of();
    }

    private double meanHoldingTimeMs(String number) {
        return scenario.load().classes().stream()
                .filter(k -> number.startsWith(k.prefix()))
                .mapToDouble(k -> k.hold().ms())
                .findFirst()
                .orElse(1_000);
    }

    /** Returns a number of the first class that resolves. */
    public String exampleNumber() {
        return scenario.load().classes().get(0).prefix() + "000000001";
    }

    /** Returns the settings of a front of this scenario, as an operator would write them. */
    public FrontSettings frontSettings(int frontIndex, Endpoint listen) {
        List<FrontSettings.CallClassSettings> classes = new ArrayList<>();
        List<FrontSettings.NumberRange> numbers = new ArrayList<>();
        for (Scenario.CallerClass callerClass : scenario.load().classes()) {
            classes.add(new FrontSettings.CallClassSettings(
                    callerClass.name(),
                    callerClass.aim(),
                    callerClass.deadline(),
                    callerClass.worth(),
                    callerClass.lateShare()));
            numbers.add(
                    new FrontSettings.NumberRange(callerClass.prefix(), callerClass.name(), callerClass.patience()));
        }
        CalculatorSettings each = scenario.calculators().each();
        return new FrontSettings(
                new FrontSettings.Identity(
                        frontName(frontIndex), FIRST_FRONT_POINT_CODE + frontIndex, scenario.seed() + frontIndex),
                new FrontSettings.EnumSettings(listen, SUFFIX, null, null),
                classes,
                numbers,
                new FrontSettings.Upstream(authorityAddresses, null, null, null, null, null),
                new FrontSettings.Directory(directoryAddress),
                null,
                new FrontSettings.Fleet(
                        scenario.fronts(),
                        4,
                        true,
                        null,
                        0.35,
                        TimeSpan.ms(14_000),
                        each.tipMultiple(),
                        each.tipWindow(),
                        null,
                        null),
                null,
                null);
    }

    /** Returns the name of a front, which contains its point code. */
    public static String frontName(int frontIndex) {
        return "front-" + (FIRST_FRONT_POINT_CODE + frontIndex);
    }

    /** Returns the description of this run for the audit. */
    public RunParameters world(List<RunParameters.FrontAddress> fronts) {
        CalculatorSettings each = scenario.calculators().each();
        List<RunParameters.NumberRange> numbers = scenario.load().classes().stream()
                .map(k -> new RunParameters.NumberRange(k.prefix(), k.patience().ms()))
                .toList();
        List<RunParameters.Calculator> worldCalculators = calculators.stream()
                .map(c -> new RunParameters.Calculator(c.id(), c.pointCode(), each.setUpsPerS()))
                .toList();
        return new RunParameters(
                SUFFIX,
                numbers,
                fronts,
                worldCalculators,
                250,
                each.coldFrom(),
                each.warmWithin().ms(),
                each.tipMultiple(),
                each.tipWindow().ms(),
                300);
    }

    /** Returns the directory entry of a calculator. */
    public DirectoryServer.CalculatorEntry directoryEntry(int index) {
        Calculator calculator = calculators.get(index);
        return new DirectoryServer.CalculatorEntry(
                calculator.id(), index, "127.0.0.1:" + calculator.address().getPort(), calculator.pointCode());
    }

    /** Returns the calculators. */
    public List<Calculator> calculators() {
        return calculators;
    }

    /** Returns the name servers of the ENUM zone. */
    public List<DnsAuthority> authorities() {
        return authorities;
    }

    /** Returns the addresses of the name servers. */
    public List<Endpoint> authorityAddresses() {
        return authorityAddresses;
    }

    /** Returns the pool directory. */
    public DirectoryServer directory() {
        return directory;
    }

    /** Returns the address of the directory. */
    public Endpoint directoryAddress() {
        return directoryAddress;
    }

    /** Returns the call generator. */
    public CallGenerator callers() {
        return callers;
    }

    /**
     * Writes an event that no socket shows to the wire logs.
     *
     * @param party party that it affects
     * @param event kind of line
     * @param detail payload
     */
    public void logEvent(String party, String event, String detail) {
        if (eventLog != null) {
            eventLog.write("scenario", party, event, detail.getBytes(java.nio.charset.StandardCharsets.US_ASCII));
        }
    }

    @Override
    public synchronized void close() {
        if (closed) {
            return;
        }
        closed = true;
        callers.close();
        calculators.forEach(Calculator::close);
        authorities.forEach(DnsAuthority::close);
        directory.close();
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
        for (WireLog log : wireLogs) {
            try {
                log.close();
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }
    }
}
