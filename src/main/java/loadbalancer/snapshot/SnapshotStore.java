package loadbalancer.snapshot;

import java.io.IOException;

/**
 * Stores the last two snapshots of one balancer. Not thread-safe; all methods block on the storage.
 */
public final class SnapshotStore {
    private static final String FILE_SUFFIX = ".state";

    private final TwoGenerationFiles files;

    /**
     * Creates a store for one balancer.
     *
     * @param balancerName prefix of the names of the balancer's files
     * @param writerId unique id of this process among those that write concurrently
     */
    public SnapshotStore(Storage storage, String balancerName, String writerId) {
        files = new TwoGenerationFiles(storage, balancerName + FILE_SUFFIX, writerId);
    }

    /**
     * Writes an encoded snapshot.
     *
     * @throws IOException if the storage fails; the last snapshot stays readable
     */
    public void write(byte[] bytes) throws IOException {
        files.write(bytes);
    }

    /** Reads the most recent valid snapshot. */
    public TwoGenerationFiles.ReadResult<Snapshot> read() {
        return files.read(SnapshotFormat.MAX_BYTES, SnapshotFormat::read);
    }
}
