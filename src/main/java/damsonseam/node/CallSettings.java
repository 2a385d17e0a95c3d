package damsonseam.node;

import damsonseam.settings.ReportFields;
import damsonseam.settings.StartSettings;
import damsonseam.sip.SipMessage;
import java.util.List;

/** How calls and reports are read off messages, as far as the settings say. */
final class CallSettings {
    private static final int ID_DIGITS = 16;
    private static final int LONGEST_NUMBER = 64;
    /** Longest wait that a caller may name, in milliseconds: a day, far beyond any deadline. */
    private static final double LONGEST_WAIT = 86_400_000;

    private static final int MOST_WIDTH = 65_535;
    private static final String SCHEME = "sip:";

    private final List<String> classes;
    private final ReportFields reports;
    private final double longestWait;

    CallSettings(StartSettings settings) {
        classes = settings.classNames();
        longestWait = settings.settings(0).classes().stream()
                .mapToDouble(c -> c.deadline().orElse(LONGEST_WAIT))
                .max()
                .orElse(LONGEST_WAIT);
        reports = new ReportFields(settings.reportFields(), ';');
    }

    /** The longest that a caller of any class waits for an answer, in milliseconds. */
    double longestWait() {
        return longestWait;
    }

    ReportFields reports() {
        return reports;
    }

    /**
     * What a set-up says.
     *
     * @param at the server at which the call stands already, or null
     */
    record SetUp(
            String id,
            String target,
            String number,
            int callClass,
            String className,
            double patience,
            boolean redialled,
            int destination,
            String at,
            String legs) {}

    /** A message that can't be used; the text says what was expected. */
    static final class BadMessage extends Exception {
        private static final long serialVersionUID = 1L;

        BadMessage(String expected) {
            super("expected " + expected, null, false, false);
        }
    }

    /** Whether a text is an id of a call. */
    static boolean isId(String text) {
        return text != null
                && text.length() == ID_DIGITS
                && text.chars().allMatch(c -> c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F');
    }

    /** Reads a set-up; every figure is checked for form and range. */
    SetUp read(SipMessage invite) throws BadMessage {
        need(isId(invite.callId()), "a Call-ID of 16 hex digits");
        need(invite.cseqNumber() >= 0 && invite.cseqMethod().equals(SipMessage.INVITE), "CSeq with INVITE");
        String target = invite.requestUri();
        int at = target.indexOf('@');
        need(
                target.startsWith(SCHEME) && at > SCHEME.length() && at <= SCHEME.length() + LONGEST_NUMBER,
                "sip:NUMBER@net");
        String number = target.substring(SCHEME.length(), at);
        need(number.chars().allMatch(c -> c > ' ' && c < 0x7f), "a number");
        String className = invite.headers().get("X-Cos");
        int callClass = classes.indexOf(className);
        need(callClass >= 0, "X-Cos with a class of the settings");
        String again = invite.headers().get("X-Reattempt");
        need(again == null || again.equals("1") || again.equals("0"), "X-Reattempt as 1");
        String legs = invite.headers().get("X-Legs");
        int destination = -1;
        String stands = null;
        for (String pair : legs == null || legs.isBlank() ? new String[0] : legs.split(";")) {
            int colon = pair.indexOf(':');
            need(colon > 0, "X-Legs as name:value pairs");
            String value = pair.substring(colon + 1).strip();
            switch (pair.substring(0, colon).strip()) {
                case "dest" -> destination = (int) figure(value, -1, MOST_WIDTH, "dest");
                case "width" -> figure(value, 0, MOST_WIDTH, "width");
                case "via" -> figure(value, -1, MOST_WIDTH, "via");
                case "again" -> figure(value, 0, 1, "again");
                case "at" -> {
                    need(value.matches("s-[0-9a-f]{8}"), "at with a server");
                    stands = value;
                }
                default -> {} // A figure that later versions may bring.
            }
        }
        String timer = invite.headers().get("X-Timer-Ms");
        double patience =
                stands != null && timer == null ? 0 : figure(timer == null ? "" : timer, 0, LONGEST_WAIT, "X-Timer-Ms");
        return new SetUp(
                invite.callId(),
                target,
                number,
                callClass,
                className,
                patience,
                "1".equals(again),
                destination,
                stands,
                legs);
    }

    private static double figure(String text, double least, double most, String name) throws BadMessage {
        try {
            double value = Double.parseDouble(text);
            need(value >= least && value <= most, name + " from " + (long) least + " to " + (long) most);
            return value;
        } catch (NumberFormatException e) {
            throw new BadMessage(name + " as a number");
        }
    }

    private static void need(boolean holds, String expected) throws BadMessage {
        if (!holds) {
            throw new BadMessage(expected);
        }
    }
}
