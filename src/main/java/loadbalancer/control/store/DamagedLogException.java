package loadbalancer.control.store;

/**
 * Thrown when a log can't be opened without losing accepted changes. The message is one line with
 * the file and the offset.
 */
public final class DamagedLogException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception for a damaged file.
     *
     * @param file the name of the file within its directory
     * @param offset the offset in bytes at which the damaged data begins
     * @param reason what is wrong at the offset, in one line
     */
    public DamagedLogException(String file, long offset, String reason) {
        super(file + " at byte " + offset + ": " + reason);
    }
}
