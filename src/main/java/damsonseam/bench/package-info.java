/** Benchmarks. Each returns one report, printed as a line of JSON, and compares within one run wherever possible. */
package damsonseam.bench;
