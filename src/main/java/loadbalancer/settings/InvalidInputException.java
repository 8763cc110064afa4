package loadbalancer.settings;

/**
 * Input is not what a wire, a protocol or a file format prescribes; the message says in one line
 * what is wrong.
 */
public class InvalidInputException extends Exception {
    private static final long serialVersionUID = 1L;

    /** With that message. */
    public InvalidInputException(String message) {
        super(message);
    }
}
