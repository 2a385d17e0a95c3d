package damsonseam;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;

/**
 * What a front tells its decision module. Each method is one event; {@code now} is the front's own clock in
 * milliseconds, which starts anywhere and never runs backwards. The module answers through {@link Actions},
 * during the call of the event or not at all. Durations are in milliseconds. An optional value that is empty
 * was not given. One object serves one front; it holds no threads and reads no clock.
 */
public interface Front {

    /** News of the servers. With {@code full} the list replaces the old one, else it holds the changes. */
    void serverList(double now, boolean full, List<ServerEntry> entries);

    /** A request for the list, or for its changes, failed; the old list stays. */
    void listFailed(double now);

    /** A call is handed to this front, which owes it one final answer or a set-up that stands. */
    void offered(double now, Call call);

    /** The attempt succeeded: the call stands, and its set-up took {@code delay}. */
    void stands(double now, long call, String server, int attempt, double delay);

    /** An attempt, or a standing call, came to its end. */
    void ended(double now, Ending ending);

    /** The caller went away; nothing more is owed. */
    void left(double now, long call);

    /** The answer to a probe; {@code asked} is false for news that came without one. */
    void probed(double now, String server, boolean asked, boolean answered, double delay, Report report);

    /** A message from another front. */
    void message(double now, int from, byte[] body);

    /** A timer set by {@link Actions#timer} is due. */
    void timer(double now, long token);

    /**
     * All events of this moment have been handed over. The module sends and calls back here only, so that it
     * never acts on half the news of a moment; call it after each event, or after all that came at once.
     */
    void settled(double now);

    /** Whether a server takes work. */
    enum State {
        RUNNING,
        DRAINING,
        GONE
    }

    /** How an attempt ended. */
    enum Result {
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
    enum Reason {
        NONE,
        NO_LINE,
        BEYOND_FULL,
        PROCESSOR_FULL,
        NUMBER_BUSY
    }

    /** One server of the list. {@code number} is what a call's {@code firstChoice} refers to. */
    record ServerEntry(String id, int number, OptionalDouble startedAt, State state) {}

    /**
     * A call handed to this front. {@code timeLeft} runs until the caller gives this try up; {@code servers}
     * holds the numbers that it may use, empty when any of its class will do.
     */
    record Call(
            long id,
            String number,
            int callClass,
            int firstChoice,
            double timeLeft,
            boolean redialled,
            boolean inTransit,
            List<Integer> servers) {
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
    record Ending(
            long call,
            String server,
            int attempt,
            double delay,
            Result result,
            Reason reason,
            OptionalDouble toldWait,
            boolean last,
            Report report) {}

    /** A server's figures of itself, late and inexact; what is not reported is empty. */
    record Report(
            OptionalDouble freeLines,
            OptionalDouble lines,
            OptionalDouble processorWait,
            OptionalDouble busy,
            OptionalDouble waiting) {
        /** A report that says nothing. */
        public static final Report NONE = new Report(
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
            Optional<List<Integer>> servers) {}

    /** What is known when the front starts. */
    record Settings(
            long seed,
            OptionalInt fronts,
            List<CallClass> classes,
            OptionalInt ownNumber,
            OptionalInt maxAttempts,
            Optional<Boolean> mayCancel,
            Optional<Boolean> mayProbe,
            Optional<Boolean> mayMessage,
            Optional<Boolean> listOnRequest,
            OptionalDouble tick,
            OptionalDouble answerSlack,
            OptionalDouble drainGrace,
            OptionalDouble coldFrom,
            OptionalDouble warmWithin,
            OptionalDouble tipMultiple,
            OptionalDouble tipWindow,
            OptionalDouble releaseGuard,
            OptionalDouble resendAfter,
            OptionalDouble maxReturnAdvice) {}

    /** What the module asks of its front. */
    interface Actions {
        /** Sends a set-up, to be abandoned at {@code abandonAt} on the front's clock. */
        void send(long call, String server, double abandonAt);

        /** Final answer: refused, with advice how long to stay away (0 for none). */
        void refuse(long call, double returnAfter);

        /** Final answer: given up. */
        void fail(long call);

        /** Ceases to wait for an attempt. */
        void cancel(long call, int attempt);

        /** Asks for a timer event. */
        void timer(double after, long token);

        /** Probes a server. */
        void probe(String server);

        /** Asks for the whole list once. */
        void fetchList();

        /** Asks for changes of the list from now on. */
        void followList();
    }
}
