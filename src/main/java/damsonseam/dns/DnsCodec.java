package damsonseam.dns;

import java.io.IOException;
import org.xbill.DNS.Message;

/** The one way in which DNS messages are read here, so that whatever is wrong with one ends in one error. */
public final class DnsCodec {
    /** Octets of a header. */
    public static final int HEADER_BYTES = 12;
    /** Octets of a UDP answer that pass everywhere without fragments (RFC 9715 3.1 recommends 1,400 or less). */
    public static final int MAX_UDP_RESPONSE_BYTES = 1232;
    /** Octets of a UDP answer where the question has no EDNS (RFC 1035 2.3.4). */
    public static final int MAX_UDP_BYTES_WITHOUT_EDNS = 512;

    private DnsCodec() {}

    /** Reads a message. */
    public static Message decode(byte[] in) throws DnsFormatException {
        try {
            return new Message(in);
        } catch (IOException | RuntimeException e) {
            // The library checks its input, but random octets have been seen to end in runtime exceptions.
            throw new DnsFormatException("not a DNS message: " + e.getMessage(), e);
        }
    }

    /** The id of a message whose header is there, else -1. */
    public static int messageId(byte[] in) {
        return in.length < 2 ? -1 : (in[0] & 0xff) << 8 | in[1] & 0xff;
    }

    /** Whether a message with a whole header says that it is an answer; answers are never answered. */
    public static boolean isResponse(byte[] in) {
        return in.length >= HEADER_BYTES && (in[2] & 0x80) != 0;
    }
}
