package loadbalancer.control.publish;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;

/**
 * Cuts the next part of an update from the index. Subscribers that stand at the same place with the
 * same scope are given the same line, which is assembled once.
 */
final class PartAssembler {
    /** Room for a whole snapshot of about 72,000 resources. */
    private static final long MOST_CACHED_BYTES = 16 << 20;

    private final ResourceState state;
    private final int partBytes;
    private final Map<PartKey, UpdateLine> cache = new LinkedHashMap<>();
    private long cachedBytes;

    /** What the line of a part depends on, between two changes. */
    private record PartKey(Revision from, int part, Position position, Scope scope) {}

    /** Reads the digests of completed updates from that state. */
    PartAssembler(ResourceState state, int partBytes) {
        this.state = state;
        this.partBytes = partBytes;
    }

    /** The index has changed, and with it all lines. */
    void invalidate() {
        cache.clear();
        cachedBytes = 0;
    }

    /** The next part for a cursor. */
    UpdateLine next(ResourceIndex index, UpdateCursor cursor) {
        PartKey key = new PartKey(cursor.from(), cursor.part(), cursor.position(), cursor.scope());
        UpdateLine line = cache.get(key);
        if (line == null) {
            line = assemble(index, cursor);
            remember(key, line);
        }
        return line;
    }

    private void remember(PartKey key, UpdateLine line) {
        cache.put(key, line);
        cachedBytes += line.line().length;
        Iterator<UpdateLine> oldest = cache.values().iterator();
        while (cachedBytes > MOST_CACHED_BYTES) {
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
