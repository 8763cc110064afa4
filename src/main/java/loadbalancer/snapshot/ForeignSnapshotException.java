package loadbalancer.snapshot;

/** A file is of another kind, or of another version of the format. */
public final class ForeignSnapshotException extends InvalidSnapshotException {
    private static final long serialVersionUID = 1;

    ForeignSnapshotException(String reason) {
        super(reason);
    }
}
