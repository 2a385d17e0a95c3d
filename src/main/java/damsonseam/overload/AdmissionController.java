package damsonseam.overload;

/** Decides about calls before anything is spent on them. One object serves one thread. */
@FunctionalInterface
public interface AdmissionController {
    /** The call is taken. */
    long ADMIT = -1;

    /**
     * Decides about one call.
     *
     * @param now the front's clock, in milliseconds
     * @param rank of its worth
     * @param sender a hash of its caller's address
     * @param load how the front fares
     * @return {@link #ADMIT}, or how long its caller is asked to stay away, in milliseconds
     */
    long decide(double now, int rank, long sender, Load load);

    /** What a front says of itself; written by its loop, read by whoever admits. */
    interface Load {
        /** Calls of this rank and of the dearer ones that are queued before the loop. */
        int queuedAtOrAbove(int rank);

        /** What a call has cost the loop lately, in milliseconds, all its work counted. */
        double costPerCallMs();

        /** How long the loop has not turned although calls are queued, in milliseconds. */
        double loopPauseMs(double now);

        /**
         * Pressure of memory, tables and held calls as a call of this rank meets it, in ranks: 0 at the first onset,
         * the number of ranks at the ceiling.
         */
        double pressure(int rank);
    }
}
