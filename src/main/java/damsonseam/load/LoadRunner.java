package damsonseam.load;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Runs loads and finds the rate at which a front is saturated. Each run uses its own sender threads. */
public final class LoadRunner {
    private static final int BISECTION_STEPS = 4;
    private static final double MIN_ESTABLISHED_SHARE = 0.99;
    private static final long START_DELAY_NS = 20_000_000;

    private LoadRunner() {}

    /** Runs a load and returns its result after the last callers were answered or ran out of patience. */
    public static LoadResult run(LoadPlan plan) throws IOException, InterruptedException {
        double peakPerS = 0;
        for (double t = 0; t <= plan.durationS(); t += plan.durationS() / 1_000) {
            peakPerS = Math.max(peakPerS, plan.rateProfile().rateAt(t));
        }
        List<LoadSender> senders = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        long originNs = System.nanoTime() + START_DELAY_NS;
        for (int i = 0; i < plan.senderThreads(); i++) {
            LoadSender sender = new LoadSender(plan, i, originNs, peakPerS);
            senders.add(sender);
            threads.add(new Thread(sender, "load-" + i));
        }
        threads.forEach(Thread::start);
        for (Thread t : threads) {
            t.join();
        }
        LoadResult total = new LoadResult(plan.callerClasses(), plan.durationS());
        for (LoadSender sender : senders) {
            total.merge(sender.result());
        }
        return total;
    }

    /**
     * Finds the highest steady rate, in calls per second, at which 99 % of the calls are established. The rate is
     * doubled from {@code startPerS} until it is not sustained, and then found by bisection. A rate is tried a second
     * time before it counts as not sustained, since a short disturbance of the machine can fail a trial. Each trial
     * takes {@code durationS} after a first second that is not counted.
     */
    public static double findSaturationRate(LoadPlan plan, double startPerS, double durationS)
            throws IOException, InterruptedException {
        double sustainedPerS = 0;
        double unsustainedPerS = startPerS;
        while (sustains(plan, unsustainedPerS, durationS) || sustains(plan, unsustainedPerS, durationS)) {
            sustainedPerS = unsustainedPerS;
            unsustainedPerS *= 2;
        }
        for (int i = 0; i < BISECTION_STEPS; i++) {
            double middlePerS = (sustainedPerS + unsustainedPerS) / 2;
            if (sustains(plan, middlePerS, durationS) || sustains(plan, middlePerS, durationS)) {
                sustainedPerS = middlePerS;
            } else {
                unsustainedPerS = middlePerS;
            }
        }
        return sustainedPerS;
    }

    private static boolean sustains(LoadPlan plan, double callsPerS, double durationS)
            throws IOException, InterruptedException {
        LoadResult result = run(plan.withRateProfile(RateProfile.steady(callsPerS), durationS + 1));
        return result.established(-1, 1, durationS + 1) >= MIN_ESTABLISHED_SHARE * result.offered(-1, 1, durationS + 1);
    }
}
