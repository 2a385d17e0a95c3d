package damsonseam.audit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The fourth rule: the set-ups that all fronts send to a calculator while it is cold must stay, over every
 * window, under the allowed multiple of what it can do in that window. Counted against the fronts only where
 * two thirds of the set-ups came from fronts that had been told of the start.
 */
final class ColdStarts {
    private static final double US = 1e6;
    /** A start told by its age is known only to the millisecond, and the news was under way. */
    private static final long START_SLACK_US = 500_000;

    private static final double SLACK_DEVIATIONS = 4;

    private final RunParameters world;
    private final Map<String, RunParameters.Calculator> calculators = new HashMap<>();
    private final Map<String, Cold> colds = new HashMap<>();
    private final List<Finding> findings = new ArrayList<>();

    private record SetUp(long at, boolean told) {}

    private static final class Cold {
        final long startUs;
        final Set<String> told = new HashSet<>();
        final ArrayDeque<SetUp> window = new ArrayDeque<>();
        int toldInWindow;
        boolean found;

        Cold(long startUs) {
            this.startUs = startUs;
        }
    }

    ColdStarts(RunParameters world) {
        this.world = world;
        world.calculators().forEach(c -> calculators.put(c.id(), c));
    }

    void started(String server, long at) {
        colds.put(server, new Cold(at));
    }

    void told(String server, String front, long startUs) {
        Cold cold = colds.get(server);
        if (cold != null && startUs >= cold.startUs - START_SLACK_US) {
            cold.told.add(front);
        }
    }

    void setUp(String server, String front, long at) {
        Cold cold = colds.get(server);
        double warmUs = world.warmMs() * 1_000;
        if (cold == null || at - cold.startUs >= warmUs) {
            return;
        }
        long windowUs = (long) (world.tipWindowMs() * 1_000);
        boolean told = cold.told.contains(front);
        cold.window.add(new SetUp(at, told));
        cold.toldInWindow += told ? 1 : 0;
        while (cold.window.peek().at() <= at - windowUs) {
            cold.toldInWindow -= cold.window.poll().told() ? 1 : 0;
        }
        double warmth = world.coldFrom() + (1 - world.coldFrom()) * (at - cold.startUs) / warmUs;
        double budget = world.tipMultiple() * warmth * calculators.get(server).setUpsPerS() * windowUs / US;
        int count = cold.window.size();
        boolean byTold = cold.toldInWindow * 3 >= count * 2;
        if (count > budget + SLACK_DEVIATIONS * Math.sqrt(budget) && byTold && !cold.found) {
            cold.found = true;
            findings.add(new Finding(
                    4,
                    at,
                    "all",
                    count + " set-ups to " + server + " in "
                            + world.tipWindowMs() + " ms, " + (at - cold.startUs) / 1_000
                            + " ms after its start, where " + Math.round(budget) + " are allowed"));
        }
    }

    List<Finding> findings() {
        return findings;
    }
}
