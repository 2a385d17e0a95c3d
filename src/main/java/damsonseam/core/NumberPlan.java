package damsonseam.core;

import java.util.List;

/**
 * Maps a number to the class of its calls and the patience of its callers, before any lookup. The longest matching
 * prefix applies. Implemented as a trie over the digits, so that the cost of a search depends on the length of the
 * number and not on the size of the plan. Immutable.
 */
public final class NumberPlan {
    /** Maximum number of prefixes. */
    public static final int MAX_PREFIXES = 100_000;

    private static final int RADIX = 10;

    private final Node root = new Node();
    private final int size;

    /**
     * An entry of the plan.
     *
     * @param prefix leading digits, empty to match all numbers
     * @param callClass index of the call class in the settings
     * @param patience time a caller waits for the answer to one call, in milliseconds
     */
    public record Entry(String prefix, int callClass, double patience) {}

    private static final class Node {
        final Node[] next = new Node[RADIX];
        Entry entry;
    }

    /** Creates a plan from its entries; throws if they exceed the limit, repeat a prefix or contain non-digits. */
    public NumberPlan(List<Entry> entries) {
        if (entries.size() > MAX_PREFIXES) {
            throw new IllegalArgumentException(entries.size() + " prefixes exceed the maximum of " + MAX_PREFIXES);
        }
        for (Entry entry : entries) {
            Node node = root;
            for (char c : entry.prefix().toCharArray()) {
                if (c < '0' || c > '9') {
                    throw new IllegalArgumentException(
                            "prefix " + entry.prefix() + " contains a character that is not a digit");
                }
                if (node.next[c - '0'] == null) {
                    node.next[c - '0'] = new Node();
                }
                node = node.next[c - '0'];
            }
            if (node.entry != null) {
                throw new IllegalArgumentException("prefix " + entry.prefix() + " is listed twice");
            }
            node.entry = entry;
        }
        size = entries.size();
    }

    /** Returns the entry with the longest prefix of the number, or null if no prefix matches. */
    public Entry find(String number) {
        Node node = root;
        Entry best = root.entry;
        for (int i = 0; i < number.length() && node != null; i++) {
            int digit = number.charAt(i) - '0';
            node = digit < 0 || digit >= RADIX ? null : node.next[digit];
            best = node != null && node.entry != null ? node.entry : best;
        }
        return best;
    }

    /** Returns the number of entries. */
    public int size() {
        return size;
    }
}
