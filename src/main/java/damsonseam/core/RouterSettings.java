package damsonseam.core;

import damsonseam.RoutingPolicy.PolicySettings;

/**
 * What the core is given at the start.
 *
 * @param module what the decision module is given
 * @param mostCalls calls open at one time, standing ones included; one more is refused at once
 * @param beat time between two beats of the loop, in milliseconds; what comes later than that is a pause
 * @param releaseWait how long the proof is awaited that a server has a release, in milliseconds
 * @param lastMoment how long before a caller gives up the core itself fails a call still unanswered
 */
public record RouterSettings(
        PolicySettings module, int mostCalls, double beat, double releaseWait, double lastMoment) {}
