package damsonseam.dns;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Name;
import org.xbill.DNS.Type;

/**
 * A question for a number in the one form in which nearly all come, read in place: one NAPTR question of class IN for
 * single digits under the suffix, with at most one OPT record behind it. Whatever differs by an octet is not read
 * here and goes the long way through dnsjava; both ways give the same answer, which a test holds.
 *
 * <p>Why beside a library: with {@code Message} and {@code Name} a call allocated some ten kilobytes for its two
 * messages, and a question could not be turned away for less than a call costs. See {@code docs/OVERLOAD.md}.
 */
public final class FastPathQuery {
    private static final int OPT_FIXED = 11;
    private static final int OPTION_HEAD = 4;
    private static final int HINTS = 5;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final byte[] bytes;
    private final int questionEndOffset;
    private final String number;
    private final boolean hasEdns;
    private final int payload;
    private final EdnsCallOption callOption;

    /** The suffix in the form in which questions hold it. */
    public static final class WireSuffix {
        private final byte[] wire;

        /** The wire form of a domain name. */
        public WireSuffix(Name name) {
            wire = name.toWireCanonical();
        }

        private boolean matchesAt(byte[] in, int from) {
            if (from + wire.length > in.length) {
                return false;
            }
            for (int i = 0; i < wire.length; i++) {
                byte b = in[from + i];
                // Lengths are under 64 and no letters, so lower case changes letters only.
                if ((b >= 'A' && b <= 'Z' ? b + 32 : b) != wire[i]) {
                    return false;
                }
            }
            return true;
        }
    }

    private FastPathQuery(
            byte[] octets, int questionEnd, String number, boolean edns, int payload, EdnsCallOption hints) {
        this.bytes = octets;
        this.questionEndOffset = questionEnd;
        this.number = number;
        this.hasEdns = edns;
        this.payload = payload;
        this.callOption = hints;
    }

    /** Reads octets; null if they are not of the plain form. */
    public static FastPathQuery parse(byte[] in, WireSuffix suffix) {
        // A query of opcode 0, not truncated; one question, no answers, no authority, at most one more record.
        if (in.length < DnsCodec.HEADER_BYTES
                || (in[2] & 0xfe) != 0
                || (in[3] & 0x0f) != 0
                || u16(in, 4) != 1
                || u16(in, 6) != 0
                || u16(in, 8) != 0
                || u16(in, 10) > 1) {
            return null;
        }
        int at = DnsCodec.HEADER_BYTES;
        int digits = 0;
        while (at + 1 < in.length && in[at] == 1 && in[at + 1] >= '0' && in[at + 1] <= '9') {
            at += 2;
            digits++;
        }
        if (digits < 1 || digits > E164Name.MAX_DIGITS || !suffix.matchesAt(in, at)) {
            return null;
        }
        int end = at + suffix.wire.length + 4;
        if (end > in.length || u16(in, end - 4) != Type.NAPTR || u16(in, end - 2) != DClass.IN) {
            return null;
        }
        byte[] number = new byte[digits];
        for (int i = 0; i < digits; i++) {
            number[digits - 1 - i] = in[DnsCodec.HEADER_BYTES + 2 * i + 1];
        }
        String text = new String(number, StandardCharsets.ISO_8859_1);
        if (u16(in, 10) == 0) {
            return end == in.length
                    ? new FastPathQuery(in, end, text, false, DnsCodec.MAX_UDP_BYTES_WITHOUT_EDNS, EdnsCallOption.NONE)
                    : null;
        }
        return withOpt(in, end, text);
    }

    /** One OPT of version 0 up to the end of the message (RFC 6891 6.1.2), its options whole. */
    private static FastPathQuery withOpt(byte[] in, int end, String number) {
        if (in.length < end + OPT_FIXED
                || in[end] != 0
                || u16(in, end + 1) != Type.OPT
                || in[end + 5] != 0
                || in[end + 6] != 0
                || u16(in, end + 9) != in.length - end - OPT_FIXED) {
            return null;
        }
        EdnsCallOption hints = null;
        for (int at = end + OPT_FIXED; at < in.length; ) {
            if (at + OPTION_HEAD > in.length || at + OPTION_HEAD + u16(in, at + 2) > in.length) {
                return null;
            }
            int length = u16(in, at + 2);
            if (u16(in, at) != EdnsCallOption.CODE) {
                // Options that dnsjava knows are checked by it: only unknown ones are passed over here.
                return null;
            }
            if (hints == null && length >= HINTS) {
                int v = at + OPTION_HEAD;
                hints = new EdnsCallOption((in[v] & 1) != 0, (long) u16(in, v + 1) << 16 | u16(in, v + 3));
            }
            at += OPTION_HEAD + length;
        }
        return new FastPathQuery(in, end, number, true, u16(in, end + 3), hints == null ? EdnsCallOption.NONE : hints);
    }

    private static int u16(byte[] in, int at) {
        return (in[at] & 0xff) << 8 | in[at + 1] & 0xff;
    }

    /** The id that its caller gave it. */
    public int id() {
        return u16(bytes, 0);
    }

    /** The digits asked for. */
    public String number() {
        return number;
    }

    /** Whether it came with an OPT record, so that its answer may have one. */
    public boolean hasEdns() {
        return hasEdns;
    }

    /** Octets that its caller takes by UDP. */
    public int maxResponseBytes() {
        return Math.max(DnsCodec.MAX_UDP_BYTES_WITHOUT_EDNS, Math.min(DnsCodec.MAX_UDP_RESPONSE_BYTES, payload));
    }

    /** What its caller says of itself. */
    public EdnsCallOption callOption() {
        return callOption;
    }

    /** The whole message as it came. */
    public byte[] bytes() {
        return bytes;
    }

    /** Where its question ends: the part that an answer repeats. */
    int questionEndOffset() {
        return questionEndOffset;
    }

    /** A fingerprint of id, number and where it came from: the same for the same question sent again. */
    public long fingerprint(long source) {
        long h = (FNV_OFFSET ^ source) * FNV_PRIME;
        h = (h ^ id()) * FNV_PRIME;
        for (int i = 0; i < number.length(); i++) {
            h = (h ^ number.charAt(i)) * FNV_PRIME;
        }
        return h ^ h >>> 32;
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%s (id %d)", number, id());
    }
}
