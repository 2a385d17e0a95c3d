package damsonseam.config;

/** Thrown for an invalid settings or scenario file. The message is one line: file, line and the expected value. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message for the operator. */
    public SettingsException(String message) {
        super(message);
    }
}
