package loadbalancer.faults.control.scale;

/** The run could not be played to its end, or a condition did not come true in time. */
public final class ScaleFailure extends RuntimeException {
    private static final long serialVersionUID = 1;

    /** With what failed, in one line. */
    public ScaleFailure(String what) {
        super(what);
    }

    /** With what failed, in one line, and why. */
    public ScaleFailure(String what, Throwable cause) {
        super(what + ": " + cause, cause);
    }
}
