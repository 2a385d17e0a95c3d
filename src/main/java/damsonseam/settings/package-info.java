/** Maps the platform's settings and load reports to those of the routing policy; shared by all programs. */
package damsonseam.settings;
