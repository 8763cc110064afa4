package loadbalancer.snapshot;

/** A stored file can't be used; the message says in one line why. */
public class InvalidSnapshotException extends Exception {
    private static final long serialVersionUID = 1;

    /** For that reason. */
    public InvalidSnapshotException(String reason) {
        super(reason);
    }
}
