package damsonseam.dns;

import com.google.re2j.Matcher;
import com.google.re2j.Pattern;
import com.google.re2j.PatternSyntaxException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.xbill.DNS.NAPTRRecord;

/**
 * Evaluates the NAPTR records of a number (RFC 6116 section 3.4, RFC 3403 section 4): terminal rules (flag "u") of the
 * service E2U+sip, sorted by order and then preference. As the regular expressions come from outside, they run on RE2/J
 * in time linear in the input.
 */
public final class NaptrRules {
    /** Maximum count of rules evaluated in one response; those sorted behind them are ignored. */
    public static final int MAX_RULES = 32;

    private static final int MAX_EXPRESSION_CHARS = 256;
    private static final String SERVICE = "E2U+SIP";

    private NaptrRules() {}

    /** Returns the hosts of the SIP URIs for a number, most preferred first; rules of other kinds are ignored. */
    public static List<String> serverHosts(String number, List<NAPTRRecord> records) {
        List<NAPTRRecord> sorted = new ArrayList<>(records);
        sorted.sort(Comparator.comparingInt(NAPTRRecord::getOrder).thenComparingInt(NAPTRRecord::getPreference));
        List<String> hosts = new ArrayList<>();
        for (NAPTRRecord rule : sorted.subList(0, Math.min(MAX_RULES, sorted.size()))) {
            if (rule.getFlags().equalsIgnoreCase("u") && rule.getService().equalsIgnoreCase(SERVICE)) {
                String host = sipHost(substitute("+" + number, unescape(rule.getRegexp())));
                if (host != null && !hosts.contains(host)) {
                    hosts.add(host);
                }
            }
        }
        return hosts;
    }

    /** Removes the zone-file escapes with which dnsjava returns character strings. */
    static String unescape(String escaped) {
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

    /** Applies a substitution expression (RFC 3402 section 3.2); returns null if it is malformed or does not match. */
    static String substitute(String input, String expression) {
        if (expression.length() < 3 || expression.length() > MAX_EXPRESSION_CHARS) {
            return null;
        }
        char delimiter = expression.charAt(0);
        int secondDelimiter = expression.indexOf(delimiter, 1);
        int lastDelimiter = secondDelimiter < 0 ? -1 : expression.indexOf(delimiter, secondDelimiter + 1);
        if (lastDelimiter < 0) {
            return null;
        }
        int flags = expression.substring(lastDelimiter + 1).equals("i") ? Pattern.CASE_INSENSITIVE : 0;
        try {
            Matcher matcher = Pattern.compile(expression.substring(1, secondDelimiter), flags)
                    .matcher(input);
            return matcher.find() ? expand(expression.substring(secondDelimiter + 1, lastDelimiter), matcher) : null;
        } catch (PatternSyntaxException e) {
            return null;
        }
    }

    private static String expand(String template, Matcher matcher) {
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

    /** Returns the host of a SIP URI in lower case, without port and parameters; null if this is no SIP URI. */
    static String sipHost(String uri) {
        if (uri == null || !uri.regionMatches(true, 0, "sip:", 0, 4)) {
            return null;
        }
        String hostAndParameters = uri.substring(uri.indexOf('@') < 0 ? 4 : uri.indexOf('@') + 1);
        int end = 0;
        while (end < hostAndParameters.length() && ":;?>".indexOf(hostAndParameters.charAt(end)) < 0) {
            end++;
        }
        return end == 0 ? null : hostAndParameters.substring(0, end).toLowerCase(java.util.Locale.ROOT);
    }
}
