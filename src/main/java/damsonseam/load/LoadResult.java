package damsonseam.load;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * The outcomes and delays of the calls of a load. Delays are measured from the time at which a query was due, not from
 * the time at which it was sent, so that a front or a sender that falls behind is not hidden (coordinated omission).
 * Not thread-safe: each sender fills its own result, and the results are merged at the end. Memory is bounded by the
 * duration of the load.
 */
public final class LoadResult {
    /** Length of the time slices in which outcomes are counted, in milliseconds. */
    public static final int SLICE_MS = 100;

    private static final long MAX_DELAY_US = 60_000_000L;

    /** The outcome of a call; the names are keys of reports. */
    public enum Outcome {
        IN_AIM,
        LATE,
        REFUSED,
        FAILED,
        UNANSWERED
    }

    private final List<LoadPlan.CallerClass> callerClasses;
    private final List<Histogram> establishedDelaysUs = new ArrayList<>();
    private final Histogram answerDelaysUs = new Histogram(MAX_DELAY_US, 3);
    /** Number of calls by caller class, slice of the due time, and outcome. */
    private final long[][][] outcomeCounts;

    private long lateSends;

    LoadResult(List<LoadPlan.CallerClass> callerClasses, double durationS) {
        this.callerClasses = callerClasses;
        outcomeCounts =
                new long[callerClasses.size()][(int) (durationS * 1_000 / SLICE_MS) + 1][Outcome.values().length];
        callerClasses.forEach(k -> establishedDelaysUs.add(new Histogram(MAX_DELAY_US, 3)));
    }

    /** Records the outcome of a call of a class; {@code delayMs} counts from its due time {@code dueMs}. */
    void recordOutcome(int classIndex, double dueMs, Outcome outcome, double delayMs) {
        long[][] classCounts = outcomeCounts[classIndex];
        classCounts[Math.max(0, Math.min(classCounts.length - 1, (int) (dueMs / SLICE_MS)))][outcome.ordinal()]++;
        long delayUs = Math.max(0, Math.min(MAX_DELAY_US, (long) (delayMs * 1_000)));
        if (outcome != Outcome.UNANSWERED) {
            answerDelaysUs.recordValue(delayUs);
        }
        if (outcome == Outcome.IN_AIM || outcome == Outcome.LATE) {
            establishedDelaysUs.get(classIndex).recordValue(delayUs);
        }
    }

    /** Records a query that was sent late. */
    void recordLateSend() {
        lateSends++;
    }

    /** Adds the counts and delays of another result of the same load. */
    void merge(LoadResult other) {
        for (int k = 0; k < outcomeCounts.length; k++) {
            for (int s = 0; s < outcomeCounts[k].length; s++) {
                for (int e = 0; e < Outcome.values().length; e++) {
                    outcomeCounts[k][s][e] += other.outcomeCounts[k][s][e];
                }
            }
            establishedDelaysUs.get(k).add(other.establishedDelaysUs.get(k));
        }
        answerDelaysUs.add(other.answerDelaysUs);
        lateSends += other.lateSends;
    }

    /** Returns the number of calls of a class (-1: all) with an outcome that were due from one second to another. */
    public long count(int classIndex, Outcome outcome, double fromS, double untilS) {
        long count = 0;
        for (int k = 0; k < outcomeCounts.length; k++) {
            int endSlice = (int) Math.min(outcomeCounts[k].length, Math.round(untilS * 1_000 / SLICE_MS));
            for (int s = (int) Math.round(fromS * 1_000 / SLICE_MS);
                    s < endSlice && (classIndex < 0 || classIndex == k);
                    s++) {
                count += outcomeCounts[k][s][outcome.ordinal()];
            }
        }
        return count;
    }

    /** Returns the number of calls of a class (-1: all) that were due in a span of seconds. */
    public long offered(int classIndex, double fromS, double untilS) {
        long count = 0;
        for (Outcome outcome : Outcome.values()) {
            count += count(classIndex, outcome, fromS, untilS);
        }
        return count;
    }

    /** Returns the number of calls of a class (-1: all) that were established, within their aim or late. */
    public long established(int classIndex, double fromS, double untilS) {
        return count(classIndex, Outcome.IN_AIM, fromS, untilS) + count(classIndex, Outcome.LATE, fromS, untilS);
    }

