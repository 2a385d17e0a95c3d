package damsonseam.cli;

import damsonseam.config.Endpoint;
import damsonseam.config.SettingsException;

/** Checks option values before anything is started; errors are worded like those of settings files. */
final class OptionChecks {

    private OptionChecks() {}

    /** Throws unless the value lies within its range; null, for an option not given, is accepted. */
    static void checkRange(String option, Number value, double min, double max) throws SettingsException {
        if (value != null && !(value.doubleValue() >= min && value.doubleValue() <= max)) {
            throw new SettingsException(
                    option + ": expected " + format(min) + " to " + format(max) + ", found " + value);
        }
    }

    private static String format(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }

    /** Parses HOST:PORT. */
    static Endpoint parseEndpoint(String option, String text) throws SettingsException {
        try {
            return Endpoint.parse(text);
        } catch (IllegalArgumentException e) {
            throw new SettingsException(option + ": " + e.getMessage());
        }
    }
}
