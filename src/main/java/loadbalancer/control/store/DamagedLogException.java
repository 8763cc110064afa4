package loadbalancer.control.store;

/**
 * A log that can't be opened without losing accepted changes; the message is one line with file and
 * place.
 */
public final class DamagedLogException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * A damaged file.
     *
     * @param file its name within the folder
     * @param offset of the byte at which the broken part begins
     * @param reason what is wrong there, in one line
     */
    public DamagedLogException(String file, long offset, String reason) {
        super(file + " at byte " + offset + ": " + reason);
    }
}
