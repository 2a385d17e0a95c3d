/**
 * Overload control of the front itself: its measurements of its own load and the admission control based on them.
 * The package performs no I/O and has no threads and no clock: the current time is passed in, and random numbers are
 * seeded.
 */
package damsonseam.overload;
