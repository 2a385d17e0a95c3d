package damsonseam.settings;

import damsonseam.RoutingPolicy.ServerLoadReport;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.Function;

/** Parses load reports given as name:value pairs. Only the fields listed in the settings are used. Immutable. */
public final class LoadReportParser {
    private final List<String> fields;
    private final char separator;

    /**
     * Creates a parser.
     *
     * @param fields names of the fields to use
     * @param separator character that separates two pairs
     */
    public LoadReportParser(List<String> fields, char separator) {
        this.fields = List.copyOf(fields);
        this.separator = separator;
    }

    /**
     * Parses a report; an empty text or a dash yields {@link Report#NONE}.
     *
     * @param errorFactory creates the exception for malformed input from a phrase that says what was expected
     */
    public ServerLoadReport parse(String text, Function<String, RuntimeException> errorFactory) {
        if (text.isEmpty() || text.equals("-")) {
            return ServerLoadReport.NONE;
        }
        Map<String, OptionalDouble> values = new HashMap<>();
        for (int start = 0; start <= text.length(); ) {
            int separatorIndex = text.indexOf(separator, start);
            int end = separatorIndex < 0 ? text.length() : separatorIndex;
            String pair = text.substring(start, end).strip();
            start = end + 1;
            int colon = pair.indexOf(':');
            if (colon <= 0) {
                throw errorFactory.apply("a load report as name:value pairs");
            }
            String name = pair.substring(0, colon);
            if (fields.contains(name) && !pair.endsWith(":-")) {
                values.put(name, parseValue(pair.substring(colon + 1), name, errorFactory));
            }
        }
        return new ServerLoadReport(
                value(values, "spare"),
                value(values, "total"),
                value(values, "svc_ms"),
                value(values, "cpu_share"),
                value(values, "pending"));
    }

    /** Parses a value; a negative one means that the value is unknown. */
    private static OptionalDouble parseValue(
            String text, String name, Function<String, RuntimeException> errorFactory) {
        double value;
        try {
            value = Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw errorFactory.apply(name + " as a number");
        }
        if (!Double.isFinite(value)) {
            throw errorFactory.apply(name + " as a finite number");
        }
        return value < 0 ? OptionalDouble.empty() : OptionalDouble.of(value);
    }

    private static OptionalDouble value(Map<String, OptionalDouble> values, String name) {
        return values.getOrDefault(name, OptionalDouble.empty());
    }
}
