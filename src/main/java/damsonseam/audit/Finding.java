package damsonseam.audit;

/**
 * A broken rule.
 *
 * @param rule 1 to 5
 * @param timeUs when, on the clock of the wire logs
 * @param front the front that broke it, or all for rule 4
 * @param what in words, with the call's number or the server
 */
public record Finding(int rule, long timeUs, String front, String what) {}
