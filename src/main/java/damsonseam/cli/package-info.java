/** The command line: thin picocli commands over the other packages. */
package damsonseam.cli;
