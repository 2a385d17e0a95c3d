package damsonseam.core;

import damsonseam.Front.Reason;
import damsonseam.Front.Result;

/**
 * What the core asks of the sockets around it, all from the one thread that runs the core. An answer to any of
 * these comes back as an event of {@link Router}, never from within the call.
 */
public final class RouterPorts {

    private RouterPorts() {}

    /** Numbers are looked up here. */
    @FunctionalInterface
    public interface NumberLookup {
        /** Looks a number up; {@link Router#lookupCompleted} must follow, at the latest at {@code deadline}. */
        void lookUp(long call, String number, double deadline);
    }

    /** Set-ups go out here. */
    public interface ServerSignalling {
        /**
         * Takes a circuit and sends a set-up.
         *
         * @param until when the attempt will be given up
         * @return null if it went out, else why it did not: it is then proved that it never ran
         */
        SendFailure sendSetUp(double now, String server, long call, int attempt, double until, CallRecord record);

        /**
         * Releases what an attempt holds; {@link Router#releaseConfirmed} follows once the far side has proved that it
         * has the release, if it ever does. Returns the time at which the release went out, which may be later
         * than the moment that asked for it.
         */
        double sendRelease(double now, String server, long call, int attempt, boolean timedOut);

        /** Probes a server; {@link Router#probeCompleted} must follow. */
        void sendProbe(double now, String server);
    }

    /** Why a set-up could not go out. */
    public record SendFailure(Result result, Reason reason) {}

    /** The caller's side of one call: told its final answer once. */
    @FunctionalInterface
    public interface Caller {
        /** The final answer of the call. */
        void onFinalAnswer(double now, CallRecord call, FinalAnswer answer);
    }

    /** The pool directory, where the module asks for it. */
    public interface Directory {
        /** Asks for the whole list once. */
        void requestServerList();

        /** Asks for the changes from now on. */
        void subscribeToUpdates();
    }
}
