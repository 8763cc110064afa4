package loadbalancer.control.store;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;

/** The format of a segment file: a header line, then framed records. See docs/control-log.md. */
final class SegmentFormat {
    /** The maximum size of a payload; larger ones are neither written nor read. */
    static final int MAX_PAYLOAD_BYTES = 64 << 20;

    static final int FORMAT = 1;

    /** The first word of every segment; it has the program's former name to read old logs. */
    static final String MAGIC = "yewyoke-control-log";

    /** The size of the length and checksum that precede each payload. */
    static final int FRAME_BYTES = 2 * Integer.BYTES;

    private static final byte[] HEADER = (MAGIC + " " + FORMAT + "\n").getBytes(US_ASCII);
    private static final int MAX_HEADER_BYTES = 64;

    private SegmentFormat() {}

    /** Returns the header line with its line terminator. */
    static byte[] header() {
        return HEADER.clone();
    }

    /** Returns a payload preceded by its length and checksum. */
    static byte[] frame(byte[] payload) {
        ByteBuffer frame = ByteBuffer.allocate(FRAME_BYTES + payload.length);
        frame.putInt(payload.length);
        frame.putInt(checksum(payload));
        frame.put(payload);
        return frame.array();
    }

    /** Computes CRC32C over length and payload, so that a run of zeros is not a valid record. */
    private static int checksum(byte[] payload) {
        CRC32C checksum = new CRC32C();
        checksum.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, payload.length));
        checksum.update(payload);
        return (int) checksum.getValue();
    }

    /**
     * Returns whether the bytes are those of a segment whose header line was not completely
     * written: a prefix of the header, or only zeros.
     */
    static boolean isTornHeader(byte[] bytes) {
        boolean isPrefix =
                bytes.length < HEADER.length
                        && Arrays.equals(bytes, Arrays.copyOf(HEADER, bytes.length));
        return isPrefix || isZero(bytes, 0);
    }

    private static boolean isZero(byte[] bytes, int from) {
        for (int at = from; at < bytes.length; at++) {
            if (bytes[at] != 0) {
                return false;
            }
        }
        return true;
    }

    /**
     * Checks the header line and returns the offset of the first record.
     *
     * @throws DamagedLogException if the header is missing or of another format
     */
    static int checkHeader(String file, byte[] bytes) throws DamagedLogException {
        if (bytes.length >= HEADER.length
                && Arrays.equals(HEADER, Arrays.copyOf(bytes, HEADER.length))) {
            return HEADER.length;
        }
        String start = new String(bytes, 0, Math.min(bytes.length, MAX_HEADER_BYTES), US_ASCII);
        String line = start.lines().findFirst().orElse("");
        if (line.matches(MAGIC + " \\d+")) {
            throw new DamagedLogException(
                    file,
                    0,
                    "has format "
                            + line.substring(MAGIC.length() + 1)
                            + ", and this program reads "
                            + FORMAT);
        }
        throw new DamagedLogException(file, 0, "expected the header of a control log");
    }

    /** Returns the payload of the record at an offset; null if it is incomplete or damaged. */
    static byte[] payloadAt(byte[] bytes, int offset) {
        if (bytes.length - offset < FRAME_BYTES) {
            return null;
        }
        ByteBuffer frame = ByteBuffer.wrap(bytes, offset, bytes.length - offset);
        int length = frame.getInt();
        int checksum = frame.getInt();
        if (length < 1 || length > Math.min(frame.remaining(), MAX_PAYLOAD_BYTES)) {
            return null;
        }
        byte[] payload = new byte[length];
        frame.get(payload);
        return checksum(payload) == checksum ? payload : null;
    }

    /** Returns whether an intact record begins anywhere after an offset. */
    static boolean hasRecordAfter(byte[] bytes, int offset) {
        for (int at = offset + 1; at <= bytes.length - FRAME_BYTES; at++) {
            if (payloadAt(bytes, at) != null) {
                return true;
            }
        }
        return false;
    }
}
