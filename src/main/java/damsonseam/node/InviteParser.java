package damsonseam.node;

import damsonseam.settings.LoadReportParser;
import damsonseam.settings.PlatformSettings;
import damsonseam.sip.SipMessage;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Parses and validates the INVITE requests of callers, whose classes the settings define. Also provides the parser of
 * the servers' load reports, whose fields the settings define too. Immutable.
 */
final class InviteParser {
    private static final int CALL_ID_LENGTH = 16;
    private static final int MAX_NUMBER_LENGTH = 64;
    /** Limit of each value that is kept as long as the call, to bound the memory of a call. */
    private static final int MAX_KEPT_VALUE_LENGTH = 256;
    /** Largest accepted X-Timer-Ms: a day, far beyond any deadline. */
    private static final double MAX_TIMER_MS = 86_400_000;

    private static final int MAX_LEG_VALUE = 65_535;
    /** Size of the start line and the header fields of a forwarded INVITE without the caller's values. */
    private static final int FORWARDED_HEAD_BYTES = 256;

    private static final String SIP_SCHEME = "sip:";

    private final List<String> classNames;
    private final LoadReportParser loadReportParser;
    private final double maxPatienceMs;

    InviteParser(PlatformSettings settings) {
        classNames = settings.classNames();
        maxPatienceMs = settings.policySettings(0).classes().stream()
                .mapToDouble(callClass -> callClass.deadline().orElse(MAX_TIMER_MS))
                .max()
                .orElse(MAX_TIMER_MS);
        loadReportParser = new LoadReportParser(settings.reportFields(), ';');
    }

    /** Returns the longest time for which a caller of any class waits for an answer, in milliseconds. */
    double maxPatienceMs() {
        return maxPatienceMs;
    }

    LoadReportParser loadReportParser() {
        return loadReportParser;
    }

    /**
     * The content of a valid INVITE.
     *
     * @param callId the Call-ID
     * @param requestUri the Request-URI
     * @param number the called number, from the Request-URI
     * @param classIndex index of the call's class in the settings
     * @param className name of the call's class
     * @param patienceMs how long the caller waits for the final response, in milliseconds
     * @param redial whether the caller has tried this call before
     * @param destinationCell cell of the destination, or -1
     * @param establishedServerId id of the server at which the call is established already, or null
     * @param legs the value of X-Legs, or null
     * @param forwardedBytes largest size of the INVITE that is sent to a server for it
     */
    record SetUpRequest(
            String callId,
            String requestUri,
            String number,
            int classIndex,
            String className,
            double patienceMs,
            boolean redial,
            int destinationCell,
            String establishedServerId,
            String legs,
            int forwardedBytes) {}

    /** An INVITE that is not valid; the message says what was expected. */
    static final class InvalidInviteException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidInviteException(String expected) {
            super("expected " + expected, null, false, false);
        }
    }

    /** Returns whether a text has the form of a Call-ID. */
    static boolean isCallId(String text) {
        return text != null
                && text.length() == CALL_ID_LENGTH
                && text.chars().allMatch(c -> c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F');
    }

    /** Parses an INVITE and checks the form and range of every value. */
    SetUpRequest parse(SipMessage invite) throws InvalidInviteException {
        require(isCallId(invite.callId()), "a Call-ID of 16 hex digits");
        require(
                invite.cseqNumber() >= 0
                        && invite.cseqMethod().equals(SipMessage.INVITE)
                        && invite.cseq().length() <= MAX_KEPT_VALUE_LENGTH,
                "CSeq with INVITE");
        String requestUri = invite.requestUri();
        require(requestUri.length() <= MAX_KEPT_VALUE_LENGTH, "a shorter Request-URI");
        int atSign = requestUri.indexOf('@');
        require(
                requestUri.startsWith(SIP_SCHEME)
                        && atSign > SIP_SCHEME.length()
                        && atSign <= SIP_SCHEME.length() + MAX_NUMBER_LENGTH,
                "sip:NUMBER@net");
        String number = requestUri.substring(SIP_SCHEME.length(), atSign);
        require(number.chars().allMatch(c -> c > ' ' && c < 0x7f), "a number");
        String className = invite.headers().get("X-Cos");
        int classIndex = classNames.indexOf(className);
        require(classIndex >= 0, "X-Cos with a class of the settings");
        String reattempt = invite.headers().get("X-Reattempt");
        require(reattempt == null || reattempt.equals("1") || reattempt.equals("0"), "X-Reattempt as 1");
        String legs = invite.headers().get("X-Legs");
        require(legs == null || legs.length() <= MAX_KEPT_VALUE_LENGTH, "a shorter X-Legs");
        int destinationCell = -1;
        String establishedServerId = null;
        for (String pair : legs == null || legs.isBlank() ? new String[0] : legs.split(";")) {
            int colon = pair.indexOf(':');
            require(colon > 0, "X-Legs as name:value pairs");
            String value = pair.substring(colon + 1).strip();
            switch (pair.substring(0, colon).strip()) {
                case "dest" -> destinationCell = (int) parseBoundedNumber(value, -1, MAX_LEG_VALUE, "dest");
                case "width" -> parseBoundedNumber(value, 0, MAX_LEG_VALUE, "width");
                case "via" -> parseBoundedNumber(value, -1, MAX_LEG_VALUE, "via");
                case "again" -> parseBoundedNumber(value, 0, 1, "again");
                case "at" -> {
                    require(value.matches("s-[0-9a-f]{8}"), "at with a server");
                    establishedServerId = value;
                }
                default -> {} // Unknown names are reserved for later versions.
            }
        }
        String timer = invite.headers().get("X-Timer-Ms");
        double patienceMs = establishedServerId != null && timer == null
                ? 0
                : parseBoundedNumber(timer == null ? "" : timer, 0, MAX_TIMER_MS, "X-Timer-Ms");
        return new SetUpRequest(
                invite.callId(),
                requestUri,
                number,
                classIndex,
                className,
                patienceMs,
                "1".equals(reattempt),
                destinationCell,
                establishedServerId,
                legs,
                forwardedBytes(invite, className, legs));
    }

    /** Returns the largest size of the INVITE to a server, which has the node's own header fields. */
    private static int forwardedBytes(SipMessage invite, String className, String legs) {
        return invite.body().length
                + utf8Length(invite.requestUri())
                + utf8Length(className)
                + (legs == null ? 0 : utf8Length(legs))
                + FORWARDED_HEAD_BYTES;
    }

    private static int utf8Length(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }

    private static double parseBoundedNumber(String text, double min, double max, String name)
            throws InvalidInviteException {
        try {
            double value = Double.parseDouble(text);
            require(value >= min && value <= max, name + " from " + (long) min + " to " + (long) max);
            return value;
        } catch (NumberFormatException e) {
            throw new InvalidInviteException(name + " as a number");
        }
    }

    private static void require(boolean valid, String expected) throws InvalidInviteException {
        if (!valid) {
            throw new InvalidInviteException(expected);
        }
    }
}
