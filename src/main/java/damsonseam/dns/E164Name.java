package damsonseam.dns;

import org.xbill.DNS.Name;
import org.xbill.DNS.TextParseException;

/** Converts between E.164 numbers and domain names: one label per digit, reversed, under a suffix (RFC 6116 3.2). */
public final class E164Name {
    /** Maximum length of a number: E.164 allows 15 digits, some networks use a few more. */
    public static final int MAX_DIGITS = 20;

    private E164Name() {}

    /** Parses a suffix, which is taken to be absolute. */
    public static Name parseSuffix(String text) {
        try {
            Name name = Name.fromString(text, Name.root);
            // Each digit takes two octets of the 255 that a name may have; the longest number must fit as well.
            if (name.length() + 2 * MAX_DIGITS > 255) {
                throw new IllegalArgumentException("suffix: too long for " + MAX_DIGITS + " digits: " + text);
            }
            return name;
        } catch (TextParseException e) {
            throw new IllegalArgumentException("suffix: expected a domain name, found " + text, e);
        }
    }

    /** Returns the domain name of a number under a suffix. */
    public static Name toName(String number, Name suffix) {
        StringBuilder labels = new StringBuilder(2 * number.length());
        for (int i = number.length() - 1; i >= 0; i--) {
            char digit = number.charAt(i);
            if (digit < '0' || digit > '9') {
                throw new IllegalArgumentException("number must consist of digits only: " + number);
            }
            labels.append(digit).append(i > 0 ? "." : "");
        }
        if (number.isEmpty() || number.length() > MAX_DIGITS) {
            throw new IllegalArgumentException("number must have 1 to " + MAX_DIGITS + " digits: " + number);
        }
        try {
            return Name.fromString(labels.toString(), suffix);
        } catch (TextParseException e) {
            throw new IllegalArgumentException("no domain name for number " + number + " under " + suffix, e);
        }
    }

    /** Returns the number that a name under the suffix represents, or null if it represents none. */
    public static String toNumber(Name name, Name suffix) {
        int digits = name.labels() - suffix.labels();
        if (digits < 1 || digits > MAX_DIGITS) {
            return null;
        }
        char[] number = new char[digits];
        for (int i = 0; i < digits; i++) {
            byte[] label = name.getLabel(i);
            if (label[0] != 1 || label[1] < '0' || label[1] > '9') {
                return null;
            }
            number[digits - 1 - i] = (char) label[1];
        }
        return new String(number);
    }
}
