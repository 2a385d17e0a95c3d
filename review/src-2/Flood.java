import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Bad clients send hundreds of large requests each, for three seconds, beside usual clients that make calls. When the
 * bad clients have gone, usual clients call again.
 */
final class Flood {
    private static final int BAD_CLIENTS = 80;
    private static final int REQUESTS = 300;
    private static final int GAP_MS = 10;
    /** A message of less than 16 KiB. */
    private static final int BODY_BYTES = 15_500;

    private static final int TIMER_MS = 2000;
    /** Half a second in which a late answer only earns nothing, and 50 ms by which each limit is longer. */
    private static final int SLACK_MS = 550;

    public static void main(String[] args) {
        Rig.run(100, Flood::test);
    }

    private static String test() throws Exception {
        Rig.Server server = new Rig.Server(0x10);
        server.total = 4000;
        server.quiet = true;
        server.start();
        Rig.Coordinator coordinator = new Rig.Coordinator(1).start();
        Rig.Node node = new Rig.Node("n0", Rig.settings(Map.of()));
        node.sockets = 1024;
        node.memoryMb = 192;
        node.writeConfig(coordinator.port, 1, List.of(server));
        Rig.Caller first = node.startAndConnect("first");
        first.bye(first.establish("simulacion", 3000, 0));
        List<Rig.Caller> usual = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            Rig.Caller caller = new Rig.Caller("usual" + i, node.port).start();
            caller.bye(caller.establish("simulacion", 3000, 0));
            usual.add(caller);
        }
        List<Rig.Caller> bad = new ArrayList<>();
        for (int i = 0; i < BAD_CLIENTS && Rig.TROUBLE; i++) {
            Rig.Caller client = new Rig.Caller("bad" + i, node.port);
            client.conn.quiet = true;
            bad.add(client.start());
            Thread sender = new Thread(() -> {
                for (int k = 0; k < REQUESTS; k++) {
                    try {
                        Thread.sleep(GAP_MS);
                    } catch (InterruptedException e) {
                        return;
                    }
                    Rig.Msg m = Rig.Caller.invite(Rig.Caller.newId(), "simulacion", 3000, "dest:0;width:1;via:-1");
                    if (!client.conn.sendRaw(m.body(new byte[BODY_BYTES]).bytes())) {
                        return;
                    }
                }
                Rig.log(client.conn.name + " has sent " + REQUESTS + " requests of " + BODY_BYTES + " bytes each");
            });
            sender.setDaemon(true);
            sender.start();
        }
        Map<String, Rig.Caller> sent = new LinkedHashMap<>();
        Map<String, Double> sentAt = new HashMap<>();
        for (int i = 0; i < 160; i++) {
            Rig.Caller caller = usual.get(i % usual.size());
            if (!caller.conn.open) {
                caller = new Rig.Caller("usual" + i + "-again", node.port).start();
                usual.set(i % usual.size(), caller);
            }
            String id = caller.setUp("tasacion-firma", TIMER_MS, 0);
            sentAt.put(id, Rig.now());
            sent.put(id, caller);
            Thread.sleep(25);
        }
        Thread.sleep(TIMER_MS + SLACK_MS + 200);
        int badAnswered = bad.stream().mapToInt(b -> b.finals.size()).sum();
        bad.forEach(b -> b.conn.close());
        Rig.log("the bad clients have closed their connections");
        Thread.sleep(10_000);
        int again = 0;
        for (int i = 0; i < 4; i++) {
            // Before the limit of a caller's patience each of these needs a final answer, too.
            Rig.Caller caller = new Rig.Caller("later" + i, node.port).start();
            String id = caller.setUp("tasacion-firma", TIMER_MS, 0);
            if (Rig.await(TIMER_MS + SLACK_MS, () -> caller.answers.containsKey(id))) {
                again++;
            }
        }
        int none = 0;
        int late = 0;
        int served = 0;
        int refused = 0;
        for (Map.Entry<String, Rig.Caller> e : sent.entrySet()) {
            Rig.Msg answer = e.getValue().answers.get(e.getKey());
            if (answer == null) {
                none++;
                Rig.log("no answer to " + e.getKey() + " of " + e.getValue().conn.name);
                continue;
            }
            double took = e.getValue().answeredAt.get(e.getKey()) - sentAt.get(e.getKey());
            if (took > TIMER_MS + SLACK_MS) {
                late++;
                Rig.log("answer to " + e.getKey() + " after " + Math.round(took) + " ms");
            } else if (answer.status() == 200) {
                served++;
            } else {
                refused++;
            }
        }
        String result = sent.size() + " calls of usual clients: " + none + " without an answer, " + late
                + " answered later than " + (TIMER_MS + SLACK_MS) + " ms, " + served + " served, " + refused
                + " refused or failed in time; process alive: " + node.process.isAlive() + "; answers to bad clients: "
                + badAnswered + "; 10 s after these had gone, " + again + " of 4 calls were answered";
        Rig.log("the server ran " + server.setUpTimes.size() + " set-ups, of them "
                + sent.keySet().stream().filter(server.ran::containsKey).count() + " of the " + sent.size()
                + " calls of usual clients; the bad clients' connections and the server's are not recorded one by one");
        Rig.log(result);
        return none + late > 0 || again < 4 || !node.process.isAlive() ? result : null;
    }
}
