package loadbalancer.control.publish;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;

/**
 * Assembles the next part of an update from the index. Subscribers at the same position with the
 * same scope share a cached line. Confined to the publisher's thread.
 */
final class PartAssembler {
    /** The cache limit; it holds a complete snapshot of about 72,000 resources. */
    private static final long MAX_CACHED_BYTES = 16 << 20;

    private final ResourceState state;
    private final int partBytes;
    private final Map<PartKey, UpdateLine> cachedLines = new LinkedHashMap<>();
    private long cachedBytes;

    /** The cache key, which determines the line of a part as long as the index doesn't change. */
    private record PartKey(Revision from, int part, Position position, Scope scope) {}

    /** Creates an assembler that takes the digests of completed updates from {@code state}. */
    PartAssembler(ResourceState state, int partBytes) {
        this.state = state;
        this.partBytes = partBytes;
    }

    /** Empties the cache after a change of the index. */
    void invalidate() {
        cachedLines.clear();
        cachedBytes = 0;
    }

    /** Returns the next part for a cursor. */
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
