/**
 * The front node: SIP over TCP to callers and signalling servers, and binary frames from the coordinator, around the
 * core's router and the routing policy. This package keeps connections, transactions and dialogs, and bounds them;
 * what happens to a call is decided by the policy. Everything runs on one event loop.
 */
package damsonseam.node;
