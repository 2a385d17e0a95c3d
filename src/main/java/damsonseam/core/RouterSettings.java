package damsonseam.core;

import damsonseam.Front.Settings;

/**
 * What the core is given at the start.
 *
 * @param module what the decision module is given
 * @param maxCalls calls open at one time, standing ones included; one more is refused at once
 * @param tickIntervalMs time between two beats of the loop, in milliseconds; what comes later than that is a pause
 * @param releaseTimeoutMs how long the proof is awaited that a server has a release, in milliseconds
 * @param answerMarginMs how long before a caller gives up the core itself fails a call still unanswered
 */
public record RouterSettings(Settings module, int maxCalls, double tickIntervalMs, double releaseTimeoutMs, double answerMarginMs) {}
