package loadbalancer.snapshot;

/** A stored file is torn or damaged. */
public final class CorruptSnapshotException extends InvalidSnapshotException {
    private static final long serialVersionUID = 1;

    CorruptSnapshotException(String reason) {
        super(reason);
    }
}
