package damsonseam;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;

/**
 * Decides for one front which server gets each call. Each method of this interface reports one event to the policy;
 * the policy responds through {@link PolicyActions}, during the call that reports the event or not at all.
 *
 * <p>{@code now} is the front's own clock in milliseconds; its origin is arbitrary and it never runs backwards. All
 * durations are in milliseconds, too. An empty optional value was not given.
 *
 * <p>An instance serves one front and is confined to the thread of that front; it starts no threads and reads no clock.
 */
public interface RoutingPolicy {

    /**
     * Reports an update of the server list.
     *
     * @param full whether {@code entries} replaces the whole list; otherwise it holds the changed entries
     */
    void onServerListUpdate(double now, boolean full, List<ServerEntry> entries);

    /** Reports that a request for the server list or for its changes failed; the present list remains valid. */
    void onServerListFailure(double now);

    /** Reports a call offered to this front, which must refuse it, fail it or establish it. */
    void onCallOffered(double now, Call call);

    /**
     * Reports that an attempt succeeded and the call is established.
     *
     * @param delay time from the set-up to its answer, in milliseconds
     */
    void onCallEstablished(double now, long callId, String serverId, int attempt, double delay);

    /** Reports the outcome of an attempt, or the release of an established call. */
    void onAttemptOutcome(double now, AttemptOutcome outcome);

    /** Reports that the caller abandoned the call; it needs no answer any more. */
    void onCallAbandoned(double now, long callId);

    /**
     * Reports the result of a probe, or a load report that arrived unsolicited.
     *
     * @param requested whether this front had sent a probe; false for an unsolicited report
     * @param answered whether the server answered the probe
     * @param delay time from the probe to its result, in milliseconds
     */
    void onProbeResult(
            double now, String serverId, boolean requested, boolean answered, double delay, ServerLoadReport report);

    /** Reports a message from another front. */
    void onMessage(double now, int from, byte[] body);

    /** Reports that a timer started by {@link PolicyActions#startTimer} has expired. */
    void onTimer(double now, long token);

    /**
     * Ends a batch of simultaneous events. The policy sends and cancels only here, so that it never acts on part of
     * a batch. Call it after each event, or after all events of one instant.
     */
    void onBatchEnd(double now);

    /** Whether a server accepts calls. */
    enum ServerState {
        RUNNING,
        DRAINING,
        GONE
    }

    /** How an attempt ended. */
    enum AttemptStatus {
        COMPLETED,
        ERROR,
        FULL,
        TIMED_OUT,
        UNREACHABLE,
        RESET,
        CANCELLED,
        NOT_SENT
    }

    /** Why a server rejected a call, if its answer gives a reason. */
    enum RejectReason {
        NONE,
        NO_LINE,
        BEYOND_FULL,
        PROCESSOR_FULL,
        NUMBER_BUSY
    }

    /**
     * One server of the server list.
     *
     * @param id unique name of the server process
     * @param index index by which calls and classes refer to the server
     * @param startedAt start of the process on the front's clock, in milliseconds
     * @param state whether the server accepts calls
     */
    record ServerEntry(String id, int index, OptionalDouble startedAt, ServerState state) {}

    /**
     * A call offered to this front.
     *
     * @param id id of the call, unique within the front
     * @param number dialled number
     * @param callClass index of the call's class in {@link PolicySettings#classes}
     * @param firstChoiceIndex index of the preferred server, or -1 for none
     * @param timeLeft time until the caller gives up this attempt to call, in milliseconds
     * @param redialled whether the call is marked as a redial
     * @param inTransit whether the call must go to its first choice and to no other server
     * @param allowedServers indexes of the servers that the call may use; empty if any server of its class will do
     */
    record Call(
            long id,
            String number,
            int callClass,
            int firstChoiceIndex,
            double timeLeft,
            boolean redialled,
            boolean inTransit,
            List<Integer> allowedServers) {
        /** Creates a call that may use any server of its class. */
        public Call(
                long id,
                String number,
                int callClass,
                int firstChoiceIndex,
                double timeLeft,
                boolean redialled,
                boolean inTransit) {
            this(id, number, callClass, firstChoiceIndex, timeLeft, redialled, inTransit, List.of());
        }
    }

    /**
     * The outcome of an attempt, or the release of an established call.
     *
     * @param callId id of the call
     * @param serverId id of the server that the attempt went to
     * @param attempt index of the attempt within its call, from 0
     * @param delay time from the set-up to the outcome, in milliseconds
     * @param status how the attempt ended
     * @param reason reason that the server gave for a rejection
     * @param retryAfter time for which the server asks not to be tried again, in milliseconds
     * @param terminal whether the call is over; otherwise its final answer is still pending
     * @param report load report that came with the outcome
     */
    record AttemptOutcome(
            long callId,
            String serverId,
            int attempt,
            double delay,
            AttemptStatus status,
            RejectReason reason,
            OptionalDouble retryAfter,
            boolean terminal,
            ServerLoadReport report) {}

