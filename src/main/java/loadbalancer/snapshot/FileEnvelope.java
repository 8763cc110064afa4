package loadbalancer.snapshot;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * The envelope of a stored file: one line {@code MAGIC VERSION LENGTH CRC32C} before its payload,
 * by which a torn, damaged, foreign or newer file is recognised.
 *
 * @param magic the first word, of this kind of file only
 * @param description the kind of file in words, for messages
 * @param version of the format that is written; others are rejected
 * @param maxBytes of a whole file; larger ones are neither written nor read
 */
public record FileEnvelope(String magic, String description, int version, int maxBytes) {
    private static final int MAX_HEADER_BYTES = 64;
    private static final int HEADER_WORDS = 4;

    /**
     * Returns the whole file with that payload.
     *
     * @throws OversizedSnapshotException if it would be larger than allowed
     */
    public byte[] wrap(byte[] payload) throws OversizedSnapshotException {
        String words = magic + " " + version + " " + payload.length + " " + checksum(payload, 0);
        byte[] header = (words + "\n").getBytes(StandardCharsets.US_ASCII);
        if (header.length + payload.length > maxBytes) {
            throw new OversizedSnapshotException(payload.length);
        }
        byte[] file = Arrays.copyOf(header, header.length + payload.length);
        System.arraycopy(payload, 0, file, header.length, payload.length);
        return file;
    }

    /**
     * Checks a whole file and returns where its payload begins; it ends with the file.
     *
     * @throws InvalidSnapshotException if the file is damaged, foreign, of another version or too
     *     large
     */
    public int payloadOffset(byte[] file) throws InvalidSnapshotException {
        int headerEnd = 0;
        while (headerEnd < file.length && headerEnd < MAX_HEADER_BYTES && file[headerEnd] != '\n') {
            headerEnd++;
        }
        String[] words = new String(file, 0, headerEnd, StandardCharsets.US_ASCII).split(" ");
        if (file.length > maxBytes) {
            throw new OversizedSnapshotException(file.length);
        }
        checkFormat(words);
        int offset = Math.min(file.length, headerEnd + 1);
        checkPayload(words, file, offset);
        return offset;
    }

    private void checkFormat(String[] words) throws ForeignSnapshotException {
        if (!words[0].equals(magic) || words.length < 2) {
            throw new ForeignSnapshotException("not a " + description + " of this program");
        }
        if (!words[1].equals(String.valueOf(version))) {
            throw new ForeignSnapshotException(
                    "written in form " + words[1] + ", and this program reads " + version);
        }
    }

    private static void checkPayload(String[] words, byte[] file, int offset)
            throws CorruptSnapshotException {
        int length = file.length - offset;
        if (words.length != HEADER_WORDS || !words[2].equals(String.valueOf(length))) {
            throw new CorruptSnapshotException(
                    "torn: "
                            + length
                            + " bytes where its first line says "
                            + (words.length > 2 ? words[2] : "nothing"));
        }
        if (!words[3].equals(checksum(file, offset))) {
            throw new CorruptSnapshotException("damaged: its checksum is another one");
        }
    }

    private static String checksum(byte[] bytes, int offset) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, offset, bytes.length - offset);
        return String.format("%08x", crc.getValue());
    }
}
