/** The turn of an event loop, shared by all programs that run the core on sockets. */
package damsonseam.loop;
