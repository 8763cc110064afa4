package loadbalancer.snapshot;

/** Thrown when a stored file is of another kind or of another format version. */
public final class ForeignSnapshotException extends InvalidStoredFileException {
    private static final long serialVersionUID = 1;

    ForeignSnapshotException(String reason) {
        super(reason);
    }
}
