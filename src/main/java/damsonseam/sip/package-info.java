/**
 * Messages of SIP (RFC 3261) on Netty buffers: header names, a bounded incremental decoder and the encoder. No
 * I/O, no transactions and no decisions: what a message means is up to who holds the connection.
 */
package damsonseam.sip;
