import java.util.ArrayList;
import java.util.List;

/** Bad peers: answers stop short and connections are reset; a call that is over must still be released. */
final class ReleaseIgnored {
    private static final int NODES = 6;
    /** Share of the set-ups under which the server resets the connection before it answers. */
    private static final double RESET_SHARE = 0.1;
    /** Share of the good answers that stop short; the connection stays open and is of no use any more. */
    private static final double STOP_SHARE = 0.05;
    /** A call that is over must be released within 1 s; "if no release could be sent", within 8 s of its end. */
    private static final long RELEASE_MS = 1000;

    private static final long LAST_RELEASE_MS = 8000;

    private ReleaseIgnored() {}

    public static void main(String[] args) {
        Lab.play(args, ReleaseIgnored::play);
    }

    private static void play(Lab lab) throws Exception {
        // "Each front node reaches all other parties at addresses set aside for that node alone" (BENCH.md).
        List<List<Lab.Server>> serversOfNodes = new ArrayList<>();
        List<Lab.Coordinator> coordinators = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            List<Lab.Server> servers = List.of(lab.new Server(0, 20, 2000), lab.new Server(1, 20, 2000));
            Lab.Coordinator coordinator = lab.new Coordinator();
            lab.new Node("n" + (i + 1), coordinator, servers, 1024);
            serversOfNodes.add(servers);
            coordinators.add(coordinator);
        }
        List<Lab.Callers> callers = new ArrayList<>();
        for (Lab.Node node : lab.nodes) {
            node.awaitReady();
            Lab.Callers nodeCallers = lab.new Callers(node, 2);
            nodeCallers.start(12, false); // 72 calls a second in all, on connections that stay open
            callers.add(nodeCallers);
        }
        Thread.sleep(3000);
        // One of the two servers is taken out of service as planned, also with TROUBLE=0.
        for (int i = 0; i < NODES; i++) {
            coordinators.get(i).tell(serversOfNodes.get(i).get(1), Lab.Coordinator.DRAINING);
        }
        Thread.sleep(1000);
        for (List<Lab.Server> servers : serversOfNodes) {
            servers.get(0).resetShare = Lab.TROUBLE ? RESET_SHARE : 0;
            servers.get(0).stopShare = Lab.TROUBLE ? STOP_SHARE : 0;
        }
        Thread.sleep(60_000);
        for (List<Lab.Server> servers : serversOfNodes) {
            servers.get(0).resetShare = 0;
            servers.get(0).stopShare = 0;
        }
        callers.forEach(nodeCallers -> nodeCallers.stopped = true);
        Thread.sleep(20_000); // All calls are over after 10 s, and 8 s more have passed.

        long end = System.currentTimeMillis();
        int calls = 0;
        int over = 0;
        int late = 0;
        int never = 0;
        for (Lab.Callers nodeCallers : callers) {
            calls += nodeCallers.calls.size();
            for (Lab.Call call : nodeCallers.calls) {
                Long endedAt = serversOfNodes.get(callers.indexOf(nodeCallers)).stream()
                        .map(each -> each.releasedAt.get(call.id))
                        .filter(at -> at != null)
                        .findFirst()
                        .orElse(null);
                if (call.status != 200 || endedAt == null || end - endedAt < LAST_RELEASE_MS + Lab.SLACK_MS) {
                    continue;
                }
                over++;
                if (call.releasedAt == 0) {
                    never++;
                    lab.log("never", call.id + " of " + nodeCallers.node.name + ": its release was written by the server at "
                            + lab.at(endedAt) + ", its caller got none in " + (end - endedAt) + " ms");
                } else if (call.releasedAt - endedAt > RELEASE_MS + Lab.SLACK_MS) {
                    late++;
                    lab.log("late", call.id + " of " + nodeCallers.node.name + ": released "
                            + (call.releasedAt - endedAt) + " ms after the server's release at " + lab.at(endedAt));
                }
            }
        }
        String summary = calls + " calls, " + over + " stood and were released by their server, " + never
                + " of these never released towards their caller, " + late + " more than 1,050 ms late (not judged)";
        if (over == 0 || lab.nodes.stream().anyMatch(node -> !node.process.isAlive())) {
            lab.finish(2, "could not run: " + summary);
        }
        lab.finish(never > 0 ? 1 : 0, (never > 0 ? "BROKEN: " : "held: ") + summary);
    }
}
