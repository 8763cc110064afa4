package loadbalancer.snapshot;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * Envelope of a stored file: a header line {@code MAGIC VERSION LENGTH CRC32C} before the payload.
 * It detects files that are torn, corrupt, of another kind or of another format version.
 *
 * @param magic first field of the header, unique to this kind of file
 * @param description name of the kind of file, for messages
 * @param version format version to write; files of other versions are rejected
 * @param maxBytes maximum size of a file including its header; larger files are neither written nor
 *     read
 */
public record FileEnvelope(String magic, String description, int version, int maxBytes) {
    private static final int MAX_HEADER_BYTES = 64;
    private static final int HEADER_FIELDS = 4;

    /**
     * Returns the content of a file: the header and the payload.
     *
     * @throws OversizedSnapshotException if the file would exceed {@link #maxBytes}
     */
    public byte[] wrap(byte[] payload) throws OversizedSnapshotException {
        String fields = magic + " " + version + " " + payload.length + " " + checksum(payload, 0);
        byte[] header = (fields + "\n").getBytes(StandardCharsets.US_ASCII);
        if (header.length + payload.length > maxBytes) {
            throw new OversizedSnapshotException(payload.length);
        }
        byte[] file = Arrays.copyOf(header, header.length + payload.length);
        System.arraycopy(payload, 0, file, header.length, payload.length);
        return file;
    }

    /**
     * Verifies a file and returns the offset of its payload, which extends to the end of the file.
     *
     * @throws InvalidStoredFileException if the file is torn, corrupt, too large, or of another
     *     kind or version
     */
    public int payloadOffset(byte[] file) throws InvalidStoredFileException {
        int headerEnd = 0;
        while (headerEnd < file.length && headerEnd < MAX_HEADER_BYTES && file[headerEnd] != '\n') {
            headerEnd++;
        }
        String[] fields = new String(file, 0, headerEnd, StandardCharsets.US_ASCII).split(" ");
        if (file.length > maxBytes) {
            throw new OversizedSnapshotException(file.length);
        }
        checkFormat(fields);
        int offset = Math.min(file.length, headerEnd + 1);
        checkPayload(fields, file, offset);
        return offset;
    }

    private void checkFormat(String[] fields) throws ForeignSnapshotException {
        if (!fields[0].equals(magic) || fields.length < 2) {
            throw new ForeignSnapshotException("not a " + description + " of this program");
        }
        if (!fields[1].equals(String.valueOf(version))) {
            throw new ForeignSnapshotException(
                    "of format version " + fields[1] + "; this program reads version " + version);
        }
    }

    private static void checkPayload(String[] fields, byte[] file, int offset)
            throws CorruptSnapshotException {
        int length = file.length - offset;
        if (fields.length != HEADER_FIELDS || !fields[2].equals(String.valueOf(length))) {
            throw new CorruptSnapshotException(
                    "torn: "
                            + length
                            + " bytes of payload where the header says "
                            + (fields.length > 2 ? fields[2] : "nothing"));
        }
        if (!fields[3].equals(checksum(file, offset))) {
            throw new CorruptSnapshotException("damaged: its checksum is another one");
        }
    }

    private static String checksum(byte[] bytes, int offset) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, offset, bytes.length - offset);
        return String.format("%08x", crc.getValue());
    }
}
