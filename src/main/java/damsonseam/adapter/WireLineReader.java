package damsonseam.adapter;

import java.util.OptionalDouble;

/** One line of the wire, read from left to right. */
final class WireLineReader {
    private final String text;
    private final long number;
    private int at;

    WireLineReader(String text, long number) {
        this.text = text;
        this.number = number;
    }

    WireFormatException wrong(String expected) {
        return new WireFormatException("line " + number + ": expected " + expected + ", found: " + text);
    }

    /** The next value; the line must have one. */
    String word(String name) {
        if (at >= text.length()) {
            throw wrong(name);
        }
        int space = text.indexOf(' ', at);
        int end = space < 0 ? text.length() : space;
        String word = text.substring(at, end);
        if (word.isEmpty()) {
            throw wrong(name);
        }
        at = end + 1;
        return word;
    }

    /** The rest of the line, empty when there is none. */
    String rest() {
        String rest = at >= text.length() ? "" : text.substring(at);
        at = text.length();
        return rest;
    }

    void end() {
        if (at < text.length()) {
            throw wrong("the end of the line");
        }
    }

    OptionalDouble optional(String name) {
        String word = word(name);
        return word.equals("-") ? OptionalDouble.empty() : OptionalDouble.of(decimal(word, name));
    }

    double number(String name) {
        return decimal(word(name), name);
    }

    int small(String name) {
        long value = whole(name);
        if (value < Integer.MIN_VALUE || value > Integer.MAX_VALUE) {
            throw wrong(name);
        }
        return (int) value;
    }

    long whole(String name) {
        try {
            return Long.parseLong(word(name));
        } catch (NumberFormatException e) {
            throw wrong(name + " as a whole number");
        }
    }

    boolean flag(String name) {
        String word = word(name);
        if (!word.equals("0") && !word.equals("1")) {
            throw wrong(name + " as 0 or 1");
        }
        return word.equals("1");
    }

    double decimal(String word, String name) {
        try {
            double value = Double.parseDouble(word);
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw wrong(name + " as a number");
        }
        throw wrong(name + " as a finite number");
    }
}
