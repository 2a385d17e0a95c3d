package damsonseam.sip;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The headers of one message in their order. Names are compared without regard to case, and the compact forms
 * of RFC 3261 7.3.3 stand for the long ones.
 */
public final class SipHeaders {
    /** Which transaction's dialog a message belongs to; here the id of the call. */
    public static final String CALL_ID = "Call-ID";
    /** Number and method of the request that a message is or answers. */
    public static final String CSEQ = "CSeq";
    /** Octets of the body. */
    public static final String CONTENT_LENGTH = "Content-Length";
    /** The way that answers take back. */
    public static final String VIA = "Via";
    /** Why a call is released (RFC 3326). */
    public static final String REASON = "Reason";
    /** Headers of one message at most. */
    static final int MAX_HEADERS = 64;

    private final List<String> names = new ArrayList<>();
    private final List<String> values = new ArrayList<>();

    /** Adds one header; returns this. */
    public SipHeaders add(String name, String value) {
        names.add(name);
        values.add(value);
        return this;
    }

    /** The first value under a name, or null. */
    public String get(String name) {
        int index = indexOf(name, 0);
        return index < 0 ? null : values.get(index);
    }

    /** Whether a name stands more than once. */
    boolean isRepeated(String name) {
        int first = indexOf(name, 0);
        return first >= 0 && indexOf(name, first + 1) >= 0;
    }

    private int indexOf(String name, int from) {
        for (int i = from; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                return i;
            }
        }
        return -1;
    }

    int size() {
        return names.size();
    }

    String name(int index) {
        return names.get(index);
    }

    String value(int index) {
        return values.get(index);
    }

    /** Continues the last header on the next line (RFC 3261 7.3.1). */
    void fold(String continuation) {
        int last = values.size() - 1;
        values.set(last, (values.get(last) + ' ' + continuation).strip());
    }

    /** The long form of a compact name; any other name as it is. */
    static String longForm(String name) {
        if (name.length() != 1) {
            return name;
        }
        return switch (name.toLowerCase(Locale.ROOT)) {
            case "i" -> CALL_ID;
            case "l" -> CONTENT_LENGTH;
            case "v" -> VIA;
            case "c" -> "Content-Type";
            default -> name;
        };
    }

    @Override
    public String toString() {
        return names + "=" + values;
    }
}
