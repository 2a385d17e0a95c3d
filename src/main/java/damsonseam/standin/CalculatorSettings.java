package damsonseam.standin;

import damsonseam.config.Preconditions;
import damsonseam.config.TimeSpan;

/**
 * What a stand-in calculator can do.
 *
 * @param callsPerS calls a second that its processor can carry when warm
 * @param setUpShare part of a call's work that is its set-up; the rest is answer and release
 * @param rejectShare part of a set-up's work that turning one away costs
 * @param probeWork work of a probe
 * @param turnAwayAfter wait beyond which it turns set-ups away
 * @param lines calls that it can hold
 * @param coldFrom share of its capacity at which it starts
 * @param warmWithin time after which it is warm
 * @param tipMultiple multiple of its present capacity that makes it fall while cold
 * @param tipWindow time for which it must be sent that
 * @param reportEvery how often its load report is made anew
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
    /** Checks and defaults. */
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

    /** Defaults throughout. */
    public static CalculatorSettings defaults() {
        return new CalculatorSettings(null, null, null, null, null, null, null, null, null, null, null);
    }

    /** Work of a whole call at full speed, in milliseconds. */
    double callWork() {
        return 1_000 / callsPerS;
    }

    /** Set-ups a second that a warm one can do, answers and releases not counted. */
    public double setUpsPerS() {
        return callsPerS / setUpShare;
    }
}
