/**
 * ENUM over DNS (RFC 6116): the server that callers query, and the resolver that looks numbers up at the authoritative
 * name servers. Messages are encoded and decoded with dnsjava, apart from a fast path for the common form. No class of
 * this package opens a socket, starts a thread or reads a clock.
 */
package damsonseam.dns;
