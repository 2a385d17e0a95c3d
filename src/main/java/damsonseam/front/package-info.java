/**
 * The running ENUM front: Netty sockets around the core. One event loop owns the core, the routing policy, the DNS
 * listener, the resolver's sockets and all trunk connections. The pool directory's gRPC stream hands its updates over
 * to that loop; DNS queries over UDP are read by a thread of their own.
 */
package damsonseam.front;
