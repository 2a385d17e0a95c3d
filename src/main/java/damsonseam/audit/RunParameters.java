package damsonseam.audit;

import java.util.List;

/**
 * What a run was set up with, as far as the rules need it; written beside the wire logs as world.json.
 *
 * @param suffix the domain of the numbers
 * @param numbers prefixes of numbers with what their callers bear and what a call is worth
 * @param fronts the fronts and where callers reach them
 * @param calculators the calculators and what they can do
 * @param drainGraceMs figure of rule 3
 * @param coldFrom share of its capacity at which a calculator starts
 * @param warmMs time in which it is warm
 * @param tipMultiple figure of rule 4
 * @param tipWindowMs figure of rule 4
 * @param guardMs figure of rule 5
 */
public record RunParameters(
        String suffix,
        List<NumberRange> numbers,
        List<FrontAddress> fronts,
        List<Calculator> calculators,
        double drainGraceMs,
        double coldFrom,
        double warmMs,
        double tipMultiple,
        double tipWindowMs,
        double guardMs) {

    /** Numbers of one class. */
    public record NumberRange(String prefix, double patienceMs) {}

    /** A front: its name, by its point code, and the port of its DNS. */
    public record FrontAddress(String name, int port) {}

    /** A calculator: its name, its point code, and the set-ups a second that it can do when warm. */
    public record Calculator(String id, int pointCode, double setUpsPerS) {}
}
