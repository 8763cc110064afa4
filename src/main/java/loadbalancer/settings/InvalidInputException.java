package loadbalancer.settings;

/**
 * Thrown when input violates a protocol or a file format. The message is a single line that names
 * the violation.
 */
public class InvalidInputException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message of one line. */
    public InvalidInputException(String message) {
        super(message);
    }
}
