import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Bad clients report calls with ids that no signalling server knows; usual callers must still be answered. */
final class UnknownIdReports {
    /** "Others connect by hundreds" (DAYS.md). */
    private static final int BAD_CLIENTS = 200;
    /** Descriptors of the node: DAYS.md gives 256 to 1,024. */
    private static final int SOCKETS = 256;

    private UnknownIdReports() {}

    public static void main(String[] args) {
        Lab.play(args, UnknownIdReports::play);
    }

    private static void play(Lab lab) throws Exception {
        List<Lab.Server> servers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            servers.add(lab.new Server(i, 20, 3000));
        }
        Lab.Coordinator coordinator = lab.new Coordinator();
        Lab.Node node = lab.new Node("n1", coordinator, servers, SOCKETS);
        node.awaitReady();
        Lab.Callers callers = lab.new Callers(node, servers.size());
        callers.start(8, true);
        Thread.sleep(5000);
        List<Socket> bad = new ArrayList<>();
        long troubleAt = System.currentTimeMillis();
        if (Lab.TROUBLE) {
            Random random = new Random();
            for (int i = 0; i < BAD_CLIENTS; i++) {
                Socket socket = new Socket();
                socket.connect(node.address, 10_000);
                String id = Lab.newId(random);
                socket.getOutputStream()
                        .write(Lab.message(
                                "INVITE sip:" + Lab.newId(random) + "@net SIP/2.0",
                                "offer of " + id + "\r\n",
                                "Call-ID",
                                id,
                                "CSeq",
                                "1 INVITE",
                                "X-Cos",
                                "simulacion",
                                "X-Timer-Ms",
                                "3000",
                                "X-Legs",
                                "dest:0;width:1;via:-1;at:" + servers.get(i % servers.size()).id));
                lab.log("bad client", "reports unknown call " + id + " at " + servers.get(i % servers.size()).id);
                bad.add(socket);
            }
        }
        Thread.sleep(20_000);
        callers.stopped = true;
        Thread.sleep(4500); // Longer than the longest patience, and the half second.
        // Such a client is owed a refusal, an error or a close within 3 s: reported, not judged here.
        int silent = 0;
        for (Socket socket : bad) {
            silent += isSilent(socket) ? 1 : 0;
        }
        List<Lab.Call> lost = callers.lost();
        for (Lab.Call call : lost) {
            lab.log("lost", call.id + " sent at " + lab.at(call.sentAt) + ", time " + call.timerMs + ", "
                    + (call.status == 0 ? "no answer" : call.status + " after " + call.answerMs()));
        }
        boolean alive = node.process.isAlive();
        String summary = callers.calls.size() + " usual calls, " + callers.served() + " served, " + lost.size()
                + " lost (" + lost.stream().filter(call -> call.sentAt < troubleAt).count() + " of them sent before the"
                + " bad clients), node alive: " + alive + ", bad clients that got nothing in 24 s: " + silent + " of "
                + bad.size();
        if (callers.calls.isEmpty() || callers.served() == 0) {
            lab.finish(2, "could not run: " + summary);
        }
        lab.finish(lost.isEmpty() && alive ? 0 : 1, (lost.isEmpty() ? "held: " : "BROKEN: ") + summary);
    }

    private static boolean isSilent(Socket socket) {
        try {
            socket.setSoTimeout(1);
            socket.getInputStream().read();
            return false; // Data, or the end of the stream.
        } catch (java.net.SocketTimeoutException e) {
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
