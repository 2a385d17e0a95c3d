/** Scripted scenario runs: real fronts and stand-ins on loopback, injected faults, and an audit of the wire logs. */
package damsonseam.day;
