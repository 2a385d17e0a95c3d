package damsonseam.audit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks rule 4: within any window, the set-ups that all fronts together send to a cold calculator must stay below
 * the allowed multiple of what the calculator can handle in that window. A window counts as a violation only if at
 * least two thirds of its set-ups came from fronts that had been notified of the start; the others could not know
 * that the calculator was cold. At most one violation is reported per start.
 */
final class ColdStartCheck {
    private static final double US_PER_S = 1e6;
    /** An update gives the age of a start in whole milliseconds and is delayed by the network. */
    private static final long START_TOLERANCE_US = 500_000;

    /** Excess over the allowed count that is put down to chance, in standard deviations of a Poisson count. */
    private static final double MAX_DEVIATIONS = 4;

    private final RunParameters parameters;
    private final Map<String, RunParameters.Calculator> calculators = new HashMap<>();
    private final Map<String, ColdStart> coldStartByServer = new HashMap<>();
    private final List<Finding> findings = new ArrayList<>();

    /** A set-up and whether its front had been notified of the start. */
    private record SetUp(long atUs, boolean fromNotifiedFront) {}

    /** A start of a calculator's processor and the set-ups received in the current window. */
    private static final class ColdStart {
        final long startUs;
        final Set<String> notifiedFronts = new HashSet<>();
        final ArrayDeque<SetUp> setUpsInWindow = new ArrayDeque<>();
        int notifiedInWindow;
        boolean reported;

        ColdStart(long startUs) {
            this.startUs = startUs;
        }
    }

    ColdStartCheck(RunParameters parameters) {
        this.parameters = parameters;
        parameters.calculators().forEach(c -> calculators.put(c.id(), c));
    }

    /** Records the start of a calculator's processor. */
    void onStarted(String server, long atUs) {
        coldStartByServer.put(server, new ColdStart(atUs));
    }

    /** Records that a front was notified that the server started at {@code startUs}. */
    void onFrontNotified(String server, String front, long startUs) {
        ColdStart coldStart = coldStartByServer.get(server);
        if (coldStart != null && startUs >= coldStart.startUs - START_TOLERANCE_US) {
            coldStart.notifiedFronts.add(front);
        }
    }

    /** Records a set-up and checks the window that ends with it. */
    void onSetUp(String server, String front, long atUs) {
        ColdStart coldStart = coldStartByServer.get(server);
        double warmUs = parameters.warmMs() * 1_000;
        if (coldStart == null || atUs - coldStart.startUs >= warmUs) {
            return;
        }
        long windowUs = (long) (parameters.tipWindowMs() * 1_000);
        boolean frontNotified = coldStart.notifiedFronts.contains(front);
        coldStart.setUpsInWindow.add(new SetUp(atUs, frontNotified));
        coldStart.notifiedInWindow += frontNotified ? 1 : 0;
        while (coldStart.setUpsInWindow.peek().atUs() <= atUs - windowUs) {
            coldStart.notifiedInWindow -= coldStart.setUpsInWindow.poll().fromNotifiedFront() ? 1 : 0;
        }
        double capacityShare =
                parameters.coldFrom() + (1 - parameters.coldFrom()) * (atUs - coldStart.startUs) / warmUs;
        double allowed = parameters.tipMultiple()
                * capacityShare
                * calculators.get(server).setUpsPerS()
                * windowUs
                / US_PER_S;
        int count = coldStart.setUpsInWindow.size();
        boolean mostlyNotified = coldStart.notifiedInWindow * 3 >= count * 2;
        if (count > allowed + MAX_DEVIATIONS * Math.sqrt(allowed) && mostlyNotified && !coldStart.reported) {
            coldStart.reported = true;
            findings.add(new Finding(
                    4,
                    atUs,
                    "all",
                    count + " set-ups to " + server + " in "
                            + parameters.tipWindowMs() + " ms, " + (atUs - coldStart.startUs) / 1_000
                            + " ms after its start, where " + Math.round(allowed) + " are allowed"));
        }
    }

    /** Returns the violations found so far. */
    List<Finding> findings() {
        return findings;
    }
}
