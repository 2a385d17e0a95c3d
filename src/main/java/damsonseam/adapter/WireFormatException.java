package damsonseam.adapter;

/** Input that does not follow the wire: the message names the line and what was expected there. */
final class WireFormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireFormatException(String message) {
        super(message);
    }
}
