package damsonseam.load;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * What became of a load. Delays are counted from when a question was due, not from when it was sent, so that neither
 * a front nor a sender that falls behind can hide it (coordinated omission).
 */
public final class LoadResult {
    /** Length of a slice of the series, in milliseconds. */
    public static final int SLICE_MS = 100;

    private static final long MOST_US = 60_000_000L;

    /** What became of a call. */
    public enum Outcome {
        IN_AIM,
        LATE,
        REFUSED,
        FAILED,
        UNANSWERED
    }

    private final List<LoadPlan.CallerClass> callerClasses;
    private final List<Histogram> establishedDelaysUs = new ArrayList<>();
    private final Histogram answered = new Histogram(MOST_US, 3);
    /** Counts by kind, slice of the due time, and end. */
    private final long[][][] slices;

    private long sentLate;

    LoadResult(List<LoadPlan.CallerClass> kinds, double seconds) {
        this.callerClasses = kinds;
        slices = new long[kinds.size()][(int) (seconds * 1_000 / SLICE_MS) + 1][Outcome.values().length];
        kinds.forEach(k -> establishedDelaysUs.add(new Histogram(MOST_US, 3)));
    }

    void recordOutcome(int kind, double dueMs, Outcome end, double delayMs) {
        long[][] of = slices[kind];
        of[Math.max(0, Math.min(of.length - 1, (int) (dueMs / SLICE_MS)))][end.ordinal()]++;
        long us = Math.max(0, Math.min(MOST_US, (long) (delayMs * 1_000)));
        if (end != Outcome.UNANSWERED) {
            answered.recordValue(us);
        }
        if (end == Outcome.IN_AIM || end == Outcome.LATE) {
            establishedDelaysUs.get(kind).recordValue(us);
        }
    }

    void sentLate() {
        sentLate++;
    }

    void add(LoadResult other) {
        for (int k = 0; k < slices.length; k++) {
            for (int s = 0; s < slices[k].length; s++) {
                for (int e = 0; e < Outcome.values().length; e++) {
                    slices[k][s][e] += other.slices[k][s][e];
                }
            }
            establishedDelaysUs.get(k).add(other.establishedDelaysUs.get(k));
        }
        answered.add(other.answered);
        sentLate += other.sentLate;
    }

    /** Calls of a kind (-1: of all) with this end, due from one second to another. */
    public long count(int kind, Outcome end, double from, double until) {
        long count = 0;
        for (int k = 0; k < slices.length; k++) {
            int last = (int) Math.min(slices[k].length, Math.round(until * 1_000 / SLICE_MS));
            for (int s = (int) Math.round(from * 1_000 / SLICE_MS); s < last && (kind < 0 || kind == k); s++) {
                count += slices[k][s][end.ordinal()];
            }
        }
        return count;
    }

    /** Calls of a kind (-1: of all) due in a span of seconds. */
    public long offered(int kind, double from, double until) {
        long count = 0;
        for (Outcome end : Outcome.values()) {
            count += count(kind, end, from, until);
        }
        return count;
    }

    /** Calls that stood, in their aim or late. */
    public long established(int kind, double from, double until) {
        return count(kind, Outcome.IN_AIM, from, until) + count(kind, Outcome.LATE, from, until);
    }

    /** Worth earned over worth offered in a span of seconds; 1 where none was offered. */
    public double worthShare(double from, double until) {
        double offered = 0;
        double earned = 0;
        for (int k = 0; k < callerClasses.size(); k++) {
            LoadPlan.CallerClass kind = callerClasses.get(k);
            offered += kind.worth() * offered(k, from, until);
            earned += kind.worth()
                    * (count(k, Outcome.IN_AIM, from, until) + kind.lateShare() * count(k, Outcome.LATE, from, until));
        }
        return offered == 0 ? 1 : earned / offered;
    }

    /**
     * Seconds in which a dearer kind fared worse than a cheaper one by more than chance: a share of its calls that
     * did not stand more than {@code margin} above the cheaper kind's. Kinds of under fifty calls are passed over.
     */
    public int secondsWithPriorityInversion(double margin) {
        int inverted = 0;
        int seconds = slices[0].length * SLICE_MS / 1_000;
        for (int s = 0; s < seconds; s++) {
            boolean any = false;
            for (int a = 0; a < callerClasses.size(); a++) {
                for (int b = 0; b < callerClasses.size(); b++) {
                    any |= callerClasses.get(a).worth() > callerClasses.get(b).worth()
                            && lost(a, s) > lost(b, s) + margin;
                }
            }
            inverted += any ? 1 : 0;
        }
        return inverted;
    }

    private double lost(int kind, int second) {
        long offered = offered(kind, second, second + 1);
        return offered < 50 ? 0 : 1 - established(kind, second, second + 1) / (double) offered;
    }

    /** Seconds after {@code from} until every slice has this share of its calls standing; NaN where it never does. */
    public double recoveryTimeS(double from, double share) {
        int last = slices[0].length * SLICE_MS / 1_000;
        double back = 0;
        for (double s = from; s < last; s += SLICE_MS / 1_000.0) {
            long offered = offered(-1, s, s + SLICE_MS / 1_000.0);
            if (offered > 0 && established(-1, s, s + SLICE_MS / 1_000.0) < share * offered) {
                back = s + SLICE_MS / 1_000.0 - from;
            }
        }
        return back >= last - from - 0.2 ? Double.NaN : Math.round(back * 10) / 10.0;
    }

    /** Delays of the calls of a kind that stood, in microseconds. */
    public Histogram establishedDelaysUs(int kind) {
        return establishedDelaysUs.get(kind);
    }

    /** Delays of all answers, in microseconds. */
    public Histogram answerDelaysUs() {
        return answered;
    }

    /** Questions that the senders themselves sent over a millisecond late. */
    public long sentLateCount() {
        return sentLate;
    }

    /** The classes of caller. */
    public List<LoadPlan.CallerClass> callerClasses() {
        return callerClasses;
    }

    /** The length of the series, in seconds. */
    public double durationS() {
        return slices[0].length * SLICE_MS / 1_000.0;
    }

    /** Sums for a report, over a span of seconds. */
    public Map<String, Object> report(double from, double until) {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("offeredPerS", Math.round(offered(-1, from, until) / (until - from)));
        report.put("stoodPerS", Math.round(established(-1, from, until) / (until - from)));
        report.put("worthShare", round(worthShare(from, until)));
        for (int k = 0; k < callerClasses.size(); k++) {
            Map<String, Object> of = new LinkedHashMap<>();
            of.put("offered", offered(k, from, until));
            for (Outcome end : Outcome.values()) {
                of.put(end.toString().toLowerCase(java.util.Locale.ROOT), count(k, end, from, until));
            }
            report.put(callerClasses.get(k).name(), of);
        }
        return report;
    }

    static double round(double x) {
        return Math.round(x * 10_000) / 10_000.0;
    }
}
