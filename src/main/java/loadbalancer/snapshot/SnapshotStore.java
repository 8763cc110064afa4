package loadbalancer.snapshot;

import java.io.IOException;
import java.util.List;

/** The last two snapshots of one balancer on a disk. */
public final class SnapshotStore {
    private final TwoGenerationFiles files;

    /**
     * Of the balancer of that name; {@code writer} tells processes apart that write at the same
     * time.
     */
    public SnapshotStore(Storage disk, String name, String writer) {
        files = new TwoGenerationFiles(disk, name + ".state", writer);
    }

    /** What was found: a snapshot, or null; and a line for each file that was refused. */
    public record Found(Snapshot snapshot, List<String> refused) {}

    /** Keeps a snapshot. */
    public void write(byte[] bytes) throws IOException {
        files.write(bytes);
    }

    /** The last one that can be read. */
    public Found read() {
        TwoGenerationFiles.Found<Snapshot> found =
                files.read(SnapshotFormat.MOST_BYTES, SnapshotFormat::read);
        return new Found(found.content(), found.refused());
    }
}
