package loadbalancer.snapshot;

/** Thrown when a stored file is incomplete, corrupt or malformed. */
public final class CorruptSnapshotException extends InvalidStoredFileException {
    private static final long serialVersionUID = 1;

    CorruptSnapshotException(String reason) {
        super(reason);
    }
}
