package damsonseam.settings;

import damsonseam.RoutingPolicy.CallClass;
import damsonseam.RoutingPolicy.PolicySettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.function.Function;

/**
 * The settings that the platform gives to an instance, keyed by path ({@code Caps.MaxAttempts},
 * {@code RequestClasses.0.Worth}), and their mapping to the settings of the routing policy. Unknown paths are ignored.
 * The simulator's first message and the front node's configuration use the same paths. Immutable.
 */
public final class PlatformSettings {
    private final Map<String, String> values;
    private final Function<String, RuntimeException> errorFactory;

    /**
     * Creates settings from their values by path.
     *
     * @param errorFactory creates the exception for a malformed value from a phrase that says what was expected
     */
    public PlatformSettings(Map<String, String> values, Function<String, RuntimeException> errorFactory) {
        this.values = new HashMap<>(values);
        this.errorFactory = errorFactory;
    }

    /** Parses settings from space-separated {@code path=value} pairs. */
    public static PlatformSettings parse(String pairs, Function<String, RuntimeException> errorFactory) {
        Map<String, String> values = new HashMap<>();
        for (String pair : pairs.split(" ")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                values.put(pair.substring(0, equals), pair.substring(equals + 1));
            } else if (!pair.isEmpty()) {
                throw errorFactory.apply("settings as path=value");
            }
        }
        return new PlatformSettings(values, errorFactory);
    }

    /** Returns the settings of the routing policy. */
    public PolicySettings policySettings(long seed) {
        return new PolicySettings(
                seed,
                integer("Balancers"),
                classes(),
                integer("FamilyInfo.SelfNo"),
                integer("Caps.MaxAttempts"),
                flag("Caps.MayCancel"),
                flag("Caps.MayProbe"),
                flag("Caps.MayTell"),
                text("Discovery").map(mode -> mode.equals("ask")),
                number("Tick"),
                number("Invariants.AnswerSlack"),
                number("Invariants.DrainGrace"),
                number("Invariants.ColdFrom"),
                number("Invariants.WarmWithin"),
                number("Invariants.TipMultiple"),
                number("Invariants.Fall"),
                number("FamilyInfo.Guard"),
                number("FamilyInfo.Retransmit"),
                flag("Caps.RetryAfter").orElse(false) ? number("Caps.MaxRetryAfter") : OptionalDouble.empty());
    }

    /** Returns the names of the fields of a load report, in order. */
    public List<String> reportFields() {
        return text("Report.Fields").map(names -> List.of(names.split(","))).orElse(List.of());
    }

    /** Returns the names of the call classes, in order. */
    public List<String> classNames() {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < classCount(); i++) {
            names.add(text("RequestClasses." + i + ".Name").orElse(""));
        }
        return names;
    }

    /** Returns the maximum number of open calls of an instance, if the platform sets one. */
    public OptionalInt maxHeldCalls() {
        return integer("Caps.MostHeld");
    }

    /** Returns the timeout for establishing a connection, in milliseconds. */
    public OptionalDouble connectTimeout() {
        return number("Caps.ConnectTimeout");
    }

    private int classCount() {
        return integer("RequestClasses.count").orElse(0);
    }

    private List<CallClass> classes() {
        List<CallClass> classes = new ArrayList<>();
        for (int i = 0; i < classCount(); i++) {
            String path = "RequestClasses." + i + ".";
            classes.add(new CallClass(
                    number(path + "Aim"),
                    number(path + "HardLimit"),
                    number(path + "Worth"),
                    number(path + "LateValue"),
                    pools(i)));
        }
        return classes;
    }

    private Optional<List<Integer>> pools(int callClass) {
        Optional<String> poolNumbers = text("FamilyInfo.SkilledPools." + callClass);
        if (poolNumbers.isEmpty()) {
            return Optional.empty();
        }
        List<Integer> pools = new ArrayList<>();
        for (String pool : poolNumbers.get().split(",")) {
            pools.add((int) parseNumber(pool, "a pool number"));
        }
        return Optional.of(pools);
    }

    private Optional<String> text(String path) {
        String value = values.get(path);
        return value == null || value.isEmpty() || value.equals("-") ? Optional.empty() : Optional.of(value);
    }

    private OptionalDouble number(String path) {
        Optional<String> value = text(path);
        return value.isEmpty() ? OptionalDouble.empty() : OptionalDouble.of(parseNumber(value.get(), path));
    }

    private double parseNumber(String text, String name) {
        try {
            double value = Double.parseDouble(text);
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw errorFactory.apply(name + " as a number");
        }
        throw errorFactory.apply(name + " as a finite number");
    }

    private OptionalInt integer(String path) {
        OptionalDouble value = number(path);
        return value.isEmpty() ? OptionalInt.empty() : OptionalInt.of((int) value.getAsDouble());
    }

    private Optional<Boolean> flag(String path) {
        return text(path).map(value -> switch (value) {
            case "true", "1" -> true;
            case "false", "0" -> false;
            default -> throw errorFactory.apply(path + " as true or false");
        });
    }
}
