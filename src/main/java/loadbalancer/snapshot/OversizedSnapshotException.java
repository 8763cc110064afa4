package loadbalancer.snapshot;

/** A file has more bytes than a file of its kind may have. */
public final class OversizedSnapshotException extends InvalidSnapshotException {
    private static final long serialVersionUID = 1;

    OversizedSnapshotException(int bytes) {
        super("too large with " + bytes + " bytes");
    }
}
