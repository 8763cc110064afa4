package loadbalancer.snapshot;

import java.io.IOException;

/**
 * Encodes a snapshot as a header line {@code yewyoke-state VERSION LENGTH CRC32C}, followed by
 * {@code LENGTH} bytes of JSON. Lists of endpoints and classes are arrays of arrays, which keeps a
 * snapshot of 10,000 endpoints below 2 MB. Stateless.
 */
public final class SnapshotFormat {
    /** Format version that is written; files of other versions are rejected. */
    public static final int VERSION = 1;

    /** Maximum size of a file; larger files are neither written nor read. */
    public static final int MAX_BYTES = 4 << 20;

    private static final FileEnvelope ENVELOPE =
            new FileEnvelope(SnapshotFieldNames.MAGIC, "snapshot", VERSION, MAX_BYTES);

    private SnapshotFormat() {}

    /**
     * Encodes a snapshot.
     *
     * @throws OversizedSnapshotException if the result exceeds {@link #MAX_BYTES}
     */
    public static byte[] write(Snapshot snapshot) throws OversizedSnapshotException {
        return ENVELOPE.wrap(SnapshotWriter.write(snapshot));
    }

    /**
     * Decodes a snapshot.
     *
     * @throws CorruptSnapshotException if the file is torn, corrupt or malformed
     * @throws InvalidStoredFileException if the file is of another kind or version, or too large
     */
    public static Snapshot read(byte[] file) throws InvalidStoredFileException {
        int offset = ENVELOPE.payloadOffset(file);
        try {
            return SnapshotReader.read(file, offset);
        } catch (IOException | IllegalArgumentException e) {
            throw new CorruptSnapshotException(
                    "malformed: " + e.getMessage().lines().findFirst().orElse(""));
        }
    }
}
