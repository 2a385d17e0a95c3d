package damsonseam;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;

/**
 * What a front tells its decision module. Each method is one event; {@code now} is the front's own clock in
 * milliseconds, which starts anywhere and never runs backwards. The module answers through {@link PolicyActions},
 * during the call of the event or not at all. Durations are in milliseconds. An optional value that is empty
 * was not given. One object serves one front; it holds no threads and reads no clock.
 */
public interface RoutingPolicy {

    /** News of the servers. With {@code full} the list replaces the old one, else it holds the changes. */
    void onServerListUpdate(double now, boolean full, List<ServerEntry> entries);

    /** A request for the list, or for its changes, failed; the old list stays. */
    void onServerListFailure(double now);

    /** A call is handed to this front, which owes it one final answer or a set-up that stands. */
    void onCallOffered(double now, Call call);

    /** The attempt succeeded: the call stands, and its set-up took {@code delay}. */
    void onCallEstablished(double now, long call, String server, int attempt, double delay);

    /** An attempt, or a standing call, came to its end. */
    void onAttemptOutcome(double now, AttemptOutcome ending);

    /** The caller went away; nothing more is owed. */
    void onCallAbandoned(double now, long call);

    /** The answer to a probe; {@code asked} is false for news that came without one. */
    void onProbeResult(
            double now, String server, boolean asked, boolean answered, double delay, ServerLoadReport report);

    /** A message from another front. */
    void onMessage(double now, int from, byte[] body);

    /** A timer set by {@link PolicyActions#startTimer} is due. */
    void onTimer(double now, long token);

    /**
     * All events of this moment have been handed over. The module sends and calls back here only, so that it
     * never acts on half the news of a moment; call it after each event, or after all that came at once.
     */
    void onBatchEnd(double now);

    /** Whether a server takes work. */
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

    /** Why a call was turned away, where the ending says so. */
    enum RejectReason {
        NONE,
        NO_LINE,
        BEYOND_FULL,
        PROCESSOR_FULL,
        NUMBER_BUSY
    }

    /** One server of the list. {@code number} is what a call's {@code firstChoice} refers to. */
    record ServerEntry(String id, int index, OptionalDouble startedAt, ServerState state) {}

    /**
     * A call handed to this front. {@code timeLeft} runs until the caller gives this try up; {@code servers}
     * holds the numbers that it may use, empty when any of its class will do.
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
        /** A call that may use any server of its class. */
        public Call(
                long id,
                String number,
                int callClass,
                int firstChoice,
                double timeLeft,
                boolean redialled,
                boolean inTransit) {
            this(id, number, callClass, firstChoice, timeLeft, redialled, inTransit, List.of());
        }
    }

    /** The end of an attempt. With {@code last} the call is over, else the front still owes its answer. */
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

    /** A server's figures of itself, late and inexact; what is not reported is empty. */
    record ServerLoadReport(
            OptionalDouble freeLines,
            OptionalDouble lines,
            OptionalDouble processorWait,
            OptionalDouble utilization,
            OptionalDouble queueLength) {
        /** A report that says nothing. */
        public static final ServerLoadReport NONE = new ServerLoadReport(
                OptionalDouble.empty(),
                OptionalDouble.empty(),
                OptionalDouble.empty(),
                OptionalDouble.empty(),
                OptionalDouble.empty());
    }

    /** A class of call. {@code servers} holds the numbers it may use; empty when any will do. */
    record CallClass(
            OptionalDouble aim,
            OptionalDouble deadline,
            OptionalDouble worth,
            OptionalDouble lateShare,
            Optional<List<Integer>> allowedServers) {}

    /** What is known when the front starts. */
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

    /** What the module asks of its front. */
    interface PolicyActions {
        /** Sends a set-up, to be abandoned at {@code abandonAt} on the front's clock. */
        void sendSetUp(long call, String server, double abandonAt);

        /** Final answer: refused, with advice how long to stay away (0 for none). */
        void refuseCall(long call, double returnAfter);

        /** Final answer: given up. */
        void failCall(long call);

        /** Ceases to wait for an attempt. */
        void cancelAttempt(long call, int attempt);

        /** Asks for a timer event. */
        void startTimer(double after, long token);

        /** Probes a server. */
        void sendProbe(String server);

        /** Asks for the whole list once. */
        void fetchServerList();

        /** Asks for changes of the list from now on. */
        void followServerList();
    }
}
