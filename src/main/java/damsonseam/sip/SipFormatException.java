package damsonseam.sip;

/** Thrown for malformed or oversized SIP messages, after which the start of the next message is unknown. */
public final class SipFormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    SipFormatException(String message) {
        // No stack trace: malformed messages must not cost more CPU time than valid ones.
        super(message, null, false, false);
    }
}
