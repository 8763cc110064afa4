package loadbalancer.snapshot;

/** A file of what was kept that can't be used; the message is one line that says why. */
public final class InvalidSnapshotException extends Exception {
    private static final long serialVersionUID = 1;

    /** For that reason. */
    public InvalidSnapshotException(String reason) {
        super(reason);
    }
}
