package loadbalancer.snapshot;

/** Thrown when a stored file can't be used. The message is a single line with the reason. */
public class InvalidStoredFileException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates an exception with a reason of one line. */
    public InvalidStoredFileException(String reason) {
        super(reason);
    }
}
