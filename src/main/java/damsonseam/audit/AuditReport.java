package damsonseam.audit;

import java.util.List;
import java.util.Map;

/**
 * What an audit found.
 *
 * @param calls tries that a running front took
 * @param notTaken tries whose callers gave up while their front stood still or was dead
 * @param overtaken tries taken whose callers gave up while the front stood still, and which it ended as soon as
 *     it ran again, without a set-up that stands
 * @param resolved tries with a final answer
 * @param stood answered: stands
 * @param refused answered: refused
 * @param failed answered: failed
 * @param setUps set-ups that reached calculators
 * @param violations broken rules in all
 * @param perRule broken rules by rule
 * @param findings the first of them
 * @param leastAnswerLeftMs least time between an answer and the end of its caller's patience; fronts that stood still
 *     then are left out
 * @param leastGuardLeftMs least time beyond the guard between a bad end and the next set-up
 */
public record AuditReport(
        long calls,
        long notTaken,
        long overtaken,
        long resolved,
        long stood,
        long refused,
        long failed,
        long setUps,
        long violations,
        Map<Integer, Long> perRule,
        List<Finding> findings,
        double leastAnswerLeftMs,
        double leastGuardLeftMs) {}
