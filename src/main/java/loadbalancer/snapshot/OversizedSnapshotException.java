package loadbalancer.snapshot;

/** Thrown when a stored file exceeds the maximum size of its kind. */
public final class OversizedSnapshotException extends InvalidStoredFileException {
    private static final long serialVersionUID = 1;

    OversizedSnapshotException(int bytes) {
        super("too large: " + bytes + " bytes");
    }
}
