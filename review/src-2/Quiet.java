import java.util.List;
import java.util.Map;

/** A call stands through a quiet time at a server that may not be probed. */
final class Quiet {
    private static final int CALL_S = 30;

    public static void main(String[] args) {
        Rig.run(100, Quiet::test);
    }

    private static String test() throws Exception {
        Rig.Server server = new Rig.Server(0x10);
        server.start();
        Rig.Coordinator coordinator = new Rig.Coordinator(1).start();
        Rig.Node node = new Rig.Node("n0", Rig.settings(Map.of(
                "mayProbe", "false",
                "guard", "200.0",
                "tipMultiple", "2.5",
                "classes", "quote-call 1200.0 9000.0 1.0,assist-call 1500.0 9000.0 3.0")));
        node.writeConfig(coordinator.port, 1, List.of(server));
        Rig.Caller caller = node.startAndConnect("caller");
        String call = caller.establish("quote-call", 3000, 0);
        double until = Rig.now() + CALL_S * 1000;
        Rig.log("the call stands; the server will end it after " + CALL_S + " s");
        while (Rig.now() < until && !caller.byes.containsKey(call)) {
            if (!Rig.TROUBLE) {
                // No quiet time: other calls come and go, and the server tells its free circuits each time.
                caller.bye(caller.establish("quote-call", 3000, 0));
            }
            Thread.sleep(500);
        }
        if (caller.byes.containsKey(call)) {
            Thread.sleep(2000);
            return "the front node released the call after "
                    + Math.round(caller.byes.get(call) - caller.answeredAt.get(call)) + " ms with "
                    + caller.byeReasons.get(call) + "; it still stands at the server: "
                    + server.standing.containsKey(call);
        }
        server.release(call, 16);
        Rig.need(Rig.await(1050, () -> caller.byes.containsKey(call)), "the release by the server passed on");
        return null;
    }
}
