package loadbalancer.http1.control;

/**
 * A control machine responded with a status other than success; the message is the first line of
 * its response.
 */
public final class CallRejectedException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int status;

    /**
     * A rejected call.
     *
     * @param status the HTTP status code
     * @param line the first line of the response
     */
    public CallRejectedException(int status, String line) {
        super(line);
        this.status = status;
    }

    /** The HTTP status code. */
    public int status() {
        return status;
    }
}
