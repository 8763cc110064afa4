package loadbalancer.http1.control;

/** A control machine answered that it does not do what was asked; the message is its line. */
public final class ChangeRefusedException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int status;

    /** With the status of HTTP and the line of the answer. */
    public ChangeRefusedException(int status, String line) {
        super(line);
        this.status = status;
    }

    /** The status of HTTP. */
    public int status() {
        return status;
    }
}
