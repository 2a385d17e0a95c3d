package damsonseam.core;

import java.util.List;

/**
 * What a number tells before it is looked up: the class of its call and how long its caller waits. Longest
 * prefix wins. A trie over digits, so that the work is the length of the number and not the size of the plan.
 */
public final class NumberPlan {
    /** Prefixes at most. */
    public static final int MAX_PREFIXES = 100_000;

    private static final int RADIX = 10;

    private final Node root = new Node();
    private final int size;

    /**
     * One line of the plan.
     *
     * @param prefix leading digits, empty for all numbers
     * @param callClass place of the class in the settings
     * @param patience how long a caller waits for one try, in milliseconds
     */
    public record Entry(String prefix, int callClass, double patience) {}

    private static final class Node {
        final Node[] next = new Node[RADIX];
        Entry entry;
    }

    /** A plan of these lines. */
    public NumberPlan(List<Entry> entries) {
        if (entries.size() > MAX_PREFIXES) {
            throw new IllegalArgumentException(entries.size() + " prefixes, at most " + MAX_PREFIXES);
        }
        for (Entry entry : entries) {
            Node node = root;
            for (char c : entry.prefix().toCharArray()) {
                if (c < '0' || c > '9') {
                    throw new IllegalArgumentException("prefix " + entry.prefix() + " is not all digits");
                }
                if (node.next[c - '0'] == null) {
                    node.next[c - '0'] = new Node();
                }
                node = node.next[c - '0'];
            }
            if (node.entry != null) {
                throw new IllegalArgumentException("prefix " + entry.prefix() + " stands twice");
            }
            node.entry = entry;
        }
        size = entries.size();
    }

    /** The line for a number, or null if none covers it. */
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

    /** Lines of the plan. */
    public int size() {
        return size;
    }
}
