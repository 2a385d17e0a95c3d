/** Drives the core on a Netty event loop; shared by all programs that run the core on sockets. */
package damsonseam.loop;
