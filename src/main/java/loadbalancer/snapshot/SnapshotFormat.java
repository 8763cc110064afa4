package loadbalancer.snapshot;

import java.io.IOException;

/**
 * A snapshot as bytes: a line {@code yewyoke-state VERSION LENGTH CRC32C}, and that many bytes of
 * JSON. Lists of endpoints and classes are arrays of arrays, so that ten thousand endpoints stay
 * below 2 MB. Stateless.
 */
public final class SnapshotFormat {
    /** Version of the format that is written; others are rejected. */
    public static final int VERSION = 1;

    /** Larger files are neither written nor read. */
    public static final int MAX_BYTES = 4 << 20;

    private static final FileEnvelope ENVELOPE =
            new FileEnvelope(SnapshotFieldNames.MAGIC, "snapshot", VERSION, MAX_BYTES);

    private SnapshotFormat() {}

    /**
     * Returns the bytes of a snapshot.
     *
     * @throws OversizedSnapshotException if there are more than {@link #MAX_BYTES}
     */
    public static byte[] write(Snapshot snapshot) throws OversizedSnapshotException {
        return ENVELOPE.wrap(SnapshotWriter.write(snapshot));
    }

    /**
     * Reads a snapshot.
     *
     * @throws CorruptSnapshotException if the file is torn or damaged
     * @throws InvalidSnapshotException if it is foreign, of another version or too large
     */
    public static Snapshot read(byte[] file) throws InvalidSnapshotException {
        int offset = ENVELOPE.payloadOffset(file);
        try {
            return SnapshotReader.read(file, offset);
        } catch (IOException | IllegalArgumentException e) {
            throw new CorruptSnapshotException(
                    "not understood: " + e.getMessage().lines().findFirst().orElse(""));
        }
    }
}
