package damsonseam.dns;

import java.io.IOException;
import org.xbill.DNS.Message;

/**
 * Decodes DNS messages with dnsjava and reports every decoding error as a {@link DnsFormatException}. Also reads the
 * header fields that are needed before, or without, decoding the whole message.
 */
public final class DnsCodec {
    /** Size of a message header. */
    public static final int HEADER_BYTES = 12;
    /** Largest UDP response that passes everywhere without fragmentation (RFC 9715 section 3.1: 1,400 or less). */
    public static final int MAX_UDP_RESPONSE_BYTES = 1232;
    /** Largest UDP response to a query without EDNS (RFC 1035 section 2.3.4). */
    public static final int MAX_UDP_BYTES_WITHOUT_EDNS = 512;

    private DnsCodec() {}

    /** Decodes a message. */
    public static Message decode(byte[] in) throws DnsFormatException {
        try {
            return new Message(in);
        } catch (IOException | RuntimeException e) {
            // dnsjava checks its input, but random bytes have been seen to cause runtime exceptions.
            throw new DnsFormatException("not a DNS message: " + e.getMessage(), e);
        }
    }

    /** Returns the message ID, or -1 if the message is too short to have one. */
    public static int messageId(byte[] in) {
        return in.length < 2 ? -1 : (in[0] & 0xff) << 8 | in[1] & 0xff;
    }

    /** Returns whether the message has a complete header with QR set; responses are never responded to. */
    public static boolean isResponse(byte[] in) {
        return in.length >= HEADER_BYTES && (in[2] & 0x80) != 0;
    }
}
