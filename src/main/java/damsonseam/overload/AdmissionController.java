package damsonseam.overload;

/** Decides whether to admit a call before any work is spent on it. Each thread uses an instance of its own. */
@FunctionalInterface
public interface AdmissionController {
    /** The decision to admit a call. */
    long ADMIT = -1;

    /**
     * Decides whether to admit a call.
     *
     * @param now time of the front's clock, in milliseconds
     * @param rank worth rank of the call
     * @param sender hash of the caller's address
     * @param load current load of the front
     * @return {@link #ADMIT}, or for how long the caller is asked not to retry, in milliseconds
     */
    long decide(double now, int rank, long sender, Load load);

    /** The load of a front; written by its loop's thread, read by the threads that decide on admission. */
    interface Load {
        /** Returns the number of calls of this rank and of higher ones that are queued for the loop. */
        int queuedAtOrAbove(int rank);

        /** Returns the time that the loop has recently spent per call, in milliseconds, including all its work. */
        double costPerCallMs();

        /** Returns for how long the loop has not run although calls are queued, in milliseconds. */
        double loopPauseMs(double now);

        /**
         * Returns the pressure of memory, tables and held calls on a call of this rank, in ranks: 0 at the first onset,
         * the number of ranks at the ceiling.
         */
        double pressure(int rank);
    }
}
