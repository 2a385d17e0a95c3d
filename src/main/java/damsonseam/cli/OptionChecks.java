package damsonseam.cli;

import damsonseam.config.Endpoint;
import damsonseam.config.SettingsException;

/** Checks of what the command line gives, in the words of the settings' errors and before anything is started. */
final class OptionChecks {

    private OptionChecks() {}

    /** A number within its range; null, not given, is fine. */
    static void checkRange(String option, Number value, double least, double most) throws SettingsException {
        if (value != null && !(value.doubleValue() >= least && value.doubleValue() <= most)) {
            throw new SettingsException(
                    option + ": expected " + text(least) + " to " + text(most) + ", found " + value);
        }
    }

    private static String text(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }

    /** An address and port. */
    static Endpoint parseEndpoint(String option, String text) throws SettingsException {
        try {
            return Endpoint.parse(text);
        } catch (IllegalArgumentException e) {
            throw new SettingsException(option + ": " + e.getMessage());
        }
    }
}
