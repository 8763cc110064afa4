package loadbalancer.settings;

/**
 * Thrown when a settings file written by an operator is invalid. The message is a single line with
 * the file, the key and the reason.
 */
public final class InvalidOperatorFileException extends Exception {
    private static final long serialVersionUID = 1;

    InvalidOperatorFileException(String place, String reason) {
        super(place + ": " + reason);
    }
}
