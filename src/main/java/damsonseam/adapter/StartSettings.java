package damsonseam.adapter;

import damsonseam.Front.CallClass;
import damsonseam.Front.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;

/** The settings of a {@code boot} line, in the terms of the interface. Unknown ones are skipped. */
final class StartSettings {
    private final Map<String, String> values = new HashMap<>();
    private final Line line;

    private StartSettings(Line line, String pairs) {
        this.line = line;
        for (String pair : pairs.split(" ")) {
            int eq = pair.indexOf('=');
            if (eq > 0) {
                values.put(pair.substring(0, eq), pair.substring(eq + 1));
            } else if (!pair.isEmpty()) {
                throw line.wrong("settings as path=value");
            }
        }
    }

    static StartSettings parse(Line line, String pairs) {
        return new StartSettings(line, pairs);
    }

    Settings settings(long seed) {
        return new Settings(seed, whole("Balancers"), classes(), whole("FamilyInfo.SelfNo"),
                whole("Caps.MaxAttempts"), flag("Caps.MayCancel"), flag("Caps.MayProbe"),
                flag("Caps.MayTell"), text("Discovery").map(mode -> mode.equals("ask")), number("Tick"),
                number("Invariants.AnswerSlack"), number("Invariants.DrainGrace"),
                number("Invariants.ColdFrom"), number("Invariants.WarmWithin"),
                number("Invariants.TipMultiple"), number("Invariants.Fall"),
                number("FamilyInfo.Guard"), number("FamilyInfo.Retransmit"),
                flag("Caps.RetryAfter").orElse(false)
                        ? number("Caps.MaxRetryAfter") : OptionalDouble.empty());
    }

    /** Names of the values of a load report, in their order. */
    List<String> reportFields() {
        return text("Report.Fields").map(names -> List.of(names.split(","))).orElse(List.of());
    }

    private List<CallClass> classes() {
        List<CallClass> classes = new ArrayList<>();
        int count = whole("RequestClasses.count").orElse(0);
        for (int i = 0; i < count; i++) {
            String path = "RequestClasses." + i + ".";
            classes.add(new CallClass(number(path + "Aim"), number(path + "HardLimit"),
                    number(path + "Worth"), number(path + "LateValue"), pools(i)));
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
            pools.add((int) line.decimal(pool, "a pool number"));
        }
        return Optional.of(pools);
    }

    private Optional<String> text(String path) {
        String value = values.get(path);
        return value == null || value.isEmpty() || value.equals("-") ? Optional.empty() : Optional.of(value);
    }

    private OptionalDouble number(String path) {
        Optional<String> value = text(path);
        return value.isEmpty() ? OptionalDouble.empty() : OptionalDouble.of(line.decimal(value.get(), path));
    }

    private OptionalInt whole(String path) {
        OptionalDouble value = number(path);
        return value.isEmpty() ? OptionalInt.empty() : OptionalInt.of((int) value.getAsDouble());
    }

    private Optional<Boolean> flag(String path) {
        return text(path).map(value -> switch (value) {
            case "true", "1" -> true;
            case "false", "0" -> false;
            default -> throw line.wrong(path + " as true or false");
        });
    }
}