    /** Returns the earned worth divided by the offered worth in a span of seconds; 1 if no call was offered. */
    public double worthShare(double fromS, double untilS) {
        double offered = 0;
        double earned = 0;
        for (int k = 0; k < callerClasses.size(); k++) {
            LoadPlan.CallerClass callerClass = callerClasses.get(k);
            offered += callerClass.worth() * offered(k, fromS, untilS);
            earned += callerClass.worth()
                    * (count(k, Outcome.IN_AIM, fromS, untilS)
                            + callerClass.lateShare() * count(k, Outcome.LATE, fromS, untilS));
        }
        return offered == 0 ? 1 : earned / offered;
    }

    /**
     * Returns the number of seconds in which a class of higher worth fared worse than one of lower worth: the share of
     * its calls that were not established exceeded the other's by more than {@code margin}, which allows for chance. In
     * a second with fewer than fifty calls of a class, the class counts as having lost none.
     */
    public int secondsWithPriorityInversion(double margin) {
        int inverted = 0;
        int seconds = outcomeCounts[0].length * SLICE_MS / 1_000;
        for (int second = 0; second < seconds; second++) {
            boolean found = false;
            for (int high = 0; high < callerClasses.size(); high++) {
                for (int low = 0; low < callerClasses.size(); low++) {
                    found |= callerClasses.get(high).worth()
                                    > callerClasses.get(low).worth()
                            && lostShare(high, second) > lostShare(low, second) + margin;
                }
            }
            inverted += found ? 1 : 0;
        }
        return inverted;
    }

    private double lostShare(int classIndex, int second) {
        long offered = offered(classIndex, second, second + 1);
        return offered < 50 ? 0 : 1 - established(classIndex, second, second + 1) / (double) offered;
    }

    /**
     * Returns the time in seconds after {@code fromS} from which on every slice has at least this share of its calls
     * established; NaN if the load ends before.
     */
    public double recoveryTimeS(double fromS, double share) {
        int endS = outcomeCounts[0].length * SLICE_MS / 1_000;
        double recoveredAfterS = 0;
        for (double sliceS = fromS; sliceS < endS; sliceS += SLICE_MS / 1_000.0) {
            long offered = offered(-1, sliceS, sliceS + SLICE_MS / 1_000.0);
            if (offered > 0 && established(-1, sliceS, sliceS + SLICE_MS / 1_000.0) < share * offered) {
                recoveredAfterS = sliceS + SLICE_MS / 1_000.0 - fromS;
            }
        }
        return recoveredAfterS >= endS - fromS - 0.2 ? Double.NaN : Math.round(recoveredAfterS * 10) / 10.0;
    }

    /** Returns the delays of the established calls of a class, in microseconds. */
    public Histogram establishedDelaysUs(int classIndex) {
        return establishedDelaysUs.get(classIndex);
    }

    /** Returns the delays of all answers, in microseconds. */
    public Histogram answerDelaysUs() {
        return answerDelaysUs;
    }

    /** Returns the number of queries that the senders sent more than a millisecond late. */
    public long lateSendCount() {
        return lateSends;
    }

    /** Returns the classes of callers. */
    public List<LoadPlan.CallerClass> callerClasses() {
        return callerClasses;
    }

    /** Returns the time covered by the slices, in seconds. */
    public double durationS() {
        return outcomeCounts[0].length * SLICE_MS / 1_000.0;
    }

    /** Returns rates, worth and counts over a span of seconds, by the keys of the JSON report. */
    public Map<String, Object> report(double fromS, double untilS) {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("offeredPerS", Math.round(offered(-1, fromS, untilS) / (untilS - fromS)));
        report.put("stoodPerS", Math.round(established(-1, fromS, untilS) / (untilS - fromS)));
        report.put("worthShare", round(worthShare(fromS, untilS)));
        for (int k = 0; k < callerClasses.size(); k++) {
            Map<String, Object> classReport = new LinkedHashMap<>();
            classReport.put("offered", offered(k, fromS, untilS));
            for (Outcome outcome : Outcome.values()) {
                classReport.put(
                        outcome.toString().toLowerCase(java.util.Locale.ROOT), count(k, outcome, fromS, untilS));
            }
            report.put(callerClasses.get(k).name(), classReport);
        }
        return report;
    }

    static double round(double value) {
        return Math.round(value * 10_000) / 10_000.0;
    }
}
