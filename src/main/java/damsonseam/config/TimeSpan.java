package damsonseam.config;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A duration as written in settings files: a number and its unit, such as {@code 250 ms} or {@code 1.5 s}.
 *
 * @param ms the duration in milliseconds
 */
public record TimeSpan(double ms) {
    private static final Pattern FORMAT = Pattern.compile("(\\d+(?:\\.\\d+)?)\\s*(ms|s|min|h|d)");

    /** Parses a duration. A number without a unit is rejected as ambiguous. */
    @JsonCreator
    public static TimeSpan parse(String text) {
        Matcher matcher = FORMAT.matcher(text.trim().toLowerCase(Locale.ROOT));
        if (!matcher.matches()) {
            throw new IllegalArgumentException("expected a time with its unit, such as 250 ms or 1.5 s, found " + text);
        }
        double unitMs =
                switch (matcher.group(2)) {
                    case "ms" -> 1;
                    case "s" -> 1_000;
                    case "min" -> 60_000;
                    case "h" -> 3_600_000;
                    default -> 86_400_000;
                };
        return new TimeSpan(Double.parseDouble(matcher.group(1)) * unitMs);
    }

    /** Returns a duration of {@code ms} milliseconds. */
    public static TimeSpan ms(double ms) {
        return new TimeSpan(ms);
    }

    @JsonValue
    @Override
    public String toString() {
        return (ms == Math.rint(ms) ? Long.toString((long) ms) : Double.toString(ms)) + " ms";
    }
}
