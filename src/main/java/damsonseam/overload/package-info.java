/**
 * The front's own overload: what it measures of itself, and which calls it does not take so that it does not fall
 * behind. Decisions only: no I/O, no threads, no clock; time is passed in, chance is seeded.
 */
package damsonseam.overload;
