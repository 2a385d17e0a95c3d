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

/** Single stand-ins, for a front that is started by hand. */
@Command(
        name = "standin",
        mixinStandardHelpOptions = true,
        description = "Runs one kind of stand-in on loopback.",
        subcommands = {StandinCommand.Dns.class, StandinCommand.Calculators.class, StandinCommand.Directory.class})
final class StandinCommand implements Runnable {
    private static final int FIRST_POINT_CODE = 1_000;

    @picocli.CommandLine.Spec
    private picocli.CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new picocli.CommandLine.ParameterException(spec.commandLine(), "a kind of stand-in is missing");
    }

    /** What all kinds share. */
    static final class Shared {
        @Option(
                names = "--port",
                defaultValue = "0",
                paramLabel = "P",
                description = "Port, 0: the system " + "chooses; calculators take it and those after it.")
        private int port;

        @Option(
                names = "--seconds",
                defaultValue = "0",
                paramLabel = "N",
                description = "End after so long; 0: " + "run until a signal.")
        private double seconds;

        private InetSocketAddress at(int offset) {
            return new InetSocketAddress("127.0.0.1", port == 0 ? 0 : port + offset);
        }

        private void ready(Object what, ShutdownSignal.StopAction end) throws Exception {
            System.out.println(new ObjectMapper().writeValueAsString(what));
            System.out.flush();
            ShutdownSignal.awaitThenStop(seconds, end);
        }
    }

    /** An authority whose numbers all lead to the hosts given. */
    @Command(name = "dns", mixinStandardHelpOptions = true, description = "An ENUM authority.")
    static final class Dns implements Callable<Integer> {
        @Mixin
        private Shared shared;

        @Option(names = "--suffix", defaultValue = "e164.example.org", paramLabel = "DOMAIN")
        private String suffix;

        @Parameters(paramLabel = "HOST", arity = "1..*", description = "Calculators, first choice first.")
        private List<String> hosts;

        @Override
        public Integer call() throws Exception {
            MultiThreadIoEventLoopGroup group = group();
            DnsAuthority authority = new DnsAuthority(suffix, n -> hosts, 60, (EventLoop) group.next());
            InetSocketAddress at = authority.start(shared.at(0));
            shared.ready(Map.of("dns", "127.0.0.1:" + at.getPort(), "suffix", suffix), () -> {
                authority.close();
                stop(group);
            });
            return RootCommand.EXIT_OK;
        }
    }

    /** Calculators of the default kind. */
    @Command(name = "calculators", mixinStandardHelpOptions = true, description = "Calculators.")
    static final class Calculators implements Callable<Integer> {
        @Mixin
        private Shared shared;

        @Option(names = "--count", defaultValue = "3", paramLabel = "N")
        private int count;

        @Option(
                names = "--hold",
                defaultValue = "8",
                paramLabel = "SECONDS",
                description = "Mean length of a " + "call (default: ${DEFAULT-VALUE}).")
        private double hold;

        @Override
        public Integer call() throws Exception {
            MultiThreadIoEventLoopGroup group = group();
            List<Calculator> all = new ArrayList<>();
            Map<String, Object> places = new LinkedHashMap<>();
            for (int i = 0; i < count; i++) {
                Calculator c = new Calculator(
                        String.format("calc-%02d.example.org", i),
                        FIRST_POINT_CODE + i,
                        CalculatorSettings.defaults(),
                        (EventLoop) group.next(),
                        i,
                        n -> hold * 1_000,
                        n -> {},
                        null);
                c.start(shared.at(i), false);
                all.add(c);
                places.put(c.id(), "127.0.0.1:" + c.address().getPort() + " pc=" + c.pointCode());
            }
            shared.ready(Map.of("calculators", places), () -> {
                all.forEach(Calculator::close);
                stop(group);
            });
            return RootCommand.EXIT_OK;
        }
    }

    /** A directory of calculators given on the command line. */
    @Command(name = "directory", mixinStandardHelpOptions = true, description = "A pool directory.")
    static final class Directory implements Callable<Integer> {
        @Mixin
        private Shared shared;

        @Parameters(
                paramLabel = "ID=HOST:PORT",
                arity = "1..*",
                description = "Calculators, numbered from 0, " + "with point codes from 1000 in their order.")
        private Map<String, String> servers;

        @Override
        public Integer call() throws Exception {
            DirectoryServer directory = new DirectoryServer(0, null);
            InetSocketAddress at = directory.start(shared.at(0));
            int number = 0;
            for (Map.Entry<String, String> server : servers.entrySet()) {
                String address = Endpoint.parse(server.getValue()).toString();
                directory.updateNow(
                        new DirectoryServer.CalculatorEntry(
                                server.getKey(), number, address, FIRST_POINT_CODE + number),
                        State.RUNNING);
                number++;
            }
            shared.ready(Map.of("directory", "127.0.0.1:" + at.getPort()), directory::close);
            return RootCommand.EXIT_OK;
        }
    }

    private static MultiThreadIoEventLoopGroup group() {
        return new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    }

    private static void stop(MultiThreadIoEventLoopGroup group) {
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
