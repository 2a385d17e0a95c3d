package damsonseam.core;

import damsonseam.RoutingPolicy.AttemptStatus;
import damsonseam.RoutingPolicy.RejectReason;

/**
 * The interfaces through which the {@link Router} uses the sockets around it. They are called from the core's thread
 * only. Their results arrive later as events of the router, never from within the call.
 */
public final class RouterPorts {

    private RouterPorts() {}

    /** Looks up numbers. */
    @FunctionalInterface
    public interface NumberLookup {
        /** Starts a lookup; {@link Router#lookupCompleted} must follow by {@code deadline}. */
        void lookUp(long callId, String number, double deadline);
    }

    /** Signalling with the servers: set-ups, releases and probes. */
    public interface ServerSignalling {
        /**
         * Seizes a circuit and sends a set-up.
         *
         * @param giveUpAt when the attempt will be given up
         * @return null if the set-up was sent, otherwise the reason; the server then certainly never received it
         */
        SendFailure sendSetUp(
                double now, String serverId, long callId, int attempt, double giveUpAt, CallRecord record);

        /**
         * Releases an attempt. {@link Router#releaseConfirmed} follows when the server has confirmed the release, which
         * may never happen.
         *
         * @param timedOut whether the attempt is released because the server did not answer in time
         * @return when the release was sent, which may be later than {@code now}
         */
        double sendRelease(double now, String serverId, long callId, int attempt, boolean timedOut);

        /** Sends a probe to a server; {@link Router#probeCompleted} must follow. */
        void sendProbe(double now, String serverId);
    }

    /** The status and the reason reported for an attempt whose set-up could not be sent. */
    public record SendFailure(AttemptStatus status, RejectReason reason) {}

    /** The caller's side of one call; notified of its final answer at most once. */
    @FunctionalInterface
    public interface Caller {
        /** Delivers the final answer of the call to its caller. */
        void onFinalAnswer(double now, CallRecord call, FinalAnswer answer);
    }

    /** The pool directory, used at the routing policy's request. */
    public interface Directory {
        /** Requests the full server list once. */
        void requestServerList();

        /** Subscribes to server-list updates. */
        void subscribeToUpdates();
    }
}
