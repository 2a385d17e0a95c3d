package damsonseam.node;

import damsonseam.core.Router;
import damsonseam.node.InviteParser.SetUpRequest;
import java.util.ArrayDeque;

/**
 * The set-ups of one caller connection that have been read and not passed to the core yet. While more bytes wait in the
 * socket, the caller's close may be among them, so the set-ups wait until the connection has been read to its end, for
 * {@link #MAX_WAIT_MS} at most. Their number is bounded with that of the calls. Used on the event loop only.
 */
final class ReceivedSetUps {
    /** A connection that is not read to its end by then belongs to a caller that sends faster than it is read. */
    private static final double MAX_WAIT_MS = 500;

    /** A set-up that waits; its call is registered already, so that a CANCEL finds it. */
    private record ReceivedSetUp(NodeCall call, SetUpRequest request, double receivedAtMs) {}

    private final CallerListener listener;
    private final ArrayDeque<ReceivedSetUp> waiting = new ArrayDeque<>();
    private long readCount;
    /** Whether a read has filled its buffer, and no event-loop iteration since has found the socket empty. */
    private boolean backlogged;

    private boolean checkScheduled;

    ReceivedSetUps(CallerListener listener) {
        this.listener = listener;
    }

    void add(NodeCall call, SetUpRequest request, double now) {
        waiting.add(new ReceivedSetUp(call, request, now));
    }

    /**
     * Handles that the connection has been read once.
     *
     * @param moreMayWait whether the read filled its buffer, so that more bytes may wait in the socket
     */
    void onReadComplete(boolean moreMayWait) {
        readCount++;
        backlogged |= moreMayWait;
        if (!backlogged || !waiting.isEmpty() && listener.loop().now() - waiting.peek().receivedAtMs > MAX_WAIT_MS) {
            routeAll();
        } else if (!checkScheduled) {
            scheduleCheck();
        }
    }

    /**
     * Checks, once all sockets have been read again, whether anything was left on this one. A read that does not fill
     * its buffer does not show the end of a backlog: the next bytes may be on their way from the sender's buffer.
     */
    private void scheduleCheck() {
        checkScheduled = true;
        long readsBefore = readCount;
        listener.loop().runAfterReads(() -> {
            checkScheduled = false;
            if (readCount == readsBefore) {
                backlogged = false;
                routeAll();
            } else {
                scheduleCheck();
            }
        });
    }

    /** Passes the set-ups that are still pending to the core. */
    void routeAll() {
        if (waiting.isEmpty()) {
            return;
        }
        Router router = listener.router();
        router.advanceClock(listener.loop().now());
        for (ReceivedSetUp setUp = waiting.poll(); setUp != null; setUp = waiting.poll()) {
            if (listener.callRegistry().get(setUp.call.callId) == setUp.call) {
                route(setUp, router);
            }
        }
        listener.loop().scheduleBatchEnd();
    }

    private void route(ReceivedSetUp setUp, Router router) {
        SetUpRequest request = setUp.request;
        double now = router.now();
        listener.callRegistry()
                .attachRecord(
                        setUp.call,
                        router.routedCallReceived(
                                now,
                                request.number(),
                                request.classIndex(),
                                request.destinationCell(),
                                request.patienceMs(),
                                router.maxReadAge(now) + Math.max(0, now - setUp.receivedAtMs),
                                request.redial(),
                                setUp.call));
    }
}
