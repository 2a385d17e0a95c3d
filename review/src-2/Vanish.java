import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The machine of a signalling server vanishes for 3.9 s and returns cold; the list tells its new start after 10 s. */
final class Vanish {
    private static final int AWAY_MS = 3900;
    private static final int TOLD_AFTER_MS = 10_000;

    public static void main(String[] args) {
        Rig.run(60, Vanish::test);
    }

    /** A server whose machine can be cut off: open connections stay silent, new ones never come up. */
    private static final class VanishingServer extends Rig.Server {
        volatile boolean away;
        private final List<Socket> backlog = new ArrayList<>();

        VanishingServer(int number) throws java.io.IOException {
            super(number, new ServerSocket(0, 1, Rig.LOOPBACK));
        }

        @Override
        void onMessage(Rig.Conn c, Rig.Msg m) {
            if (!away) {
                super.onMessage(c, m);
            }
        }

        void vanish() throws Exception {
            away = true;
            paused = true;
            standing.clear();
            // With its queue full, the listener heeds no further connection.
            for (int i = 0; i < 5; i++) {
                Socket s = new Socket();
                backlog.add(s);
                try {
                    s.connect(listener.getLocalSocketAddress(), 100);
                } catch (java.net.SocketTimeoutException e) {
                    break;
                }
            }
        }

        void comeBack() throws Exception {
            List<Rig.Conn> old = List.copyOf(conns);
            for (Socket s : backlog) {
                s.close();
            }
            paused = false;
            Thread.sleep(50); // The listener's queue is empty again: it takes new connections.
            away = false;
            // The new process knows nothing of the old connections.
            old.forEach(Rig.Conn::reset);
        }
    }

    private static String test() throws Exception {
        VanishingServer server = new VanishingServer(0x10);
        server.start();
        Rig.Coordinator coordinator = new Rig.Coordinator(1).start();
        Rig.Node node = new Rig.Node("n0", Rig.settings(Map.of()));
        node.writeConfig(coordinator.port, 1, List.of(server));
        Rig.Caller caller = node.startAndConnect("caller");
        String call = caller.establish("simulacion", 3000, 0);
        Thread.sleep(500);
        double ended = Rig.now();
        if (Rig.TROUBLE) {
            Rig.log("the machine of " + server.id + " vanishes, its calls have ended");
            server.vanish();
            Thread.sleep(AWAY_MS - (long) (Rig.now() - ended));
            Rig.log("it is back, cold");
            long startedAt = System.currentTimeMillis();
            server.comeBack();
            Rig.await(TOLD_AFTER_MS - (long) (Rig.now() - ended), () -> caller.byes.containsKey(call));
            coordinator.tell(server, 0, 0, startedAt);
            Rig.await(3000, () -> caller.byes.containsKey(call));
        } else {
            server.release(call, 16);
            Rig.await(8050, () -> caller.byes.containsKey(call));
        }
        double after = caller.byes.getOrDefault(call, Double.MAX_VALUE) - ended;
        Rig.log("released to the caller " + (after > 1e9 ? "never" : Math.round(after) + " ms after the call's end"));
        return after <= 8050 ? null : "released " + (after > 1e9 ? "never" : "after " + Math.round(after) + " ms");
    }
}
