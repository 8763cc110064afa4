package loadbalancer.control.publish;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.UpdateFieldNames;

/**
 * Writes one part of an update from the encoded JSON of its entries. The line is identical to the
 * one that {@link
 * loadbalancer.control.model.ResourceCodec#encode(loadbalancer.control.model.UpdatePart)} returns.
 */
final class UpdateLineWriter {
    /** An upper bound of the bytes of a part in addition to its entries. */
    private static final int OVERHEAD_BYTES = 256;

    private final int partBytes;
    private final List<byte[]> put = new ArrayList<>();
    private final List<byte[]> deleted = new ArrayList<>();
    private Position reached;
    private int size;

    /** Creates a writer of a part with a target size of {@code partBytes}. */
    UpdateLineWriter(int partBytes) {
        this.partBytes = partBytes;
    }

    /** Returns whether an entry fits into the part; the first entry always does. */
    boolean hasRoomFor(IndexEntry entry) {
        return size == 0 || size + entry.json().length <= partBytes;
    }

    /** Adds an entry to the part. */
    void add(IndexEntry entry) {
        List<byte[]> list = entry.isDeletion() ? deleted : put;
        list.add(entry.json());
        size += entry.json().length + 1;
        reached = entry.position();
    }

    /** Returns the line of a part that is followed by more parts. */
    UpdateLine finishPart(UpdateCursor cursor) {
        return new UpdateLine(write(cursor, ""), reached, null);
    }

    /** Returns the line of the last part of an update to revision {@code to}. */
    UpdateLine finishUpdate(UpdateCursor cursor, Revision to, Digest digest) {
        String completion =
                ","
                        + name(UpdateFieldNames.COMPLETION)
                        + "{"
                        + name(UpdateFieldNames.TO)
                        + quoted(to)
                        + ","
                        + name(UpdateFieldNames.DIGEST)
                        + quoted(digest)
                        + "}";
        return new UpdateLine(write(cursor, completion), reached, digest);
    }

    private byte[] write(UpdateCursor cursor, String completion) {
        ByteArrayOutputStream line = new ByteArrayOutputStream(size + OVERHEAD_BYTES);
        writeText(line, "{" + name(UpdateFieldNames.FROM) + quoted(cursor.from()));
        writeText(line, "," + name(UpdateFieldNames.PART) + cursor.part());
        writeText(line, "," + name(UpdateFieldNames.PUT) + "[");
        writeElements(line, put);
        writeText(line, "]," + name(UpdateFieldNames.DELETE) + "[");
        writeElements(line, deleted);
        writeText(line, "]" + completion + "}");
        return line.toByteArray();
    }

    private static String name(String field) {
        return quoted(field) + ":";
    }

    /** Quotes a value, which must not contain characters that JSON requires to be escaped. */
    private static String quoted(Object value) {
        return "\"" + value + "\"";
    }

    private static void writeText(ByteArrayOutputStream line, String text) {
        line.writeBytes(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static void writeElements(ByteArrayOutputStream line, List<byte[]> elements) {
        boolean isFirst = true;
        for (byte[] element : elements) {
            if (!isFirst) {
                line.write(',');
            }
            line.writeBytes(element);
            isFirst = false;
        }
    }
}
