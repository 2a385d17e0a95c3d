package damsonseam.dns;

/** Thrown for a DNS message that cannot be decoded. */
public final class DnsFormatException extends Exception {
    private static final long serialVersionUID = 1L;

    DnsFormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