    /**
     * A server's report of its own load. It is late and inexact; figures that were not reported are empty.
     *
     * @param freeLines number of free lines
     * @param lines number of all lines
     * @param processorWait wait for the processor, in milliseconds
     * @param utilization share of time that the processor is busy
     * @param queueLength number of set-ups that wait
     */
    record ServerLoadReport(
            OptionalDouble freeLines,
            OptionalDouble lines,
            OptionalDouble processorWait,
            OptionalDouble utilization,
            OptionalDouble queueLength) {
        /** A report without any figures. */
        public static final ServerLoadReport NONE = new ServerLoadReport(
                OptionalDouble.empty(),
                OptionalDouble.empty(),
                OptionalDouble.empty(),
                OptionalDouble.empty(),
                OptionalDouble.empty());
    }

    /**
     * A class of calls.
     *
     * @param aim time to an answer within which a call earns its full worth, in milliseconds
     * @param deadline time after which callers of the class give up, in milliseconds
     * @param worth worth of a call answered within its aim
     * @param lateShare share of the worth that a call earns after its aim
     * @param allowedServers indexes of the servers that the class may use; empty if any server will do
     */
    record CallClass(
            OptionalDouble aim,
            OptionalDouble deadline,
            OptionalDouble worth,
            OptionalDouble lateShare,
            Optional<List<Integer>> allowedServers) {}

    /**
     * Settings that are known when the front starts.
     *
     * @param seed seed of all random choices
     * @param fronts number of fronts that share the servers
     * @param classes classes of calls
     * @param ownIndex index that denotes this front itself; no call may go to it
     * @param maxAttempts maximum number of attempts per call
     * @param mayCancel whether the policy may cancel attempts
     * @param mayProbe whether the policy may send probes
     * @param mayMessage whether the policy may send messages to other fronts
     * @param serverListOnRequest whether the server list must be requested
     * @param tick resolution of the front's timers, in milliseconds
     * @param answerSlack tolerance for late final answers, in milliseconds
     * @param drainGracePeriod time within which set-ups to a draining or gone server must stop, in milliseconds
     * @param coldCapacityShare share of its capacity that a server has right after its start
     * @param warmUpTime time from the start of a server to its full capacity, in milliseconds
     * @param overloadMultiple multiple of its capacity that makes a cold server fail when it is offered that
     * @param overloadWindow time for which it must be offered that, in milliseconds
     * @param releaseGuard guard time after an unanswered attempt, in milliseconds
     * @param retransmitAfter time after which an unanswered set-up is retransmitted, in milliseconds
     * @param maxRetryAfter longest time for which a refused caller may be advised not to redial, in milliseconds
     */
    record PolicySettings(
            long seed,
            OptionalInt fronts,
            List<CallClass> classes,
            OptionalInt ownIndex,
            OptionalInt maxAttempts,
            Optional<Boolean> mayCancel,
            Optional<Boolean> mayProbe,
            Optional<Boolean> mayMessage,
            Optional<Boolean> serverListOnRequest,
            OptionalDouble tick,
            OptionalDouble answerSlack,
            OptionalDouble drainGracePeriod,
            OptionalDouble coldCapacityShare,
            OptionalDouble warmUpTime,
            OptionalDouble overloadMultiple,
            OptionalDouble overloadWindow,
            OptionalDouble releaseGuard,
            OptionalDouble retransmitAfter,
            OptionalDouble maxRetryAfter) {}

    /** Actions that a policy requests from its front. */
    interface PolicyActions {
        /**
         * Sends a set-up.
         *
         * @param abandonAt time on the front's clock at which the attempt is to be abandoned, in milliseconds
         */
        void sendSetUp(long callId, String serverId, double abandonAt);

        /**
         * Gives the final answer that a call is refused.
         *
         * @param retryAfter time for which the caller is advised not to redial, in milliseconds; 0 for no advice
         */
        void refuseCall(long callId, double retryAfter);

        /** Gives the final answer that a call has failed. */
        void failCall(long callId);

        /** Stops waiting for an attempt. */
        void cancelAttempt(long callId, int attempt);

        /**
         * Starts a timer.
         *
         * @param delay time until {@link RoutingPolicy#onTimer} is called, in milliseconds
         * @param token value to pass to {@link RoutingPolicy#onTimer}
         */
        void startTimer(double delay, long token);

        /** Sends a probe to a server. */
        void sendProbe(String serverId);

        /** Requests the whole server list once. */
        void fetchServerList();

        /** Requests changes of the server list from now on. */
        void followServerList();
    }
}
