/**
 * Signalling toward the calculators: M3UA (RFC 4666) carrying ISUP (ITU-T Q.763 formats, Q.764 procedures). Codecs
 * convert whole messages; {@link damsonseam.ss7.AspSession} and {@link damsonseam.ss7.TrunkGroup} are state machines
 * without sockets, threads or a clock.
 */
package damsonseam.ss7;
