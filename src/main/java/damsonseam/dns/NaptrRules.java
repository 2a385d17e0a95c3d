package damsonseam.dns;

import com.google.re2j.Matcher;
import com.google.re2j.Pattern;
import com.google.re2j.PatternSyntaxException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.xbill.DNS.NAPTRRecord;

/**
 * The servers that the NAPTR records of a number lead to (RFC 6116 3.4, RFC 3403 4): terminal rules ("u") of
 * the service E2U+sip, by order and then preference. Regular expressions run on an engine of linear time, as
 * they come from outside.
 */
public final class NaptrRules {
    /** Rules looked at in one answer; those beyond, which come last, are passed over. */
    public static final int MAX_RULES = 32;

    private static final int MOST_PATTERN = 256;
    private static final String SERVICE = "E2U+SIP";

    private NaptrRules() {}

    /** The host parts of the URIs that a number leads to, first choice first; rules that do not fit are left out. */
    public static List<String> serverHosts(String number, List<NAPTRRecord> records) {
        List<NAPTRRecord> sorted = new ArrayList<>(records);
        sorted.sort(Comparator.comparingInt(NAPTRRecord::getOrder).thenComparingInt(NAPTRRecord::getPreference));
        List<String> servers = new ArrayList<>();
        for (NAPTRRecord rule : sorted.subList(0, Math.min(MAX_RULES, sorted.size()))) {
            if (rule.getFlags().equalsIgnoreCase("u") && rule.getService().equalsIgnoreCase(SERVICE)) {
                String host = host(substitute("+" + number, plain(rule.getRegexp())));
                if (host != null && !servers.contains(host)) {
                    servers.add(host);
                }
            }
        }
        return servers;
    }

    /** The library hands character strings out as a zone file writes them; this takes its escapes away. */
    static String plain(String escaped) {
        StringBuilder out = new StringBuilder(escaped.length());
        for (int i = 0; i < escaped.length(); i++) {
            char c = escaped.charAt(i);
            if (c == '\\' && i + 3 < escaped.length() && Character.isDigit(escaped.charAt(i + 1))) {
                out.append((char) Integer.parseInt(escaped.substring(i + 1, i + 4)));
                i += 3;
            } else if (c == '\\' && i + 1 < escaped.length()) {
                out.append(escaped.charAt(++i));
            } else {
                out.append(c);
            }
        }
        return out.toString();
    }

    /** Applies a substitution expression (RFC 3402 3.2) to a string; null where it does not apply. */
    static String substitute(String to, String expression) {
        if (expression.length() < 3 || expression.length() > MOST_PATTERN) {
            return null;
        }
        char delimiter = expression.charAt(0);
        int middle = expression.indexOf(delimiter, 1);
        int end = middle < 0 ? -1 : expression.indexOf(delimiter, middle + 1);
        if (end < 0) {
            return null;
        }
        int flags = expression.substring(end + 1).equals("i") ? Pattern.CASE_INSENSITIVE : 0;
        try {
            Matcher matcher =
                    Pattern.compile(expression.substring(1, middle), flags).matcher(to);
            return matcher.find() ? replace(expression.substring(middle + 1, end), matcher) : null;
        } catch (PatternSyntaxException e) {
            return null;
        }
    }

    private static String replace(String template, Matcher matcher) {
        StringBuilder out = new StringBuilder();
        for (int i = 0; i < template.length(); i++) {
            char c = template.charAt(i);
            if (c != '\\' || i + 1 == template.length()) {
                out.append(c);
                continue;
            }
            char next = template.charAt(++i);
            if (next < '1' || next > '9') {
                out.append(next);
            } else if (next - '0' <= matcher.groupCount()) {
                String group = matcher.group(next - '0');
                out.append(group == null ? "" : group);
            } else {
                return null;
            }
        }
        return out.toString();
    }

    /** The host of a sip URI, in lower case, without port and parameters; null if it is none. */
    static String host(String uri) {
        if (uri == null || !uri.regionMatches(true, 0, "sip:", 0, 4)) {
            return null;
        }
        String rest = uri.substring(uri.indexOf('@') < 0 ? 4 : uri.indexOf('@') + 1);
        int end = 0;
        while (end < rest.length() && ":;?>".indexOf(rest.charAt(end)) < 0) {
            end++;
        }
        return end == 0 ? null : rest.substring(0, end).toLowerCase(java.util.Locale.ROOT);
    }
}
