package damsonseam.dns;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Name;
import org.xbill.DNS.Type;

/**
 * A query in the form that nearly all callers send, parsed in place: one NAPTR question of class IN for a name of
 * single digits under the suffix, followed by at most one OPT record. Any message of another form is rejected here and
 * decoded by dnsjava instead; a test ensures that both paths give the same response.
 *
 * <p>The fast path exists because {@code Message} and {@code Name} allocated some ten kilobytes for the two messages of
 * a call, so that rejecting a query cost as much as handling a call. See {@code docs/OVERLOAD.md}.
 */
public final class FastPathQuery {
    private static final int OPT_FIXED_BYTES = 11;
    private static final int OPTION_HEADER_BYTES = 4;
    private static final int CALL_OPTION_DATA_BYTES = 5;
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final byte[] bytes;
    private final int questionEndOffset;
    private final String number;
    private final boolean hasEdns;
    private final int udpPayloadBytes;
    private final EdnsCallOption callOption;

    /** The wire form of the suffix, in lower case. */
    public static final class WireSuffix {
        private final byte[] wire;

        /** Encodes a domain name. */
        public WireSuffix(Name name) {
            wire = name.toWireCanonical();
        }

        private boolean matchesAt(byte[] message, int offset) {
            if (offset + wire.length > message.length) {
                return false;
            }
            for (int i = 0; i < wire.length; i++) {
                byte b = message[offset + i];
                // Label lengths are below 64 and thus no letters, so lower-casing affects letters only.
                if ((b >= 'A' && b <= 'Z' ? b + 32 : b) != wire[i]) {
                    return false;
                }
            }
            return true;
        }
    }

    private FastPathQuery(
            byte[] bytes,
            int questionEndOffset,
            String number,
            boolean hasEdns,
            int udpPayloadBytes,
            EdnsCallOption callOption) {
        this.bytes = bytes;
        this.questionEndOffset = questionEndOffset;
        this.number = number;
        this.hasEdns = hasEdns;
        this.udpPayloadBytes = udpPayloadBytes;
        this.callOption = callOption;
    }

    /** Parses a message; returns null if it is not of the common form. */
    public static FastPathQuery parse(byte[] message, WireSuffix suffix) {
        // Opcode QUERY, not truncated; one question, no answer, no authority and at most one additional record.
        if (message.length < DnsCodec.HEADER_BYTES
                || (message[2] & 0xfe) != 0
                || (message[3] & 0x0f) != 0
                || readU16(message, 4) != 1
                || readU16(message, 6) != 0
                || readU16(message, 8) != 0
                || readU16(message, 10) > 1) {
            return null;
        }
        int offset = DnsCodec.HEADER_BYTES;
        int digits = 0;
        while (offset + 1 < message.length
                && message[offset] == 1
                && message[offset + 1] >= '0'
                && message[offset + 1] <= '9') {
            offset += 2;
            digits++;
        }
        if (digits < 1 || digits > E164Name.MAX_DIGITS || !suffix.matchesAt(message, offset)) {
            return null;
        }
        int questionEnd = offset + suffix.wire.length + 4;
        if (questionEnd > message.length
                || readU16(message, questionEnd - 4) != Type.NAPTR
                || readU16(message, questionEnd - 2) != DClass.IN) {
            return null;
        }
        byte[] ascii = new byte[digits];
        for (int i = 0; i < digits; i++) {
            ascii[digits - 1 - i] = message[DnsCodec.HEADER_BYTES + 2 * i + 1];
        }
        String number = new String(ascii, StandardCharsets.ISO_8859_1);
        if (readU16(message, 10) == 0) {
            return questionEnd == message.length
                    ? new FastPathQuery(
                            message,
                            questionEnd,
                            number,
                            false,
                            DnsCodec.MAX_UDP_BYTES_WITHOUT_EDNS,
                            EdnsCallOption.NONE)
                    : null;
        }
        return parseWithOpt(message, questionEnd, number);
    }

    /** Parses an OPT record of version 0 (RFC 6891 section 6.1.2) that ends the message and has no cut-off option. */
    private static FastPathQuery parseWithOpt(byte[] message, int questionEnd, String number) {
        if (message.length < questionEnd + OPT_FIXED_BYTES
                || message[questionEnd] != 0
                || readU16(message, questionEnd + 1) != Type.OPT
                || message[questionEnd + 5] != 0
                || message[questionEnd + 6] != 0
                || readU16(message, questionEnd + 9) != message.length - questionEnd - OPT_FIXED_BYTES) {
            return null;
        }
        EdnsCallOption callOption = null;
        for (int offset = questionEnd + OPT_FIXED_BYTES; offset < message.length; ) {
            if (offset + OPTION_HEADER_BYTES > message.length
                    || offset + OPTION_HEADER_BYTES + readU16(message, offset + 2) > message.length) {
                return null;
            }
            int length = readU16(message, offset + 2);
            if (readU16(message, offset) != EdnsCallOption.CODE) {
                // Only dnsjava validates the options that it knows, so any other option takes the slow path.
                return null;
            }
            if (callOption == null && length >= CALL_OPTION_DATA_BYTES) {
                int data = offset + OPTION_HEADER_BYTES;
                callOption = new EdnsCallOption(
                        (message[data] & 1) != 0, (long) readU16(message, data + 1) << 16 | readU16(message, data + 3));
            }
            offset += OPTION_HEADER_BYTES + length;
        }
        return new FastPathQuery(
                message,
                questionEnd,
                number,
                true,
                readU16(message, questionEnd + 3),
                callOption == null ? EdnsCallOption.NONE : callOption);
    }

    private static int readU16(byte[] message, int offset) {
        return (message[offset] & 0xff) << 8 | message[offset + 1] & 0xff;
    }

    /** Returns the message ID. */
    public int id() {
        return readU16(bytes, 0);
    }

    /** Returns the number asked for. */
    public String number() {
        return number;
    }

    /** Returns whether the query has an OPT record, without which the response must not have one. */
    public boolean hasEdns() {
        return hasEdns;
    }

    /** Returns the size of the largest UDP response that the caller accepts. */
    public int maxResponseBytes() {
        return Math.max(
                DnsCodec.MAX_UDP_BYTES_WITHOUT_EDNS, Math.min(DnsCodec.MAX_UDP_RESPONSE_BYTES, udpPayloadBytes));
    }

    /** Returns the EDNS option of the caller. */
    public EdnsCallOption callOption() {
        return callOption;
    }

    /** Returns the whole message as received. */
    public byte[] bytes() {
        return bytes;
    }

    /** Returns the offset of the end of the question section; a response repeats the message up to here. */
    int questionEndOffset() {
        return questionEndOffset;
    }

    /** Returns an FNV hash of source, message ID and number, which is the same for a retransmitted query. */
    public long fingerprint(long source) {
        long hash = (FNV_OFFSET_BASIS ^ source) * FNV_PRIME;
        hash = (hash ^ id()) * FNV_PRIME;
        for (int i = 0; i < number.length(); i++) {
            hash = (hash ^ number.charAt(i)) * FNV_PRIME;
        }
        return hash ^ hash >>> 32;
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%s (id %d)", number, id());
    }
}
