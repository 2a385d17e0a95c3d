package damsonseam.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.NumericChars;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

/** Guards against a number assigned to the wrong class or patience, and against ambiguous or malformed plans. */
class NumberPlanTest {

    @Property(tries = 300)
    void longestMatchingPrefixApplies(
            @ForAll @Size(max = 30) Set<@NumericChars @StringLength(max = 4) String> prefixes,
            @ForAll @NumericChars @StringLength(min = 1, max = 8) String number) {
        List<NumberPlan.Entry> entries = new ArrayList<>();
        prefixes.forEach(p -> entries.add(new NumberPlan.Entry(p, p.length(), 1)));
        String longestMatch = prefixes.stream()
                .filter(number::startsWith)
                .max((a, b) -> Integer.compare(a.length(), b.length()))
                .orElse(null);
        NumberPlan.Entry found = new NumberPlan(entries).find(number);
        assertEquals(longestMatch, found == null ? null : found.prefix());
    }

    @Property(tries = 20)
    void duplicatePrefixIsRejected(@ForAll @IntRange(max = 999) int prefix) {
        NumberPlan.Entry entry = new NumberPlan.Entry("" + prefix, 0, 1);
        assertThrows(IllegalArgumentException.class, () -> new NumberPlan(List.of(entry, entry)));
    }

    @Test
    void numbersAndPrefixesWithNonDigitsAreRejected() {
        NumberPlan plan = new NumberPlan(List.of(new NumberPlan.Entry("59", 0, 1)));
        assertNull(plan.find("5x9"));
        assertThrows(IllegalArgumentException.class, () -> new NumberPlan(List.of(new NumberPlan.Entry("5a", 0, 1))));
    }
}
