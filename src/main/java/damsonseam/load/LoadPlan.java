package damsonseam.load;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * A load.
 *
 * @param fronts fronts, asked in turn
 * @param suffix the domain of the numbers
 * @param callerClasses classes of caller
 * @param rateProfile calls a second over time
 * @param durationS how long
 * @param seed of everything drawn
 * @param senderThreads that send
 * @param sourceAddresses addresses of 127.0.0.0/8 that questions come from, 1 for 127.0.0.1 alone
 * @param numbersPerClass numbers of each kind that are called again and again
 * @param firstChoices first-choice calculators that the numbers name, 1 to 100
 */
public record LoadPlan(
        List<InetSocketAddress> fronts,
        String suffix,
        List<CallerClass> callerClasses,
        RateProfile rateProfile,
        double durationS,
        long seed,
        int senderThreads,
        int sourceAddresses,
        int numbersPerClass,
        int firstChoices) {

    /** Checks. */
    public LoadPlan {
        if (fronts.isEmpty() || callerClasses.isEmpty()) {
            throw new IllegalArgumentException("a load needs a front and a class of caller");
        }
        if (!(durationS > 0)
                || senderThreads < 1
                || sourceAddresses < 1
                || sourceAddresses > 200
                || numbersPerClass < 1
                || firstChoices < 1
                || firstChoices > 100) {
            throw new IllegalArgumentException("load: expected seconds over 0, one thread at least, 1 to 200 senders, "
                    + "one known number at least, 1 to 100 first choices");
        }
    }

    /** The same load with another profile and length. */
    public LoadPlan withRateProfile(RateProfile other, double length) {
        return new LoadPlan(
                fronts,
                suffix,
                callerClasses,
                other,
                length,
                seed,
                senderThreads,
                sourceAddresses,
                numbersPerClass,
                firstChoices);
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
    public record CallerClass(
            String name,
            String prefix,
            double share,
            double aimMs,
            double patienceMs,
            double worth,
            double lateShare) {}
}
