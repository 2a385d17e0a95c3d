/** What the platform's settings and load reports mean in the terms of the module; one mapping for all programs. */
package damsonseam.settings;
