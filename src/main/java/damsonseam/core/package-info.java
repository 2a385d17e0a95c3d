/**
 * Bookkeeping of calls, timers, circuits and the server list. The package has no sockets, threads or clock of its own:
 * the current time is passed in, in milliseconds of the front's clock. It depends on the routing policy and on nothing
 * that performs I/O.
 */
package damsonseam.core;
