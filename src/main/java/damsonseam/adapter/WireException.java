package damsonseam.adapter;

/** Input that does not follow the wire: the message names the line and what was expected there. */
final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
