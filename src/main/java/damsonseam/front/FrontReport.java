package damsonseam.front;

import damsonseam.overload.DelayDiagnosis.Cause;
import java.util.Map;

/**
 * Counters and measurements of a front since its start. Serialized to JSON under the component names.
 *
 * @param taken calls that reached the core
 * @param stood calls answered as established
 * @param refused calls answered as refused by the core or the routing policy
 * @param failed calls answered as failed
 * @param setUps set-ups sent
 * @param read queries read from the datagram socket
 * @param repeated queries that were retransmissions
 * @param tooOld queries whose caller's patience was over when they were read
 * @param queueFull queries refused because the queue of their rank was full
 * @param offered new queries by rank of worth, lowest first
 * @param turnedAway queries refused before they became calls, by rank of worth, lowest first
 * @param loopP50Ms median delay of the event loop's ticks, in milliseconds
 * @param loopP99Ms 99th percentile of that delay, in milliseconds
 * @param loopMaxMs maximum of that delay, in milliseconds
 * @param intakeP99Ms 99th percentile of the delay of the intake thread's ticks, in milliseconds
 * @param intakeMaxMs maximum of that delay, in milliseconds
 * @param perCallUs event-loop time per call when last measured under load, in microseconds
 * @param loopOctetsPerCall bytes allocated by the event loop's thread per call taken
 * @param collectorMs time spent in garbage collections, in milliseconds
 * @param heap share of the maximum heap in use after the last collection
 * @param cacheRoom share of its capacity that the lookup cache may fill
 * @param seconds number of seconds diagnosed with each cause
 * @param longestMomentMs longest time the routing policy took for a batch of simultaneous events, in milliseconds
 * @param open calls open now
 * @param unanswered open calls without a final answer
 * @param heldRoom number of unanswered calls from which calls of the lowest worth are refused
 */
public record FrontReport(
        long taken,
        long stood,
        long refused,
        long failed,
        long setUps,
        long read,
        long repeated,
        long tooOld,
        long queueFull,
        long[] offered,
        long[] turnedAway,
        double loopP50Ms,
        double loopP99Ms,
        double loopMaxMs,
        double intakeP99Ms,
        double intakeMaxMs,
        double perCallUs,
        long loopOctetsPerCall,
        double collectorMs,
        double heap,
        double cacheRoom,
        Map<Cause, Long> seconds,
        double longestMomentMs,
        int open,
        int unanswered,
        double heldRoom) {}
