package damsonseam.standin;

import damsonseam.config.Preconditions;
import damsonseam.config.TimeSpan;

/**
 * The capacity and behaviour of a stand-in calculator; the component names are YAML keys.
 *
 * @param callsPerS capacity of its warm processor in calls per second
 * @param setUpShare share of a call's work that the set-up takes; answer and release take the rest
 * @param rejectShare share of a set-up's work that rejecting one takes
 * @param probeWork processor time of a probe
 * @param turnAwayAfter waiting time in the processor's queue beyond which it rejects set-ups
 * @param lines maximum number of simultaneous calls
 * @param coldFrom share of its capacity that it has right after a cold start
 * @param warmWithin time from a cold start to full capacity
 * @param tipMultiple multiple of its present capacity at which offered set-ups overload it while cold
 * @param tipWindow time over which offered set-ups are counted for that
 * @param reportEvery interval at which its load report is renewed
 */
public record CalculatorSettings(
        Double callsPerS,
        Double setUpShare,
        Double rejectShare,
        TimeSpan probeWork,
        TimeSpan turnAwayAfter,
        Integer lines,
        Double coldFrom,
        TimeSpan warmWithin,
        Double tipMultiple,
        TimeSpan tipWindow,
        TimeSpan reportEvery) {
    /** Sets defaults for missing values and checks ranges. */
    public CalculatorSettings {
        callsPerS = Preconditions.requireInRange(Preconditions.orDefault(callsPerS, 33.0), 0.1, 1e6, "callsPerS");
        setUpShare = Preconditions.requireInRange(Preconditions.orDefault(setUpShare, 0.6), 0.05, 0.95, "setUpShare");
        rejectShare = Preconditions.requireInRange(Preconditions.orDefault(rejectShare, 0.2), 0, 1, "rejectShare");
        probeWork = Preconditions.orDefault(probeWork, TimeSpan.ms(0.4));
        turnAwayAfter = Preconditions.orDefault(turnAwayAfter, TimeSpan.ms(2_500));
        lines = Preconditions.requireInRange(Preconditions.orDefault(lines, 2_000), 1, 60_000, "lines");
        coldFrom = Preconditions.requireInRange(Preconditions.orDefault(coldFrom, 0.4), 0.01, 1, "coldFrom");
        warmWithin = Preconditions.orDefault(warmWithin, TimeSpan.ms(12_000));
        tipMultiple = Preconditions.requireInRange(Preconditions.orDefault(tipMultiple, 3.0), 1, 1_000, "tipMultiple");
        tipWindow = Preconditions.orDefault(tipWindow, TimeSpan.ms(1_000));
        reportEvery = Preconditions.orDefault(reportEvery, TimeSpan.ms(250));
    }

    /** Returns settings with the default for every value. */
    public static CalculatorSettings defaults() {
        return new CalculatorSettings(null, null, null, null, null, null, null, null, null, null, null);
    }

    /** Returns the processor time of a whole call at full speed, in milliseconds. */
    double callWorkMs() {
        return 1_000 / callsPerS;
    }

    /** Returns the set-ups per second that a warm processor can do if it does no other work. */
    public double setUpsPerS() {
        return callsPerS / setUpShare;
    }
}
