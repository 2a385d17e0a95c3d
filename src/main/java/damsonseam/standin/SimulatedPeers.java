package damsonseam.standin;

import damsonseam.audit.WireLog;
import damsonseam.audit.World;
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

/** All that surrounds the fronts of a scenario, on loopback: calculators, authorities, directory, callers. */
public final class SimulatedPeers implements AutoCloseable {
    /** The domain of the numbers. */
    public static final String SUFFIX = "e164.example.org";

    private static final int FIRST_POINT_CODE = 1_000;
    private static final int FIRST_FRONT_CODE = 5_000;
    private static final int AUTHORITIES = 2;
    private static final long RECORD_TTL_S = 60;
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

    private final Scenario scenario;
    private final MultiThreadIoEventLoopGroup group;
    private final List<Calculator> calculators = new ArrayList<>();
    private final List<DnsAuthority> authorities = new ArrayList<>();
    private final List<Endpoint> authorityAddresses = new ArrayList<>();
    private final List<WireLog> logs = new ArrayList<>();
    private final DirectoryServer directory;
    private final Endpoint directoryAddress;
    private final CallGenerator callers;
    private final WireLog events;
    private boolean closed;

    /** Starts all; wire logs go to {@code wire}, or nowhere if it is null. */
    public SimulatedPeers(Scenario scenario, Path wire) throws IOException, InterruptedException {
        this.scenario = scenario;
        long origin = System.nanoTime();
        // One loop each for callers and authorities, two for calculators: none waits for another's work.
        group = new MultiThreadIoEventLoopGroup(4, NioIoHandler.newFactory());
        SplittableRandom seeds = new SplittableRandom(scenario.seed());
        WireLog callerLog = log(wire, "callers", origin);
        WireLog calculatorLog = log(wire, "calculators", origin);
        WireLog directoryLog = log(wire, "directory", origin);
        events = log(wire, "events", origin);
        EventLoop callerLoop = (EventLoop) group.next();
        List<CallGenerator.CallerClass> kinds = new ArrayList<>();
        for (Scenario.CallerClass k : scenario.load().classes()) {
            kinds.add(new CallGenerator.CallerClass(
                    k.prefix(), k.share(), k.aim().ms(), k.patience().ms(), k.worth(), k.lateShare(), k.redials()));
        }
        int count = scenario.calculators().count();
        callers = new CallGenerator(callerLoop, SUFFIX, kinds, r -> r.nextInt(count), seeds.nextLong(), callerLog);
        EventLoop[] calculatorLoops = {(EventLoop) group.next(), (EventLoop) group.next()};
        directory = new DirectoryServer(
                scenario.directory().notice().ms() > 0
                        ? (long) scenario.directory().notice().ms()
                        : 0,
                directoryLog);
        for (int i = 0; i < count; i++) {
            Calculator c = new Calculator(
                    name(i),
                    FIRST_POINT_CODE + i,
                    scenario.calculators().each(),
                    calculatorLoops[i % 2],
                    seeds.nextLong(),
                    this::meanHold,
                    callers::onCallDropped,
                    calculatorLog);
            c.start(ANY_PORT, false);
            calculators.add(c);
        }
        EventLoop authorityLoop = (EventLoop) group.next();
        for (int i = 0; i < AUTHORITIES; i++) {
            DnsAuthority a = new DnsAuthority(SUFFIX, this::hosts, RECORD_TTL_S, authorityLoop);
            InetSocketAddress at = a.start(ANY_PORT);
            authorities.add(a);
            authorityAddresses.add(new Endpoint(at.getHostString(), at.getPort()));
        }
        InetSocketAddress at = directory.start(ANY_PORT);
        directoryAddress = new Endpoint(at.getHostString(), at.getPort());
        for (int i = 0; i < count; i++) {
            directory.updateNow(directoryEntry(i), State.RUNNING);
        }
    }

    private WireLog log(Path wire, String part, long origin) throws IOException {
        if (wire == null) {
            return null;
        }
        WireLog log = new WireLog(wire.resolve(part + ".jsonl"), origin);
        logs.add(log);
        return log;
    }

