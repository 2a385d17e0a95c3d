package damsonseam.settings;

import damsonseam.Front.CallClass;
import damsonseam.Front.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.function.Function;

/**
 * The settings that the platform gives an instance, by their paths as the wire writes them
 * ({@code Caps.MaxAttempts}, {@code RequestClasses.0.Worth}), in the terms of the interface. Unknown ones are
 * skipped. The simulator's first message and a front node's configuration hold the same.
 */
public final class PlatformSettings {
    private final Map<String, String> values;
    private final Function<String, RuntimeException> wrong;

    /**
     * Settings by their paths.
     *
     * @param wrong makes the error of the program that reads them out of what was expected
     */
    public PlatformSettings(Map<String, String> values, Function<String, RuntimeException> wrong) {
        this.values = new HashMap<>(values);
        this.wrong = wrong;
    }

    /** Settings as space-separated {@code path=value} pairs. */
    public static PlatformSettings parse(String pairs, Function<String, RuntimeException> wrong) {
        Map<String, String> values = new HashMap<>();
        for (String pair : pairs.split(" ")) {
            int eq = pair.indexOf('=');
            if (eq > 0) {
                values.put(pair.substring(0, eq), pair.substring(eq + 1));
            } else if (!pair.isEmpty()) {
                throw wrong.apply("settings as path=value");
            }
        }
        return new PlatformSettings(values, wrong);
    }

    /** What the decision module is given. */
    public Settings moduleSettings(long seed) {
        return new Settings(
                seed,
                whole("Balancers"),
                classes(),
                whole("FamilyInfo.SelfNo"),
                whole("Caps.MaxAttempts"),
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

    /** Names of the values of a load report, in their order. */
    public List<String> reportFields() {
        return text("Report.Fields").map(names -> List.of(names.split(","))).orElse(List.of());
    }

    /** Names of the classes of call, in their order. */
    public List<String> classNames() {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < classCount(); i++) {
            names.add(text("RequestClasses." + i + ".Name").orElse(""));
        }
        return names;
    }

    /** Calls that an instance may hold open, where the platform says so. */
    public OptionalInt maxHeldCalls() {
        return whole("Caps.MostHeld");
    }

    /** How long a connection may take to be made, in milliseconds. */
    public OptionalDouble connectTimeout() {
        return number("Caps.ConnectTimeout");
    }

    private int classCount() {
        return whole("RequestClasses.count").orElse(0);
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
        Optional<String> list = text("FamilyInfo.SkilledPools." + callClass);
        if (list.isEmpty()) {
            return Optional.empty();
        }
        List<Integer> pools = new ArrayList<>();
        for (String pool : list.get().split(",")) {
            pools.add((int) decimal(pool, "a pool number"));
        }
        return Optional.of(pools);
    }

    private Optional<String> text(String path) {
        String value = values.get(path);
        return value == null || value.isEmpty() || value.equals("-") ? Optional.empty() : Optional.of(value);
    }

    private OptionalDouble number(String path) {
        Optional<String> value = text(path);
        return value.isEmpty() ? OptionalDouble.empty() : OptionalDouble.of(decimal(value.get(), path));
    }

    private double decimal(String word, String name) {
        try {
            double value = Double.parseDouble(word);
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw wrong.apply(name + " as a number");
        }
        throw wrong.apply(name + " as a finite number");
    }

    private OptionalInt whole(String path) {
        OptionalDouble value = number(path);
        return value.isEmpty() ? OptionalInt.empty() : OptionalInt.of((int) value.getAsDouble());
    }

    private Optional<Boolean> flag(String path) {
        return text(path).map(value -> switch (value) {
            case "true", "1" -> true;
            case "false", "0" -> false;
            default -> throw wrong.apply(path + " as true or false");
        });
    }
}
