package damsonseam.load;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Runs loads, and finds the rate at which a front is saturated. */
public final class LoadRunner {
    private static final int STEPS = 4;
    private static final double FEWEST_STAND = 0.99;
    private static final long START_NS = 20_000_000;

    private LoadRunner() {}

    /** Runs one load to its end, the patience of its last callers included. */
    public static LoadResult run(LoadPlan plan) throws IOException, InterruptedException {
        double peak = 0;
        for (double t = 0; t <= plan.durationS(); t += plan.durationS() / 1_000) {
            peak = Math.max(peak, plan.rateProfile().rateAt(t));
        }
        List<LoadSender> senders = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        long origin = System.nanoTime() + START_NS;
        for (int i = 0; i < plan.senderThreads(); i++) {
            LoadSender sender = new LoadSender(plan, i, origin, peak);
            senders.add(sender);
            threads.add(new Thread(sender, "load-" + i));
        }
        threads.forEach(Thread::start);
        for (Thread t : threads) {
            t.join();
        }
        LoadResult all = new LoadResult(plan.callerClasses(), plan.durationS());
        for (LoadSender sender : senders) {
            all.add(sender.result());
        }
        return all;
    }

    /**
     * The highest steady rate at which 99 of 100 calls stand: doubled from {@code from} calls a second until too
     * many do not, then halved in between; one bad try of two is forgiven, machines have hiccups. Each try takes
     * {@code seconds}; the first second of each is not counted.
     */
    public static double findSaturationRate(LoadPlan plan, double from, double seconds)
            throws IOException, InterruptedException {
        double good = 0;
        double bad = from;
        while (holds(plan, bad, seconds) || holds(plan, bad, seconds)) {
            good = bad;
            bad *= 2;
        }
        for (int i = 0; i < STEPS; i++) {
            double middle = (good + bad) / 2;
            if (holds(plan, middle, seconds) || holds(plan, middle, seconds)) {
                good = middle;
            } else {
                bad = middle;
            }
        }
        return good;
    }

    private static boolean holds(LoadPlan plan, double perS, double seconds) throws IOException, InterruptedException {
        LoadResult result = run(plan.withRateProfile(RateProfile.steady(perS), seconds + 1));
        return result.established(-1, 1, seconds + 1) >= FEWEST_STAND * result.offered(-1, 1, seconds + 1);
    }
}
