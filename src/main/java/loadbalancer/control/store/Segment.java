package loadbalancer.control.store;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The content of one segment file.
 *
 * @param file the name of the file
 * @param records the complete records
 * @param bytes the bytes from the header to the end of the last complete record
 * @param tornBytes the number of bytes of an incomplete record at the end; 0 except in the last
 *     segment after a crash
 */
record Segment(String file, List<Entry> records, byte[] bytes, int tornBytes) {
    /** A record and the offset of its frame in the file. */
    record Entry(int offset, LogRecord record) {}

    /**
     * Parses a segment.
     *
     * @param isLast whether this is the newest segment, the only one whose last record may be
     *     incomplete
     * @throws DamagedLogException if a record is damaged or unknown to this version
     */
    static Segment read(String file, byte[] bytes, boolean isLast) throws DamagedLogException {
        if (isLast && SegmentFormat.isTornHeader(bytes)) {
            return new Segment(file, List.of(), new byte[0], bytes.length);
        }
        int offset = SegmentFormat.checkHeader(file, bytes);
        List<Entry> records = new ArrayList<>();
        while (offset < bytes.length) {
            byte[] payload = SegmentFormat.payloadAt(bytes, offset);
            if (payload == null) {
                checkTornTail(file, bytes, offset, isLast);
                break;
            }
            records.add(new Entry(offset, decode(file, offset, payload)));
            offset += SegmentFormat.FRAME_BYTES + payload.length;
        }
        return new Segment(
                file, List.copyOf(records), Arrays.copyOf(bytes, offset), bytes.length - offset);
    }

    private static void checkTornTail(String file, byte[] bytes, int offset, boolean isLast)
            throws DamagedLogException {
        if (!isLast) {
            throw new DamagedLogException(
                    file, offset, "record is damaged, and a later segment follows");
        }
        if (SegmentFormat.hasRecordAfter(bytes, offset)) {
            throw new DamagedLogException(
                    file, offset, "record is damaged, and later records follow");
        }
    }

    private static LogRecord decode(String file, int offset, byte[] payload)
            throws DamagedLogException {
        try {
            return LogRecord.decode(payload);
        } catch (MalformedRecordException e) {
            throw new DamagedLogException(
                    file, offset, "record is malformed or of an unknown format");
        }
    }

    LogRecord first() {
        return records.get(0).record();
    }

    boolean isEmpty() {
        return records.isEmpty();
    }
}
