/**
 * SIP messages (RFC 3261) on Netty buffers: message and headers, a bounded incremental decoder and an encoder. There is
 * no I/O and no transaction state here; the meaning of a message is up to the owner of the connection.
 */
package damsonseam.sip;
