/** The load generator: open arrivals of many independent callers to running fronts, and the outcomes of their calls. */
package damsonseam.load;
