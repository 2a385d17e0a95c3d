package damsonseam.sip;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The headers of a message in their order. Names are compared case-insensitively. The decoder replaces the compact
 * forms of RFC 3261 7.3.3 by the long ones. Not thread-safe.
 */
public final class SipHeaders {
    /** The id of the dialog that a message belongs to; here the id of the call. */
    public static final String CALL_ID = "Call-ID";
    /** Sequence number and method of a request; responses repeat those of their request. */
    public static final String CSEQ = "CSeq";
    /** Size of the body in bytes. */
    public static final String CONTENT_LENGTH = "Content-Length";
    /** The path that responses take. */
    public static final String VIA = "Via";
    /** The reason why a call is released (RFC 3326). */
    public static final String REASON = "Reason";
    /** Limit of the headers of one message. */
    static final int MAX_HEADERS = 64;

    private final List<String> names = new ArrayList<>();
    private final List<String> values = new ArrayList<>();

    /** Adds a header and returns this. */
    public SipHeaders add(String name, String value) {
        names.add(name);
        values.add(value);
        return this;
    }

    /** Returns the first value of a header, or null. */
    public String get(String name) {
        int index = indexOf(name, 0);
        return index < 0 ? null : values.get(index);
    }

    /** Returns whether a header occurs more than once. */
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

    /** Appends a continuation line to the value of the last header (RFC 3261 7.3.1). */
    void fold(String continuation) {
        int last = values.size() - 1;
        values.set(last, (values.get(last) + ' ' + continuation).strip());
    }

    /** Returns the long form of a compact header name, and any other name unchanged. */
    static String toLongForm(String name) {
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
