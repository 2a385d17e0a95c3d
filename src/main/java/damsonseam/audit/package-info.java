/**
 * Logs of the messages that passed the sockets during a run, and the audit that checks the five rules of routing from
 * these logs alone, independently of anything the fronts report.
 */
package damsonseam.audit;
