package loadbalancer.snapshot;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * What stands around the bytes of a kept file: one line {@code MAGIC VERSION LENGTH CRC32C} before
 * them, by which a torn, damaged, foreign or newer one is told.
 *
 * @param magic the first word, of this kind of file only
 * @param kind what to call it in a refusal
 * @param version of the form that is written; others are refused
 * @param most bytes of a whole file; larger ones are neither written nor read
 */
public record Envelope(String magic, String kind, int version, int most) {
    private static final int LONGEST_LINE = 64;

    /** The whole file around its bytes. */
    public byte[] around(byte[] bytes) throws InvalidSnapshotException {
        byte[] line =
                (magic + " " + version + " " + bytes.length + " " + crc(bytes, 0) + "\n")
                        .getBytes(StandardCharsets.US_ASCII);
        if (line.length + bytes.length > most) {
            throw new InvalidSnapshotException("too large with " + bytes.length + " bytes");
        }
        byte[] all = Arrays.copyOf(line, line.length + bytes.length);
        System.arraycopy(bytes, 0, all, line.length, bytes.length);
        return all;
    }

    /** Where the bytes begin in a whole file, which end with it. */
    public int open(byte[] all) throws InvalidSnapshotException {
        int end = 0;
        while (end < all.length && end < LONGEST_LINE && all[end] != '\n') {
            end++;
        }
        String[] line = new String(all, 0, end, StandardCharsets.US_ASCII).split(" ");
        if (all.length > most) {
            throw new InvalidSnapshotException("too large with " + all.length + " bytes");
        }
        if (!line[0].equals(magic) || line.length < 2) {
            throw new InvalidSnapshotException("not a " + kind + " of this program");
        }
        if (!line[1].equals(String.valueOf(version))) {
            throw new InvalidSnapshotException(
                    "written in form " + line[1] + ", and this program reads " + version);
        }
        int from = Math.min(all.length, end + 1);
        if (line.length != 4 || !line[2].equals(String.valueOf(all.length - from))) {
            throw new InvalidSnapshotException(
                    "torn: "
                            + (all.length - from)
                            + " bytes where its first line says "
                            + (line.length > 2 ? line[2] : "nothing"));
        }
        if (!line[3].equals(crc(all, from))) {
            throw new InvalidSnapshotException("damaged: its checksum is another one");
        }
        return from;
    }

    private static String crc(byte[] bytes, int from) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, bytes.length - from);
        return String.format("%08x", crc.getValue());
    }
}
