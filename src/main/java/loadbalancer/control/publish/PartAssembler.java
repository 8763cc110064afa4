package loadbalancer.control.publish;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;

/**
 * Cuts the next part of an update from the index. Subscribers at the same position with the same
 * scope share a line, which is assembled once. For the publisher's thread.
 */
final class PartAssembler {
    /** Enough for a complete snapshot of about 72,000 resources. */
    private static final long MAX_CACHED_BYTES = 16 << 20;

    private final ResourceState state;
    private final int partBytes;
    private final Map<PartKey, UpdateLine> cachedLines = new LinkedHashMap<>();
    private long cachedBytes;

    /** What the line of a part depends on, between two changes. */
    private record PartKey(Revision from, int part, Position position, Scope scope) {}

    /** Reads the digests of completed updates from that state. */
    PartAssembler(ResourceState state, int partBytes) {
        this.state = state;
        this.partBytes = partBytes;
    }

    /** Empties the cache after a change of the index. */
    void invalidate() {
        cachedLines.clear();
        cachedBytes = 0;
    }

    /** The next part for a cursor. */
    UpdateLine next(ResourceIndex index, UpdateCursor cursor) {
        PartKey key = new PartKey(cursor.from(), cursor.part(), cursor.position(), cursor.scope());
        UpdateLine line = cachedLines.get(key);
        if (line == null) {
            line = assemble(index, cursor);
            cache(key, line);
        }
        return line;
    }

    private void cache(PartKey key, UpdateLine line) {
        cachedLines.put(key, line);
        cachedBytes += line.line().length;
        Iterator<UpdateLine> oldest = cachedLines.values().iterator();
        while (cachedBytes > MAX_CACHED_BYTES) {
            cachedBytes -= oldest.next().line().length;
            oldest.remove();
        }
    }

    private UpdateLine assemble(ResourceIndex index, UpdateCursor cursor) {
        UpdateLineWriter writer = new UpdateLineWriter(partBytes);
        Iterator<IndexEntry> entries = index.after(cursor.position(), cursor.scope());
        while (entries.hasNext()) {
            IndexEntry entry = entries.next();
            if (!writer.hasRoomFor(entry)) {
                return writer.finishPart(cursor);
            }
            writer.add(entry);
        }
        return writer.finishUpdate(cursor, index.revision(), state.digest(cursor.scope()));
    }
}
