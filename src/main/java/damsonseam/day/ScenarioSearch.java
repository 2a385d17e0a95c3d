package damsonseam.day;

import damsonseam.audit.AuditReport;
import damsonseam.config.TimeSpan;
import damsonseam.standin.Scenario;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws days around a given one, and goes on from the hardest: how near a day came to a broken rule is told by the
 * least time that was left at an answer and beyond a guard, and a day that came nearer than all before is what the
 * next ones are drawn from. Decides only; running a day is its owner's.
 */
public final class ScenarioSearch {
    private static final int MOST_FRONTS = 24;
    private static final double MOST_LOAD = 2_000;
    private static final double FROM_HARDEST = 0.6;

    private final Scenario given;
    private final SplittableRandom random;
    private Scenario hardest;
    private double minTimeLeftMs = Double.POSITIVE_INFINITY;
    private int drawn;

    /** A search around a day; its seed is that of the search too. */
    public ScenarioSearch(Scenario given) {
        this.given = given;
        hardest = given;
        random = new SplittableRandom(given.seed());
    }

    /** The next day: first the given one as it is, then others of other seeds, sizes and troubles. */
    public Scenario next() {
        int n = drawn++;
        if (n == 0) {
            return given;
        }
        Scenario from = random.nextDouble() < FROM_HARDEST ? hardest : given;
        List<Scenario.Fault> troubles = new ArrayList<>();
        for (Scenario.Fault t : from.troubles()) {
            troubles.add(new Scenario.Fault(
                    t.kind(),
                    TimeSpan.ms(t.at().ms() * between(0.7, 1.2)),
                    TimeSpan.ms(t.duration().ms() * between(0.6, 1.6)),
                    Math.min(1, t.part() * between(0.6, 1.8)),
                    size(t)));
        }
        int fronts = (int) Math.round(Math.max(2, Math.min(MOST_FRONTS, from.fronts() * between(0.6, 1.5))));
        double load = Math.min(MOST_LOAD, from.load().callsPerS() * between(0.7, 1.4));
        return new Scenario(
                from.name() + "-" + n,
                from.length(),
                given.seed() + n,
                fronts,
                from.calculators(),
                new Scenario.Load(load, from.load().classes()),
                from.directory(),
                from.cycle(),
                troubles);
    }

    private double between(double least, double most) {
        return least + (most - least) * random.nextDouble();
    }

    /** How bad: shares stay shares, what makes nothing worse stays as it is. */
    private Double size(Scenario.Fault t) {
        return switch (t.kind()) {
            case ANSWER_LOST -> Math.min(0.9, t.size() * between(0.6, 1.8));
            case SLOW, AGEING, BURST -> Math.max(1, t.size() * between(0.8, 1.4));
            case FRONT_STALL, STALE_DIRECTORY, DNS_SLOW -> t.size() * between(0.4, 1.5);
            default -> t.size();
        };
    }

    /** A day was played; it may be the hardest so far. */
    public void recordResult(Scenario day, AuditReport audit) {
        double left = Math.min(audit.leastAnswerLeftMs(), audit.leastGuardLeftMs());
        if (left < minTimeLeftMs) {
            minTimeLeftMs = left;
            hardest = day;
        }
    }

    /** The least time left on any day so far, in milliseconds; negative where a rule was broken. */
    public double minTimeLeftMs() {
        return minTimeLeftMs;
    }
}
