package damsonseam.ss7;

/** Thrown for a malformed or unexpected M3UA or ISUP message; carries the code to be returned to the sender. */
public final class SignallingProtocolException extends Exception {
    private static final long serialVersionUID = 1L;
    private final int code;

    /**
     * Creates an exception for a message.
     *
     * @param code the M3UA error code (RFC 4666 section 3.8.1) or, from the ISUP codec, the cause value (Q.850)
     */
    public SignallingProtocolException(int code, String message) {
        super(message);
        this.code = code;
    }

    /** Returns the M3UA error code or the ISUP cause value. */
    public int code() {
        return code;
    }
}
