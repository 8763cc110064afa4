package loadbalancer.control.publish;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.UpdateFieldNames;

/**
 * Writes one part of an update from entries whose JSON is at hand; the line is the same as that of
 * {@link loadbalancer.control.model.ResourceCodec#encode(loadbalancer.control.model.UpdatePart)}.
 */
final class UpdateLineWriter {
    /** More than a part has besides its entries. */
    private static final int OTHER_BYTES = 256;

    private final int partBytes;
    private final List<byte[]> put = new ArrayList<>();
    private final List<byte[]> deleted = new ArrayList<>();
    private Position reached;
    private int size;

    /** Writes parts of about that many bytes. */
    UpdateLineWriter(int partBytes) {
        this.partBytes = partBytes;
    }

    /** Whether an entry fits; the first one always does. */
    boolean hasRoomFor(IndexEntry entry) {
        return size == 0 || size + entry.json().length <= partBytes;
    }

    /** Adds one entry. */
    void add(IndexEntry entry) {
        List<byte[]> list = entry.isDeletion() ? deleted : put;
        list.add(entry.json());
        size += entry.json().length + 1;
        reached = entry.position();
    }

    /** The line of a part that more parts follow. */
    UpdateLine finishPart(UpdateCursor cursor) {
        return new UpdateLine(write(cursor, ""), reached, null);
    }

    /** The line of the last part of an update that leads to a revision. */
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
        ByteArrayOutputStream line = new ByteArrayOutputStream(size + OTHER_BYTES);
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

    /** For values without characters that JSON escapes. */
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
