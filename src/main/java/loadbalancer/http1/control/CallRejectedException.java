package loadbalancer.http1.control;

/**
 * Thrown if a control server responds with a status other than success. The message is the first
 * line of the response.
 */
public final class CallRejectedException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int status;

    /**
     * Creates an exception from a response.
     *
     * @param status the HTTP status code
     * @param line the first line of the response
     */
    public CallRejectedException(int status, String line) {
        super(line);
        this.status = status;
    }

    /** Returns the HTTP status code. */
    public int status() {
        return status;
    }
}
