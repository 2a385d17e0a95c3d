package damsonseam.audit;

/**
 * A violation of a rule. The component names are the keys of the JSON report.
 *
 * @param rule number of the rule, 1 to 5
 * @param timeUs time of the violation on the clock of the wire logs, in microseconds
 * @param front name of the front that broke the rule, or {@code all} for rule 4
 * @param what description that contains the called number or the server
 */
public record Finding(int rule, long timeUs, String front, String what) {}
