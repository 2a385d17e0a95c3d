/**
 * Simulated peers of a front, written from the public specifications, for tests, the demo and scripted scenario
 * runs. They listen on loopback only.
 */
package damsonseam.standin;
