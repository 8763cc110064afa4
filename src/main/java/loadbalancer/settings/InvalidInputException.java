package loadbalancer.settings;

/**
 * Input that is not what a wire, a protocol or a file prescribes; the message says what is wrong.
 */
public final class InvalidInputException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Says what is wrong. */
    public InvalidInputException(String message) {
        super(message);
    }
}
