package damsonseam.front;

import damsonseam.overload.DelayDiagnosis.Cause;
import java.util.Map;

/**
 * What a front says of its run.
 *
 * @param taken calls that reached the core
 * @param stood answered: stands
 * @param refused answered: refused, by the core or the module
 * @param failed answered: failed
 * @param setUps set-ups sent
 * @param read questions read from the datagram socket
 * @param repeated of these, asked before
 * @param tooOld of these, whose callers' time was over when they were read
 * @param queueFull of these, refused as their line before the loop was full
 * @param offered first questions by rank of worth, the least first
 * @param turnedAway of these, refused before they became calls
 * @param loopP50Ms delay of the loop's beats, median
 * @param loopP99Ms 99th percentile
 * @param loopMaxMs longest
 * @param intakeP99Ms the same of the thread that reads the socket
 * @param intakeMaxMs longest
 * @param perCallUs what a call cost the loop when last measured under load, in microseconds
 * @param loopOctetsPerCall octets allocated by the loop for each call taken
 * @param collectorMs time that collections took
 * @param heap share of the heap left in use by the last collection
 * @param cacheRoom share of its room that the cache of look-ups may fill
 * @param seconds seconds by the state found for each
 * @param longestMomentMs longest time that the decision module took for one moment
 * @param open calls open now
 * @param unanswered of these, without a final answer
 * @param heldRoom unanswered calls from which on the cheapest are refused
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
