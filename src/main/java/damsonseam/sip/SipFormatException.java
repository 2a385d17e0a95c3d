package damsonseam.sip;

/** Octets that are no SIP message, or one beyond the limits: where the next one starts is not known any more. */
public final class SipFormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    SipFormatException(String message) {
        // No stack trace: senders of noise must not cost more than those of messages.
        super(message, null, false, false);
    }
}
