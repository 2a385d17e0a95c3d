package damsonseam.adapter;

/** Thrown if the input violates the adapter's protocol; the message names the line and what was expected there. */
final class WireFormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireFormatException(String message) {
        super(message);
    }
}
