package damsonseam.ss7;

/** A frame that can't be read, or that may not come now; its code goes back to the sender where one is due. */
public final class SignallingProtocolException extends Exception {
    private static final long serialVersionUID = 1L;
    private final int code;

    /**
     * A fault of a frame.
     *
     * @param code the M3UA error code (RFC 4666 3.8.1) or, from the ISUP codec, the cause (Q.850)
     */
    public SignallingProtocolException(int code, String message) {
        super(message);
        this.code = code;
    }

    /** The M3UA error code or the ISUP cause. */
    public int code() {
        return code;
    }
}
