package damsonseam.audit;

import java.util.List;

/**
 * The parameters of a run that the audit needs, written to {@code world.json} next to the wire logs. The component
 * names are its keys.
 *
 * @param suffix ENUM domain suffix of the numbers
 * @param numbers number prefixes and the patience of their callers
 * @param fronts the fronts and their DNS ports
 * @param calculators the calculators and their capacities
 * @param drainGraceMs time after the notification of a drain in which set-ups are still allowed (rule 3), in
 *     milliseconds
 * @param coldFrom share of its capacity that a calculator has when it starts, 0 to 1
 * @param warmMs time from its start until a calculator has its full capacity, in milliseconds
 * @param tipMultiple allowed set-ups to a cold calculator, as a multiple of its capacity (rule 4)
 * @param tipWindowMs length of the window over which these set-ups are counted, in milliseconds
 * @param guardMs minimum time between an unsuccessful attempt and the next set-up of the call (rule 5), in milliseconds
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

    /** A number prefix and the patience of the callers of its numbers, in milliseconds. */
    public record NumberRange(String prefix, double patienceMs) {}

    /** A front: its name, which contains its point code, and its DNS port. */
    public record FrontAddress(String name, int port) {}

    /** A calculator: its name, its point code, and its capacity when warm, in set-ups per second. */
    public record Calculator(String id, int pointCode, double setUpsPerS) {}
}
