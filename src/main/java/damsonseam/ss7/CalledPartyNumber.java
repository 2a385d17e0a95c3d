package damsonseam.ss7;

/** Codec of the called party number parameter (ITU-T Q.763 3.9): two digits per octet, the low-order one first. */
public final class CalledPartyNumber {
    private static final int MAX_DIGITS = 20;
    private static final int NATURE_INTERNATIONAL = 4;
    private static final int NUMBERING_PLAN_E164 = 0x10;

    private CalledPartyNumber() {}

    /** Encodes an international E.164 number. */
    public static byte[] encode(String number) {
        if (number.isEmpty() || number.length() > MAX_DIGITS || !number.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new IllegalArgumentException("number must have 1 to " + MAX_DIGITS + " digits: " + number);
        }
        boolean oddDigitCount = number.length() % 2 == 1;
        byte[] out = new byte[2 + (number.length() + 1) / 2];
        out[0] = (byte) (NATURE_INTERNATIONAL | (oddDigitCount ? 0x80 : 0));
        out[1] = NUMBERING_PLAN_E164;
        for (int i = 0; i < number.length(); i++) {
            int digit = number.charAt(i) - '0';
            out[2 + i / 2] |= (byte) (i % 2 == 0 ? digit : digit << 4);
        }
        return out;
    }

    /** Decodes the digits of a called party number. */
    public static String decode(byte[] in) throws SignallingProtocolException {
        if (in.length < 3 || in.length > 2 + MAX_DIGITS / 2) {
            throw new SignallingProtocolException(
                    IsupMessage.PROTOCOL_ERROR, "called party number of " + in.length + " octets");
        }
        int count = 2 * (in.length - 2) - ((in[0] & 0x80) != 0 ? 1 : 0);
        StringBuilder out = new StringBuilder(count);
        for (int i = 0; i < count; i++) {
            int digit = i % 2 == 0 ? in[2 + i / 2] & 0x0f : (in[2 + i / 2] >> 4) & 0x0f;
            if (digit == 0x0f && i == count - 1) {
                break;
            }
            if (digit > 9) {
                throw new SignallingProtocolException(
                        IsupMessage.PROTOCOL_ERROR, "digit " + digit + " in a called party number");
            }
            out.append((char) ('0' + digit));
        }
        return out.toString();
    }
}
