import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** For 6 s nothing passes between the front node and a signalling server; its calls go on. */
final class Partition {
    private static final int CUT_OFF_MS = 6000;

    public static void main(String[] args) {
        Rig.run(60, Partition::test);
    }

    /** A server that can be cut off: open connections stay open and silent, new ones never come up. */
    private static final class RemoteServer extends Rig.Server {
        volatile boolean cutOff;
        private final Queue<Runnable> held = new ConcurrentLinkedQueue<>();
        private final List<Socket> backlog = new ArrayList<>();

        RemoteServer(int number) throws java.io.IOException {
            super(number, new ServerSocket(0, 1, Rig.LOOPBACK));
        }

        @Override
        void onMessage(Rig.Conn c, Rig.Msg m) {
            if (cutOff) {
                held.add(() -> super.onMessage(c, m)); // It arrives when the network is whole again.
            } else {
                super.onMessage(c, m);
            }
        }

        void cutOff() throws Exception {
            cutOff = true;
            paused = true;
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

        void rejoin() throws Exception {
            for (Socket s : backlog) {
                s.close();
            }
            paused = false;
            cutOff = false;
            for (Runnable r = held.poll(); r != null; r = held.poll()) {
                r.run();
            }
        }
    }

    private static String test() throws Exception {
        RemoteServer server = new RemoteServer(0x10);
        server.start();
        Rig.Server other = new Rig.Server(0x11);
        other.start();
        Rig.Coordinator coordinator = new Rig.Coordinator(1).start();
        Rig.Node node = new Rig.Node("n0", Rig.settings(Map.of()));
        node.writeConfig(coordinator.port, 1, List.of(server, other));
        Rig.Caller caller = node.startAndConnect("caller");
        String call = caller.establish("simulacion", 3000, 0);
        Rig.need(server.standing.containsKey(call), "the call stands at the first choice");
        Thread.sleep(500);
        if (Rig.TROUBLE) {
            double began = Rig.now();
            Rig.log("partition: nothing passes between the front node and " + server.id);
            server.cutOff();
            Thread.sleep(CUT_OFF_MS - (long) (Rig.now() - began));
            Rig.log("the network is whole again");
            server.rejoin();
        } else {
            Thread.sleep(CUT_OFF_MS);
        }
        // The call goes on; 9 s later its server ends it.
        double end = Rig.now() + 9000;
        Rig.await(9000, () -> caller.byes.containsKey(call) && Rig.now() > end);
        boolean released = caller.byes.containsKey(call);
        boolean stands = server.standing.containsKey(call);
        Rig.log("9 s after that: released to the caller: " + released + ", stands at the server: " + stands);
        if (released && stands) {
            return "the front node told the caller that the call is over; 9 s after the partition it still stands at"
                    + " the server, with no release on its way";
        }
        Rig.need(stands, "the call stands");
        server.release(call, 16);
        return Rig.await(1050, () -> caller.byes.containsKey(call)) ? null : "the server's release was not passed on";
    }
}
