import java.util.ArrayList;
import java.util.List;

/** The coordinator is slow to serve a new watch when a front node starts; drains must be kept all the same. */
final class SlowDiscovery {
    /** From the request of a new watch to its first frame; the pages count on 4 s after a move or a stop. */
    private static final long SERVE_AFTER_MS = 2000;
    /** From the start of the calls to the drain: over twice these 4 s. */
    private static final long DRAIN_AFTER_MS = 10_000;

    private static final long DRAIN_GRACE_MS = 250;

    private SlowDiscovery() {}

    public static void main(String[] args) {
        Lab.play(args, SlowDiscovery::play);
    }

    private static void play(Lab lab) throws Exception {
        List<Lab.Server> servers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            servers.add(lab.new Server(i, 20, 5000));
        }
        Lab.Coordinator coordinator = lab.new Coordinator();
        coordinator.serveAfterMs = Lab.TROUBLE ? SERVE_AFTER_MS : 0;
        Lab.Node node = lab.new Node("n1", coordinator, servers, 1024);
        node.awaitReady();
        Lab.Callers callers = lab.new Callers(node, servers.size());
        callers.start(12, false);
        Thread.sleep(DRAIN_AFTER_MS);
        Lab.Server draining = servers.get(1);
        long toldAt = coordinator.tell(draining, Lab.Coordinator.DRAINING);
        Thread.sleep(12_000);
        callers.stopped = true;
        Thread.sleep(3000);

        long before = draining.arrivals.stream().filter(set -> set.at() <= toldAt).count();
        int late = 0;
        long last = 0;
        for (Lab.Arrival arrival : draining.arrivals) {
            if (arrival.at() > toldAt + DRAIN_GRACE_MS + Lab.SLACK_MS) {
                late++;
                last = arrival.at() - toldAt;
                lab.log("late", arrival.callId() + " reached " + draining.id + " " + last + " ms after the drain");
            }
        }
        String summary = callers.served() + " calls served, " + before + " set-ups to " + draining.id
                + " before the drain, " + late + " set-ups later than " + (DRAIN_GRACE_MS + Lab.SLACK_MS)
                + " ms after it was told, the last " + last + " ms after; " + coordinator.requests()
                + " watches asked for";
        if (before == 0 || !node.process.isAlive()) {
            lab.finish(2, "could not run: " + summary);
        }
        lab.finish(late > 0 ? 1 : 0, (late > 0 ? "BROKEN: " : "held: ") + summary);
    }
}
