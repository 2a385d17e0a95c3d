package damsonseam.audit;

import java.util.List;
import java.util.Map;

/**
 * The result of an audit. The component names are the keys of the JSON report.
 *
 * @param calls number of queries that a running front received in time
 * @param notTaken number of unanswered queries whose callers abandoned the call while the front was paused or killed
 * @param overtaken number of received queries whose callers abandoned the call while the front was paused, and that the
 *     front answered without an established call as soon as it ran again
 * @param resolved number of queries with a final answer
 * @param stood number of queries answered with an established call
 * @param refused number of queries answered with REFUSED
 * @param failed number of queries answered with any other failure
 * @param setUps number of set-ups that reached calculators
 * @param violations number of violations of all rules
 * @param perRule number of violations of each rule, by rule number
 * @param findings the first violations in the order of their detection
 * @param leastAnswerLeftMs minimum time between an answer and the end of its caller's patience, in milliseconds; not
 *     counted if the front was paused at the end of the patience
 * @param leastGuardLeftMs minimum time between the end of the guard time after an unsuccessful attempt and the next
 *     set-up, in milliseconds
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
