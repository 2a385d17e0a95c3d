package damsonseam.dns;

import org.xbill.DNS.Name;
import org.xbill.DNS.TextParseException;

/** Numbers as domain names: the digits reversed, a label each, under a suffix (RFC 6116 3.2). */
public final class E164Name {
    /** Digits at most; E.164 has 15, some networks add a few. */
    public static final int MAX_DIGITS = 20;

    private E164Name() {}

    /** A suffix from its text form, absolute. */
    public static Name parseSuffix(String text) {
        try {
            Name name = Name.fromString(text, Name.root);
            // Room for all digits a number may have, or some calls could not be asked for.
            if (name.length() + 2 * MAX_DIGITS > 255) {
                throw new IllegalArgumentException("suffix: too long for " + MAX_DIGITS + " digits: " + text);
            }
            return name;
        } catch (TextParseException e) {
            throw new IllegalArgumentException("suffix: expected a domain name, found " + text, e);
        }
    }

    /** The name of a number under a suffix. */
    public static Name toName(String number, Name suffix) {
        StringBuilder labels = new StringBuilder(2 * number.length());
        for (int i = number.length() - 1; i >= 0; i--) {
            char c = number.charAt(i);
            if (c < '0' || c > '9') {
                throw new IllegalArgumentException("a number is all digits: " + number);
            }
            labels.append(c).append(i > 0 ? "." : "");
        }
        if (number.isEmpty() || number.length() > MAX_DIGITS) {
            throw new IllegalArgumentException("a number has 1 to " + MAX_DIGITS + " digits: " + number);
        }
        try {
            return Name.fromString(labels.toString(), suffix);
        } catch (TextParseException e) {
            throw new IllegalArgumentException("number " + number + " under " + suffix, e);
        }
    }

    /** The number that a name under the suffix stands for, or null if it stands for none. */
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
