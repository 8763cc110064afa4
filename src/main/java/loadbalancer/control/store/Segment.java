package loadbalancer.control.store;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * What was read of one segment file.
 *
 * @param file its name
 * @param records the complete ones
 * @param bytes from the header to the end of the last complete record
 * @param tornBytes of an incomplete record behind them; 0 except in the last segment after a crash
 */
record Segment(String file, List<Entry> records, byte[] bytes, int tornBytes) {
    /** A record and the offset at which its frame begins. */
    record Entry(int offset, LogRecord record) {}

    /**
     * Reads a segment.
     *
     * @param isLast whether it is the newest, the only one whose last record may be torn
     * @throws DamagedLogException if a complete record is broken or unknown
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
                    file, offset, "a broken record, and a later segment follows");
        }
        if (SegmentFormat.hasRecordBehind(bytes, offset)) {
            throw new DamagedLogException(file, offset, "a broken record, and later ones follow");
        }
    }

    private static LogRecord decode(String file, int offset, byte[] payload)
            throws DamagedLogException {
        try {
            return LogRecord.decode(payload);
        } catch (MalformedRecordException e) {
            throw new DamagedLogException(file, offset, "a record of a form that is unknown here");
        }
    }

    LogRecord first() {
        return records.get(0).record();
    }

    boolean isEmpty() {
        return records.isEmpty();
    }
}
