package damsonseam.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.sip.SipMessage;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A caller leaves while its set-up is on its way through the node: no attempt begins for it. */
@Timeout(60)
class CallerLeavesTest {
    /** Well beyond the time from a set-up to its attempt. */
    private static final int QUIET_MS = 300;

    /** A way to leave. */
    private interface Leaving {
        void leave(SipSocket caller, SipMessage invite) throws Exception;
    }

    private static void leavesWhileTheLoopStands(Leaving leaving) throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            SipSocket caller = rig.caller();
            SipMessage invite = rig.invite();
            try (AutoCloseable paused = rig.pause()) {
                assertNotNull(paused);
                caller.send(invite);
                leaving.leave(caller, invite);
            }
            assertTrue(server.quiet(QUIET_MS), "an attempt went out for a caller that had left");
            rig.empty();
        }
    }

    @Test
    void byAClose() throws Exception {
        leavesWhileTheLoopStands((caller, invite) -> caller.close());
    }

    @Test
    void byAReset() throws Exception {
        leavesWhileTheLoopStands((caller, invite) -> caller.reset());
    }

    @Test
    void byAHalfClose() throws Exception {
        leavesWhileTheLoopStands((caller, invite) -> caller.halfClose());
    }

    @Test
    void byACancelOnTheSameConnection() throws Exception {
        leavesWhileTheLoopStands((caller, invite) ->
                caller.send(SipMessage.request(SipMessage.CANCEL, invite.requestUri(), invite.callId(), 1)));
    }

    @Test
    void onAConnectionThatIsNotAcceptedYet() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            rig.caller();
            try (AutoCloseable paused = rig.pause()) {
                assertNotNull(paused);
                for (int i = 0; i < 20; i++) {
                    SipSocket late = SipSocket.to(rig.node.address());
                    late.send(rig.invite());
                    late.close();
                }
            }
            assertTrue(server.quiet(QUIET_MS), "an attempt went out for a caller that had left");
            rig.empty();
        }
    }

    @Test
    void behindManyOthersOneCallerIsKnownToHaveLeft() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            List<SipSocket> callers = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                callers.add(rig.caller());
            }
            List<String> stay = new ArrayList<>();
            try (AutoCloseable paused = rig.pause()) {
                assertNotNull(paused);
                for (int i = 0; i < callers.size(); i++) {
                    SipMessage invite = rig.invite();
                    callers.get(i).send(invite);
                    if (i % 3 == 0) {
                        stay.add(invite.callId());
                    } else {
                        callers.get(i).close();
                    }
                }
            }
            // Those that stay are served, one after the other as the server answers; of the others none is heard of.
            for (int i = 0; i < stay.size(); i++) {
                SipMessage seen = server.next("INVITE");
                assertTrue(stay.contains(seen.callId()), "an attempt for a caller that had left");
                server.send(NodeRig.stands(seen));
            }
        }
    }

    @Test
    void betweenTwoAttempts() throws Exception {
        try (NodeRig rig = new NodeRig(1)) {
            SipSocket server = rig.accept(0);
            SipSocket caller = rig.caller();
            caller.send(rig.invite());
            SipMessage first = server.next("INVITE");
            try (AutoCloseable paused = rig.pause()) {
                assertNotNull(paused);
                // The first attempt breaks, its guard runs out and the caller leaves before the loop turns again.
                server.send(SipMessage.response(504, "Reset", first.callId(), first.cseq()));
                Thread.sleep(NodeRig.GUARD_MS + 50);
                caller.close();
            }
            assertNotNull(server.next("ACK"));
            assertTrue(server.quiet(QUIET_MS), "a further attempt for a caller that had left");
            rig.empty();
        }
    }

    @Test
    void whileItsSetUpWaitsForAConnection() throws Exception {
        // A server whose queue is full lets no connection come up: the set-up waits for one.
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<Socket> fillers = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                Socket filler = new Socket();
                try {
                    filler.connect(full.getLocalSocketAddress(), 200);
                } catch (java.net.SocketTimeoutException e) {
                    // Full.
                }
                fillers.add(filler);
            }
            try (NodeRig rig = new NodeRig(List.of(full))) {
                SipSocket caller = rig.caller();
                caller.send(rig.invite());
                caller.close();
                rig.empty();
                assertEquals(0, rig.node.counters().established);
            }
            for (Socket filler : fillers) {
                filler.close();
            }
        }
    }
}
