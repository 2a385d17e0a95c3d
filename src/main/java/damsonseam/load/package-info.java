/** Load on a front as many callers would put it there: open arrivals that wait for nobody, and what became of them. */
package damsonseam.load;