    private static String name(int i) {
        return String.format("calc-%02d.example.org", i);
    }

    /** The first choice is in the number, the others follow it. */
    private List<String> hosts(String number) {
        int count = scenario.calculators().count();
        for (Scenario.CallerClass kind : scenario.load().classes()) {
            if (number.startsWith(kind.prefix())
                    && number.length() == kind.prefix().length() + 9) {
                int first = Integer.parseInt(
                        number.substring(kind.prefix().length(), kind.prefix().length() + 2));
                List<String> hosts = new ArrayList<>();
                for (int i = 0; i < count && first < count; i++) {
                    hosts.add(name((first + i) % count));
                }
                return hosts;
            }
        }
        return List.of();
    }

    private double meanHold(String number) {
        return scenario.load().classes().stream()
                .filter(k -> number.startsWith(k.prefix()))
                .mapToDouble(k -> k.hold().ms())
                .findFirst()
                .orElse(1_000);
    }

    /** A number that resolves, of the first class. */
    public String exampleNumber() {
        return scenario.load().classes().get(0).prefix() + "000000001";
    }

    /** Settings for a front of this scenario; they are what an operator would write. */
    public FrontSettings frontSettings(int ordinal, Endpoint listen) {
        List<FrontSettings.CallClassSettings> classes = new ArrayList<>();
        List<FrontSettings.NumberRange> numbers = new ArrayList<>();
        for (Scenario.CallerClass k : scenario.load().classes()) {
            classes.add(new FrontSettings.CallClassSettings(k.name(), k.aim(), k.deadline(), k.worth(), k.lateShare()));
            numbers.add(new FrontSettings.NumberRange(k.prefix(), k.name(), k.patience()));
        }
        CalculatorSettings each = scenario.calculators().each();
        return new FrontSettings(
                new FrontSettings.Identity(frontName(ordinal), FIRST_FRONT_CODE + ordinal, scenario.seed() + ordinal),
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

    /** The name of a front, as its point code tells it too. */
    public static String frontName(int ordinal) {
        return "front-" + (FIRST_FRONT_CODE + ordinal);
    }

    /** What the auditor must know of this run. */
    public World world(List<World.FrontAt> fronts) {
        CalculatorSettings each = scenario.calculators().each();
        List<World.Numbers> numbers = scenario.load().classes().stream()
                .map(k -> new World.Numbers(k.prefix(), k.patience().ms()))
                .toList();
        List<World.Calculator> all = calculators.stream()
                .map(c -> new World.Calculator(c.id(), c.pointCode(), each.setUpsPerS()))
                .toList();
        return new World(
                SUFFIX,
                numbers,
                fronts,
                all,
                250,
                each.coldFrom(),
                each.warmWithin().ms(),
                each.tipMultiple(),
                each.tipWindow().ms(),
                300);
    }

    /** A calculator as the directory lists it. */
    public DirectoryServer.CalculatorEntry directoryEntry(int i) {
        Calculator c = calculators.get(i);
        return new DirectoryServer.CalculatorEntry(
                c.id(), i, "127.0.0.1:" + c.address().getPort(), c.pointCode());
    }

    /** The calculators. */
    public List<Calculator> calculators() {
        return calculators;
    }

    /** The authorities of the numbers. */
    public List<DnsAuthority> authorities() {
        return authorities;
    }

    /** Where the authorities are. */
    public List<Endpoint> authorityAddresses() {
        return authorityAddresses;
    }

    /** The pool directory. */
    public DirectoryServer directory() {
        return directory;
    }

    /** Where the directory is. */
    public Endpoint directoryAddress() {
        return directoryAddress;
    }

    /** The callers. */
    public CallGenerator callers() {
        return callers;
    }

    /** Writes an event that no socket shows into the wire logs. */
    public void logEvent(String to, String what, String detail) {
        if (events != null) {
            events.write("scenario", to, what, detail.getBytes(java.nio.charset.StandardCharsets.US_ASCII));
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
        for (WireLog log : logs) {
            try {
                log.close();
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }
    }
}
