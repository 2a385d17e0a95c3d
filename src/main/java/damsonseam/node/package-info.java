/**
 * The front node: the platform's own protocol, SIP toward callers and signalling servers and binary frames from
 * the coordinator, around the core's router and the decision module. Bookkeeping and bounds only: what happens
 * to a call is decided by the module. All of it runs on one event loop.
 */
package damsonseam.node;
