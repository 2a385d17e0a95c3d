/** Settings files: YAML is read into validated records; errors name the file, the line and the expected value. */
package damsonseam.config;
