package damsonseam.core;

import damsonseam.RoutingPolicy.PolicySettings;

/**
 * Settings of the {@link Router}.
 *
 * @param policy settings of the routing policy
 * @param maxCalls maximum number of open calls, established ones included; further calls are refused at once
 * @param tickIntervalMs interval of the event loop's ticks, in milliseconds; any additional delay is a pause
 * @param releaseTimeoutMs time to wait for a server's confirmation of a release, in milliseconds
 * @param answerMarginMs time before a caller's deadline at which the core fails an unanswered call, in milliseconds
 */
public record RouterSettings(
        PolicySettings policy, int maxCalls, double tickIntervalMs, double releaseTimeoutMs, double answerMarginMs) {}
