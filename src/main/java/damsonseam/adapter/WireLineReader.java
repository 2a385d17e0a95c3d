package damsonseam.adapter;

import java.util.OptionalDouble;

/**
 * Reads one line of the adapter's protocol from left to right. Tokens are separated by single spaces. Each read method
 * takes the name of the expected value for the error message.
 */
final class WireLineReader {
    private final String text;
    private final long lineNumber;
    private int position;

    WireLineReader(String text, long lineNumber) {
        this.text = text;
        this.lineNumber = lineNumber;
    }

    /** Returns an exception that names the line and what was expected there. */
    WireFormatException formatError(String expected) {
        return new WireFormatException("line " + lineNumber + ": expected " + expected + ", found: " + text);
    }

    /** Returns the next token, which must be present. */
    String readToken(String name) {
        if (position >= text.length()) {
            throw formatError(name);
        }
        int space = text.indexOf(' ', position);
        int end = space < 0 ? text.length() : space;
        String token = text.substring(position, end);
        if (token.isEmpty()) {
            throw formatError(name);
        }
        position = end + 1;
        return token;
    }

    /** Returns the rest of the line, empty if there is none. */
    String readRest() {
        String rest = position >= text.length() ? "" : text.substring(position);
        position = text.length();
        return rest;
    }

    /** Checks that nothing is left of the line. */
    void expectEnd() {
        if (position < text.length()) {
            throw formatError("the end of the line");
        }
    }

    /** Returns the next token as a number, or empty if it is a hyphen. */
    OptionalDouble readOptionalDouble(String name) {
        String token = readToken(name);
        return token.equals("-") ? OptionalDouble.empty() : OptionalDouble.of(parseDouble(token, name));
    }

    double readDouble(String name) {
        return parseDouble(readToken(name), name);
    }

    int readInt(String name) {
        long value = readLong(name);
        if (value < Integer.MIN_VALUE || value > Integer.MAX_VALUE) {
            throw formatError(name);
        }
        return (int) value;
    }

    long readLong(String name) {
        try {
            return Long.parseLong(readToken(name));
        } catch (NumberFormatException e) {
            throw formatError(name + " as a whole number");
        }
    }

    /** Returns the next token as a flag, which is 0 or 1. */
    boolean readFlag(String name) {
        String token = readToken(name);
        if (!token.equals("0") && !token.equals("1")) {
            throw formatError(name + " as 0 or 1");
        }
        return token.equals("1");
    }

    double parseDouble(String token, String name) {
        try {
            double value = Double.parseDouble(token);
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw formatError(name + " as a number");
        }
        throw formatError(name + " as a finite number");
    }
}
