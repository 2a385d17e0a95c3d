package damsonseam.ss7;

/** Called party number (ITU-T Q.763 3.9): digits two to an octet, the lower half first. */
public final class CalledPartyNumber {
    private static final int MOST = 20;
    private static final int INTERNATIONAL = 4;
    private static final int PLAN_E164 = 0x10;

    private CalledPartyNumber() {}

    /** The octets of an international E.164 number. */
    public static byte[] encode(String number) {
        if (number.isEmpty() || number.length() > MOST || !number.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new IllegalArgumentException("a number has 1 to " + MOST + " digits: " + number);
        }
        boolean odd = number.length() % 2 == 1;
        byte[] out = new byte[2 + (number.length() + 1) / 2];
        out[0] = (byte) (INTERNATIONAL | (odd ? 0x80 : 0));
        out[1] = PLAN_E164;
        for (int i = 0; i < number.length(); i++) {
            int digit = number.charAt(i) - '0';
            out[2 + i / 2] |= (byte) (i % 2 == 0 ? digit : digit << 4);
        }
        return out;
    }

    /** The digits of a called party number. */
    public static String decode(byte[] in) throws SignallingProtocolException {
        if (in.length < 3 || in.length > 2 + MOST / 2) {
            throw new SignallingProtocolException(
                    IsupMessage.PROTOCOL_ERROR, "a called number of " + in.length + " octets");
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
                        IsupMessage.PROTOCOL_ERROR, "digit " + digit + " in a called number");
            }
            out.append((char) ('0' + digit));
        }
        return out.toString();
    }
}
