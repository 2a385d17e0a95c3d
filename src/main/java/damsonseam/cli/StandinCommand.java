package damsonseam.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import damsonseam.config.Endpoint;
import damsonseam.directory.wire.State;
import damsonseam.standin.Calculator;
import damsonseam.standin.CalculatorSettings;
import damsonseam.standin.DirectoryServer;
import damsonseam.standin.DnsAuthority;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Runs single stand-ins, for a front that is started by hand. */
@Command(
        name = "standin",
        mixinStandardHelpOptions = true,
        description = "Runs one kind of stand-in on loopback.",
        subcommands = {
            StandinCommand.DnsCommand.class,
            StandinCommand.CalculatorsCommand.class,
            StandinCommand.DirectoryCommand.class
        })
final class StandinCommand implements Runnable {
    private static final int FIRST_POINT_CODE = 1_000;

    @picocli.CommandLine.Spec
    private picocli.CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new picocli.CommandLine.ParameterException(spec.commandLine(), "a kind of stand-in is missing");
    }

    /** Options common to all kinds. */
    static final class SharedOptions {
        @Option(
                names = "--port",
                defaultValue = "0",
                paramLabel = "P",
                description = "Port; 0: chosen by the system. Calculators use this port and the following ones.")
        private int port;

        @Option(names = "--seconds", defaultValue = "0", paramLabel = "N", description = "Run time; 0: until a signal.")
        private double seconds;

        private InetSocketAddress address(int offset) {
            return new InetSocketAddress("127.0.0.1", port == 0 ? 0 : port + offset);
        }

        private void announceAndWait(Object description, ShutdownSignal.StopAction stopAction) throws Exception {
            System.out.println(new ObjectMapper().writeValueAsString(description));
            System.out.flush();
            ShutdownSignal.awaitThenStop(seconds, stopAction);
        }
    }

    /** Runs an authority that answers every number with the given hosts. */
    @Command(name = "dns", mixinStandardHelpOptions = true, description = "Runs an ENUM authority.")
    static final class DnsCommand implements Callable<Integer> {
        @Mixin
        private SharedOptions shared;

        @Option(names = "--suffix", defaultValue = "e164.example.org", paramLabel = "DOMAIN")
        private String suffix;

        @Parameters(paramLabel = "HOST", arity = "1..*", description = "Calculators in order of preference.")
        private List<String> hosts;

        @Override
        public Integer call() throws Exception {
            MultiThreadIoEventLoopGroup group = newEventLoopGroup();
            DnsAuthority authority = new DnsAuthority(suffix, n -> hosts, 60, (EventLoop) group.next());
            InetSocketAddress at = authority.start(shared.address(0));
            shared.announceAndWait(Map.of("dns", "127.0.0.1:" + at.getPort(), "suffix", suffix), () -> {
                authority.close();
                shutDown(group);
            });
            return RootCommand.EXIT_OK;
        }
    }

    /** Runs calculators with default settings. */
    @Command(name = "calculators", mixinStandardHelpOptions = true, description = "Runs calculators.")
    static final class CalculatorsCommand implements Callable<Integer> {
        @Mixin
        private SharedOptions shared;

        @Option(names = "--count", defaultValue = "3", paramLabel = "N")
        private int count;

        @Option(
                names = "--hold",
                defaultValue = "8",
                paramLabel = "SECONDS",
                description = "Mean holding time of a call (default: ${DEFAULT-VALUE}).")
        private double meanHoldS;

        @Override
        public Integer call() throws Exception {
            MultiThreadIoEventLoopGroup group = newEventLoopGroup();
            List<Calculator> calculators = new ArrayList<>();
            Map<String, Object> addresses = new LinkedHashMap<>();
            for (int i = 0; i < count; i++) {
                Calculator calculator = new Calculator(
                        String.format("calc-%02d.example.org", i),
                        FIRST_POINT_CODE + i,
                        CalculatorSettings.defaults(),
                        (EventLoop) group.next(),
                        i,
                        n -> meanHoldS * 1_000,
                        n -> {},
                        null);
                calculator.start(shared.address(i), false);
                calculators.add(calculator);
                addresses.put(
                        calculator.id(),
                        "127.0.0.1:" + calculator.address().getPort() + " pc=" + calculator.pointCode());
            }
            shared.announceAndWait(Map.of("calculators", addresses), () -> {
                calculators.forEach(Calculator::close);
                shutDown(group);
            });
            return RootCommand.EXIT_OK;
        }
    }

    /** Runs a directory of the calculators given on the command line. */
    @Command(name = "directory", mixinStandardHelpOptions = true, description = "Runs a pool directory.")
    static final class DirectoryCommand implements Callable<Integer> {
        @Mixin
        private SharedOptions shared;

        @Parameters(
                paramLabel = "ID=HOST:PORT",
                arity = "1..*",
                description = "Calculators; indexes from 0 and point codes from 1000 are assigned in this order.")
        private Map<String, String> servers;

        @Override
        public Integer call() throws Exception {
            DirectoryServer directory = new DirectoryServer(0, null);
            InetSocketAddress at = directory.start(shared.address(0));
            int serverIndex = 0;
            for (Map.Entry<String, String> server : servers.entrySet()) {
                String address = Endpoint.parse(server.getValue()).toString();
                directory.updateNow(
                        new DirectoryServer.CalculatorEntry(
                                server.getKey(), serverIndex, address, FIRST_POINT_CODE + serverIndex),
                        State.RUNNING);
                serverIndex++;
            }
            shared.announceAndWait(Map.of("directory", "127.0.0.1:" + at.getPort()), directory::close);
            return RootCommand.EXIT_OK;
        }
    }

    private static MultiThreadIoEventLoopGroup newEventLoopGroup() {
        return new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    }

    private static void shutDown(MultiThreadIoEventLoopGroup group) {
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
