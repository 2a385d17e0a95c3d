package damsonseam.node;

import damsonseam.Front.Reason;
import damsonseam.Front.Report;
import damsonseam.Front.Result;
import damsonseam.Front.State;
import damsonseam.core.CallRecord;
import damsonseam.core.ServerList;
import damsonseam.core.RouterPorts;
import damsonseam.core.Router;
import damsonseam.loop.CoreLoop;
import damsonseam.settings.LoadReportParser;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;

/** The ways to the signalling servers, one for each that the list has named and that is still of use. */
final class ServerLinks implements RouterPorts.ServerSignalling {
    private static final RouterPorts.SendFailure UNREACHABLE = new RouterPorts.SendFailure(Result.UNREACHABLE, Reason.NONE);
    private static final double SWEEP_MS = 250;

    /**
     * What all links have in common.
     *
     * @param connectTimeout how long a connection may take, in milliseconds
     * @param room whether there may be one more connection beside the first to each server
     * @param random spreads what fronts would else do in step
     * @param mayProbe whether the settings allow tests
     */
    record Shared(
            CoreLoop loop,
            CallBook book,
            LoadReportParser reports,
            double connectTimeout,
            BooleanSupplier room,
            SplittableRandom random,
            boolean mayProbe) {}

    private final Shared shared;
    private final int mostConnections;
    private final Map<String, ServerLink> links = new HashMap<>();
    private Router router;

    /**
     * No links yet.
     *
     * @param mostConnections connections to all servers that are made at the most beside the first to each
     * @param seed for random numbers
     * @param mayProbe whether the settings allow tests
     */
    ServerLinks(
            CoreLoop loop,
            CallBook book,
            LoadReportParser reports,
            double connectTimeout,
            int mostConnections,
            long seed,
            boolean mayProbe) {
        this.mostConnections = mostConnections;
        shared = new Shared(
                loop,
                book,
                reports,
                connectTimeout,
                () -> links.values().stream().mapToInt(ServerLink::connections).sum() < mostConnections,
                new SplittableRandom(seed),
                mayProbe);
    }

    void start(Router router) {
        this.router = router;
        shared.loop().timers().schedule(shared.loop().now() + SWEEP_MS, this::sweep);
    }

    ServerLink get(String id) {
        return links.get(id);
    }

    int size() {
        return links.size();
    }

    int attempts() {
        return links.values().stream().mapToInt(ServerLink::attempts).sum();
    }

    int carried() {
        return links.values().stream().mapToInt(ServerLink::carried).sum();
    }

    int standing() {
        return links.values().stream().mapToInt(l -> l.standing().size()).sum();
    }

    /** Descriptors kept for servers: the limit, and one for each server where they are more. */
    int reserved() {
        return Math.max(mostConnections, links.size());
    }

    /** Follows the list: new servers get a link, those gone from it lose theirs once their calls are over. */
    void follow(ServerList pool) {
        Set<String> listed = new HashSet<>();
        for (ServerList.Server server : pool.servers()) {
            listed.add(server.id());
            ServerLink link = links.get(server.id());
            if (link == null) {
                // Who listens at this address now is another process: what was there before has ended.
                links.values().stream()
                        .filter(l -> l.address().equals(server.address()))
                        .toList()
                        .forEach(ServerLink::replaced);
                links.put(server.id(), new ServerLink(shared, router, server));
            } else {
                link.update(server);
            }
        }
        links.values().forEach(link -> {
            if (!listed.contains(link.id())) {
                link.unwanted();
            }
        });
    }

    private void sweep(double now) {
        links.values().forEach(link -> link.sweep(now));
        links.values().removeIf(ServerLink::over);
        shared.loop().timers().schedule(now + SWEEP_MS, this::sweep);
    }

    @Override
    public RouterPorts.SendFailure sendSetUp(double now, String server, long call, int attempt, double until, CallRecord record) {
        ServerLink link = links.get(server);
        NodeCall of = shared.book().get(call);
        return link != null && of != null && link.setUp(of, call, attempt, until) ? null : UNREACHABLE;
    }

    @Override
    public double sendRelease(double now, String server, long call, int attempt, boolean timedOut) {
        ServerLink link = links.get(server);
        NodeCall of = shared.book().get(call);
        if (link != null && of != null) {
            link.cancel(of.id, attempt);
        }
        return shared.loop().now();
    }

    @Override
    public void sendProbe(double now, String server) {
        ServerLink link = links.get(server);
        if (link != null) {
            link.probe();
        } else {
            shared.loop().timers().schedule(now, at -> router.probeCompleted(at, server, true, false, 0, Report.NONE));
        }
    }

    /** Whether each running server of the list has been reached, or has been tried in vain. */
    boolean ready() {
        return router.serverList().servers().stream()
                .filter(s -> s.state() == State.RUNNING)
                .allMatch(s -> links.containsKey(s.id()) && links.get(s.id()).tried());
    }

    void close() {
        links.values().forEach(ServerLink::close);
    }
}
