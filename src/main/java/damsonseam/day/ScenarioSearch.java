package damsonseam.day;

import damsonseam.audit.AuditReport;
import damsonseam.config.TimeSpan;
import damsonseam.standin.Scenario;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws random variations of a scenario to find one that breaks a rule. How near a run came to that is measured by the
 * minimum time that was left at an answer or beyond a release guard. Most scenarios are varied from the run that came
 * nearest so far, the others from the base scenario. The owner runs the scenarios; this class only draws them.
 */
public final class ScenarioSearch {
    private static final int MAX_FRONTS = 24;
    private static final double MAX_CALLS_PER_S = 2_000;
    private static final double HARDEST_PROBABILITY = 0.6;

    private final Scenario baseScenario;
    private final SplittableRandom random;
    private Scenario hardest;
    private double minTimeLeftMs = Double.POSITIVE_INFINITY;
    private int drawnCount;

    /** Creates a search around a scenario, whose seed is the seed of the search too. */
    public ScenarioSearch(Scenario baseScenario) {
        this.baseScenario = baseScenario;
        hardest = baseScenario;
        random = new SplittableRandom(baseScenario.seed());
    }

    /** Returns the next scenario: first the base unchanged, then variations of seed, size, load and faults. */
    public Scenario next() {
        int ordinal = drawnCount++;
        if (ordinal == 0) {
            return baseScenario;
        }
        Scenario origin = random.nextDouble() < HARDEST_PROBABILITY ? hardest : baseScenario;
        List<Scenario.Fault> faults = new ArrayList<>();
        for (Scenario.Fault fault : origin.troubles()) {
            faults.add(new Scenario.Fault(
                    fault.kind(),
                    TimeSpan.ms(fault.at().ms() * randomBetween(0.7, 1.2)),
                    TimeSpan.ms(fault.duration().ms() * randomBetween(0.6, 1.6)),
                    Math.min(1, fault.part() * randomBetween(0.6, 1.8)),
                    varySize(fault)));
        }
        int fronts = (int) Math.round(Math.max(2, Math.min(MAX_FRONTS, origin.fronts() * randomBetween(0.6, 1.5))));
        double callsPerS = Math.min(MAX_CALLS_PER_S, origin.load().callsPerS() * randomBetween(0.7, 1.4));
        return new Scenario(
                origin.name() + "-" + ordinal,
                origin.length(),
                baseScenario.seed() + ordinal,
                fronts,
                origin.calculators(),
                new Scenario.Load(callsPerS, origin.load().classes()),
                origin.directory(),
                origin.cycle(),
                faults);
    }

    private double randomBetween(double min, double max) {
        return min + (max - min) * random.nextDouble();
    }

    /** Varies the severity of a fault: a share is at most 0.9, a factor at least 1; other kinds keep it unchanged. */
    private Double varySize(Scenario.Fault fault) {
        return switch (fault.kind()) {
            case ANSWER_LOST -> Math.min(0.9, fault.size() * randomBetween(0.6, 1.8));
            case SLOW, AGEING, BURST -> Math.max(1, fault.size() * randomBetween(0.8, 1.4));
            case FRONT_STALL, STALE_DIRECTORY, DNS_SLOW -> fault.size() * randomBetween(0.4, 1.5);
            default -> fault.size();
        };
    }

    /** Records the audit of a run; later scenarios are varied from it if it is the hardest so far. */
    public void recordResult(Scenario scenario, AuditReport audit) {
        double timeLeftMs = Math.min(audit.leastAnswerLeftMs(), audit.leastGuardLeftMs());
        if (timeLeftMs < minTimeLeftMs) {
            minTimeLeftMs = timeLeftMs;
            hardest = scenario;
        }
    }

    /** Returns the minimum time left in any run so far, in milliseconds; negative if a rule was broken. */
    public double minTimeLeftMs() {
        return minTimeLeftMs;
    }
}
