package damsonseam.front;

import damsonseam.RoutingPolicy.AttemptStatus;
import damsonseam.RoutingPolicy.RejectReason;
import damsonseam.RoutingPolicy.ServerLoadReport;
import damsonseam.RoutingPolicy.ServerState;
import damsonseam.config.FrontSettings;
import damsonseam.core.CallRecord;
import damsonseam.core.Router;
import damsonseam.core.RouterPorts;
import damsonseam.core.ServerList;
import damsonseam.loop.CoreLoop;
import damsonseam.ss7.IsupMessage;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The trunk groups of one front: one per server on the list, and those of removed servers until their calls are
 * released. Confined to the event loop.
 */
final class TrunkLinks implements RouterPorts.ServerSignalling {
    /** Calling party's category "ordinary calling subscriber" (Q.763 3.11). */
    private static final int ORDINARY_SUBSCRIBER = 0x0a;

    private static final RouterPorts.SendFailure UNREACHABLE =
            new RouterPorts.SendFailure(AttemptStatus.UNREACHABLE, RejectReason.NONE);
    private static final RouterPorts.SendFailure NO_LINE =
            new RouterPorts.SendFailure(AttemptStatus.FULL, RejectReason.NO_LINE);

    private final CoreLoop loop;
    private final FrontSettings settings;
    private final Map<String, TrunkLink> links = new HashMap<>();
    private Router router;

    TrunkLinks(CoreLoop loop, FrontSettings settings) {
        this.loop = loop;
        this.settings = settings;
    }

    void start(Router router) {
        this.router = router;
    }

    /** Applies a server-list update: new servers get a link, removed ones lose theirs once their calls are released. */
    void applyServerList(ServerList serverList) {
        Set<String> listed = new HashSet<>();
        for (ServerList.Server server : serverList.servers()) {
            listed.add(server.id());
            TrunkLink link = links.get(server.id());
            if (link == null) {
                links.put(server.id(), new TrunkLink(loop, router, settings, server));
            } else {
                link.onListed(server);
            }
        }
        links.forEach((id, link) -> {
            if (!listed.contains(id)) {
                link.onDelisted();
            }
        });
        links.values().removeIf(TrunkLink::isObsolete);
    }

    @Override
    public RouterPorts.SendFailure sendSetUp(
            double now, String serverId, long callId, int attempt, double giveUpAt, CallRecord record) {
        TrunkLink link = links.get(serverId);
        if (link == null || !link.isUsable()) {
            return UNREACHABLE;
        }
        return link.setUp(callId, attempt, record.number(), ORDINARY_SUBSCRIBER) ? null : NO_LINE;
    }

    @Override
    public double sendRelease(double now, String serverId, long callId, int attempt, boolean timedOut) {
        TrunkLink link = links.get(serverId);
        if (link != null) {
            link.release(
                    now,
                    callId,
                    attempt,
                    timedOut ? IsupMessage.RECOVERY_ON_TIMER_EXPIRY : IsupMessage.NORMAL_CLEARING);
            link.flush();
        }
        return loop.now();
    }

    @Override
    public void sendProbe(double now, String serverId) {
        TrunkLink link = links.get(serverId);
        if (link != null && link.isUsable()) {
            link.probe(now);
        } else {
            loop.timers()
                    .schedule(now, at -> router.probeCompleted(at, serverId, true, false, 0, ServerLoadReport.NONE));
        }
    }

    /** Flushes the messages written in this event-loop iteration. */
    void flush() {
        links.values().forEach(TrunkLink::flush);
    }

    /** Returns whether all running servers of the list are reachable; false while the list is empty. */
    boolean isReady() {
        return !links.isEmpty()
                && router.serverList().servers().stream()
                        .filter(s -> s.state() == ServerState.RUNNING)
                        .allMatch(s ->
                                links.containsKey(s.id()) && links.get(s.id()).isUsable());
    }

    void close() {
        links.values().forEach(TrunkLink::close);
    }
}
