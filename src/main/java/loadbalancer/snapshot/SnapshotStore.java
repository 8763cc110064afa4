package loadbalancer.snapshot;

import java.io.IOException;

/** The last two snapshots of one balancer in a storage. For one thread at a time; it blocks. */
public final class SnapshotStore {
    private static final String FILE_SUFFIX = ".state";

    private final TwoGenerationFiles files;

    /**
     * Of one balancer.
     *
     * @param balancerName part of the names of its files
     * @param writerId tells processes apart that write at the same time
     */
    public SnapshotStore(Storage storage, String balancerName, String writerId) {
        files = new TwoGenerationFiles(storage, balancerName + FILE_SUFFIX, writerId);
    }

    /**
     * Writes the bytes of a snapshot.
     *
     * @throws IOException if the storage fails; the last snapshot then stays readable
     */
    public void write(byte[] bytes) throws IOException {
        files.write(bytes);
    }

    /** Reads the last snapshot that is valid. */
    public TwoGenerationFiles.ReadResult<Snapshot> read() {
        return files.read(SnapshotFormat.MAX_BYTES, SnapshotFormat::read);
    }
}
