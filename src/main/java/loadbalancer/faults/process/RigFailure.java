package loadbalancer.faults.process;

/**
 * Something that the rig itself could not do, or that took it too long: says nothing of the
 * program.
 */
public final class RigFailure extends RuntimeException {
    private static final long serialVersionUID = 1;

    /** With what failed, in one line. */
    public RigFailure(String what) {
        super(what);
    }

    /** With what failed, in one line, and why. */
    public RigFailure(String what, Throwable cause) {
        super(what + ": " + cause, cause);
    }
}
