package damsonseam.load;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * A load.
 *
 * @param to fronts, asked in turn
 * @param suffix the domain of the numbers
 * @param kinds classes of caller
 * @param profile calls a second over time
 * @param seconds how long
 * @param seed of everything drawn
 * @param threads that send
 * @param senders addresses of 127.0.0.0/8 that questions come from, 1 for 127.0.0.1 alone
 * @param known numbers of each kind that are called again and again
 * @param first first-choice calculators that the numbers name, 1 to 100
 */
public record LoadPlan(
        List<InetSocketAddress> to,
        String suffix,
        List<Kind> kinds,
        Profile profile,
        double seconds,
        long seed,
        int threads,
        int senders,
        int known,
        int first) {

    /** Checks. */
    public LoadPlan {
        if (to.isEmpty() || kinds.isEmpty()) {
            throw new IllegalArgumentException("a load needs a front and a class of caller");
        }
        if (!(seconds > 0) || threads < 1 || senders < 1 || senders > 200 || known < 1 || first < 1 || first > 100) {
            throw new IllegalArgumentException("load: expected seconds over 0, one thread at least, 1 to 200 senders, "
                    + "one known number at least, 1 to 100 first choices");
        }
    }

    /** The same load with another profile and length. */
    public LoadPlan with(Profile other, double length) {
        return new LoadPlan(to, suffix, kinds, other, length, seed, threads, senders, known, first);
    }

    /**
     * A class of caller; it asks once and waits, and does not ask again.
     *
     * @param name for reports
     * @param prefix of its numbers, 9 digits follow
     * @param share of all calls
     * @param aimMs time in which a call is wanted to stand
     * @param patienceMs time after which its caller gives up
     * @param worth of a call that stands in its aim
     * @param lateShare part of the worth of one that stands later
     */
    public record Kind(
            String name,
            String prefix,
            double share,
            double aimMs,
            double patienceMs,
            double worth,
            double lateShare) {}
}
