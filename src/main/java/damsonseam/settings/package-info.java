/** Maps the platform's settings and load reports to those of the decision module; shared by all programs. */
package damsonseam.settings;
