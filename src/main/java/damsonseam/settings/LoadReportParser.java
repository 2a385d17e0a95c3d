package damsonseam.settings;

import damsonseam.Front.Report;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.Function;

/** Load reports as name:value pairs, of which only the names count that the settings name. */
public final class LoadReportParser {
    private final List<String> fields;
    private final char separator;

    /**
     * Reports of these values.
     *
     * @param between what stands between two pairs
     */
    public LoadReportParser(List<String> fields, char between) {
        this.fields = List.copyOf(fields);
        this.separator = between;
    }

    /**
     * Reads a report; an empty text, or one that is a dash, says nothing.
     *
     * @param wrong makes the error of the program that reads it out of what was expected
     */
    public Report parse(String text, Function<String, RuntimeException> wrong) {
        if (text.isEmpty() || text.equals("-")) {
            return Report.NONE;
        }
        Map<String, OptionalDouble> values = new HashMap<>();
        for (int at = 0; at <= text.length(); ) {
            int next = text.indexOf(separator, at);
            int end = next < 0 ? text.length() : next;
            String pair = text.substring(at, end).strip();
            at = end + 1;
            int colon = pair.indexOf(':');
            if (colon <= 0) {
                throw wrong.apply("a load report as name:value pairs");
            }
            String name = pair.substring(0, colon);
            if (fields.contains(name) && !pair.endsWith(":-")) {
                values.put(name, decimal(pair.substring(colon + 1), name, wrong));
            }
        }
        return new Report(
                value(values, "spare"),
                value(values, "total"),
                value(values, "svc_ms"),
                value(values, "cpu_share"),
                value(values, "pending"));
    }

    /** A value below 0 is not given. */
    private static OptionalDouble decimal(String word, String name, Function<String, RuntimeException> wrong) {
        double value;
        try {
            value = Double.parseDouble(word);
        } catch (NumberFormatException e) {
            throw wrong.apply(name + " as a number");
        }
        if (!Double.isFinite(value)) {
            throw wrong.apply(name + " as a finite number");
        }
        return value < 0 ? OptionalDouble.empty() : OptionalDouble.of(value);
    }

    private static OptionalDouble value(Map<String, OptionalDouble> values, String name) {
        return values.getOrDefault(name, OptionalDouble.empty());
    }
}
