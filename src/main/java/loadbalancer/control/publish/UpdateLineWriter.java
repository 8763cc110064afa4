package loadbalancer.control.publish;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.Revision;

/**
 * Writes one part of an update from entries whose JSON is at hand; the line is the same as that of
 * {@link loadbalancer.control.model.ResourceCodec#encode(loadbalancer.control.model.UpdatePart)}.
 */
final class UpdateLineWriter {
    private final int partBytes;
    private final List<byte[]> put = new ArrayList<>();
    private final List<byte[]> deleted = new ArrayList<>();
    private Position reached;
    private int size;

    /** Aims at parts of that many bytes. */
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
        String completion = ",\"completion\":{\"to\":\"" + to + "\",\"digest\":\"" + digest + "\"}";
        return new UpdateLine(write(cursor, completion), reached, digest);
    }

    private byte[] write(UpdateCursor cursor, String completion) {
        ByteArrayOutputStream line = new ByteArrayOutputStream(size + 256);
        writeText(
                line,
                "{\"from\":\"" + cursor.from() + "\",\"part\":" + cursor.part() + ",\"put\":[");
        writeElements(line, put);
        writeText(line, "],\"delete\":[");
        writeElements(line, deleted);
        writeText(line, "]" + completion + "}");
        return line.toByteArray();
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
