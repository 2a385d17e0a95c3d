package damsonseam.load;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The parameters of a load.
 *
 * @param fronts DNS addresses of the fronts, queried in rotation
 * @param suffix ENUM domain suffix of the numbers
 * @param callerClasses classes of callers
 * @param rateProfile arrival rate over time
 * @param durationS duration in seconds
 * @param seed seed of all random draws
 * @param senderThreads number of threads that send
 * @param sourceAddresses number of addresses of 127.0.0.0/8 that queries are sent from, 1 for 127.0.0.1 alone
 * @param numbersPerClass number of different numbers that each class calls
 * @param firstChoices number of first-choice calculators that the numbers name, 1 to 100
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

    /** Checks the ranges of the components. */
    public LoadPlan {
        if (fronts.isEmpty() || callerClasses.isEmpty()) {
            throw new IllegalArgumentException("load: expected at least one front and one class of callers");
        }
        if (!(durationS > 0)
                || senderThreads < 1
                || sourceAddresses < 1
                || sourceAddresses > 200
                || numbersPerClass < 1
                || firstChoices < 1
                || firstChoices > 100) {
            throw new IllegalArgumentException(
                    "load: expected a duration over 0 s, at least one thread, 1 to 200 source addresses, "
                            + "at least one number per class, 1 to 100 first choices");
        }
    }

    /** Returns this load with another rate profile and duration. */
    public LoadPlan withRateProfile(RateProfile rateProfile, double durationS) {
        return new LoadPlan(
                fronts,
                suffix,
                callerClasses,
                rateProfile,
                durationS,
                seed,
                senderThreads,
                sourceAddresses,
                numbersPerClass,
                firstChoices);
    }

    /**
     * A class of callers. Each caller sends one query and never repeats it.
     *
     * @param name name of the class in reports
     * @param prefix prefix of its numbers, followed by 9 digits
     * @param share relative share of all calls
     * @param aimMs time in which a call should be established, in milliseconds
     * @param patienceMs time after which the caller abandons the call, in milliseconds
     * @param worth worth of a call that is established within the aim
     * @param lateShare share of the worth of a call that is established later, 0 to 1
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
