import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An answer never comes, and its connection stays open without being of use; a caller of another call hangs up. */
final class LostBye {
    public static void main(String[] args) {
        Rig.run(60, LostBye::test);
    }

    /** Runs one set-up without answering it, and heeds nothing more on that connection. */
    private static final class SilentServer extends Rig.Server {
        private final Set<Rig.Conn> useless = ConcurrentHashMap.newKeySet();
        volatile String unanswered;

        SilentServer(int number) throws java.io.IOException {
            super(number);
        }

        @Override
        void onMessage(Rig.Conn c, Rig.Msg m) {
            if (Rig.TROUBLE && m.isRequest() && m.id().equals(unanswered) && m.method().equals("INVITE")) {
                Rig.log(c.name + " runs " + m + "; the answer never comes, the connection is no longer of use");
                useless.add(c);
            } else if (useless.contains(c)) {
                Rig.log(c.name + " does not heed " + m);
            } else {
                super.onMessage(c, m);
            }
        }
    }

    private static String test() throws Exception {
        SilentServer server = new SilentServer(0x10);
        server.start();
        Rig.Coordinator coordinator = new Rig.Coordinator(1).start();
        Rig.Node node = new Rig.Node("n0", Rig.settings(Map.of()));
        node.writeConfig(coordinator.port, 1, List.of(server));
        Rig.Caller caller = node.startAndConnect("caller");
        String call = caller.establish("simulacion", 3000, 0);
        Thread.sleep(500);
        String other = Rig.Caller.newId();
        server.unanswered = other;
        caller.conn.send(Rig.Caller.invite(other, "simulacion", 1500, "dest:0;width:1;via:-1"));
        Thread.sleep(500);
        caller.bye(call);
        Rig.need(Rig.await(1000, () -> caller.byeOks > 0), "200 to the release");
        double released = Rig.now();
        Rig.need(Rig.await(2500, () -> caller.answers.containsKey(other)), "an answer to the other call");
        if (Rig.await(8_050 - (long) (Rig.now() - released), () -> !server.standing.containsKey(call))) {
            return null;
        }
        return "call " + call + " stands at the server " + Math.round(Rig.now() - released)
                + " ms after its caller's release was answered with 200";
    }
}
