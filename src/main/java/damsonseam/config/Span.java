package damsonseam.config;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A length of time as files write it: a number and its unit, such as {@code 250 ms} or {@code 1.5 s}.
 *
 * @param ms milliseconds
 */
public record Span(double ms) {
    private static final Pattern FORM = Pattern.compile("(\\d+(?:\\.\\d+)?)\\s*(ms|s|min|h|d)");

    /** Reads one; a number without a unit is refused, as nobody can tell what it means. */
    @JsonCreator
    public static Span of(String text) {
        Matcher m = FORM.matcher(text.trim().toLowerCase(Locale.ROOT));
        if (!m.matches()) {
            throw new IllegalArgumentException("expected a time with its unit, such as 250 ms or 1.5 s, found " + text);
        }
        double unit =
                switch (m.group(2)) {
                    case "ms" -> 1;
                    case "s" -> 1_000;
                    case "min" -> 60_000;
                    case "h" -> 3_600_000;
                    default -> 86_400_000;
                };
        return new Span(Double.parseDouble(m.group(1)) * unit);
    }

    /** So many milliseconds. */
    public static Span ms(double ms) {
        return new Span(ms);
    }

    @JsonValue
    @Override
    public String toString() {
        return (ms == Math.rint(ms) ? Long.toString((long) ms) : Double.toString(ms)) + " ms";
    }
}
