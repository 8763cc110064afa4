package loadbalancer.proxy;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Remembers for a minute the ids of requests that may have been executed, so that none is executed
 * again when its id comes again. Its table may lie in memory that two processes share; an entry
 * that both write at the same moment may be lost. The table has a fixed size: of too many ids in a
 * minute the oldest are forgotten. Used on the event loop only.
 */
public final class RecentRequestIds {
    /** Size in bytes of a table for two processes of a balancer. */
    public static final int SHARED_SIZE_BYTES = 512 * 1024;

    private static final int LOCAL_SIZE_BYTES = 64 * 1024;
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long KEPT_SECONDS = 60;

    /** An entry has 48 bits of the hash of an id, and 16 bits of the time in seconds. */
    private static final int ENTRY_BYTES = Long.BYTES;

    private static final int TIME_BITS = 16;
    private static final long TIME_MASK = (1L << TIME_BITS) - 1;
    private static final long NO_ENTRY = 0;

    /** Number of entries among which an id may be stored. */
    private static final int ENTRIES_PER_BUCKET = 8;

    private static final int BUCKET_BYTES = ENTRIES_PER_BUCKET * ENTRY_BYTES;

    private final ByteBuffer table;
    private final LongSupplier nanoTime;

    /**
     * Creates a view of a table.
     *
     * @param table the memory, all zeros if it is new; its size is a multiple of 64 bytes
     * @param nanoTime the monotonic clock, the same for all processes that share the table
     */
    public RecentRequestIds(ByteBuffer table, LongSupplier nanoTime) {
        this.table = table.order(ByteOrder.nativeOrder());
        this.nanoTime = nanoTime;
    }

    /** Creates a table of this process alone. */
    public static RecentRequestIds local(LongSupplier nanoTime) {
        return new RecentRequestIds(ByteBuffer.allocate(LOCAL_SIZE_BYTES), nanoTime);
    }

    /** Returns whether an id was added within the last minute. */
    public boolean contains(String id) {
        return find(hash(id)) >= 0;
    }

    /**
     * Adds an id.
     *
     * @return false, without effect, if it was added within the last minute
     */
    public boolean add(String id) {
        long hash = hash(id);
        if (find(hash) >= 0) {
            return false;
        }
        table.putLong(oldest(hash), tag(hash) << TIME_BITS | nowSeconds());
        return true;
    }

    /** Removes the id of a request that was not executed. */
    public void remove(String id) {
        int offset = find(hash(id));
        if (offset >= 0) {
            table.putLong(offset, NO_ENTRY);
        }
    }

    /** FNV-1a over the characters, whose upper bits are folded into the lower ones. */
    private static long hash(String id) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        return hash ^ hash >>> Integer.SIZE;
    }

    private long nowSeconds() {
        return TimeUnit.NANOSECONDS.toSeconds(nanoTime.getAsLong()) & TIME_MASK;
    }

    /** Returns the part of a hash that is stored, which is never 0. */
    private static long tag(long hash) {
        return Math.max(1, hash >>> TIME_BITS);
    }

    private int bucketOffset(long hash) {
        int buckets = table.capacity() / BUCKET_BYTES;
        return (int) Long.remainderUnsigned(hash, buckets) * BUCKET_BYTES;
    }

    /** Returns the offset of the entry of an id; -1 if there is none or it has expired. */
    private int find(long hash) {
        int bucket = bucketOffset(hash);
        for (int offset = bucket; offset < bucket + BUCKET_BYTES; offset += ENTRY_BYTES) {
            long entry = table.getLong(offset);
            if (entry >>> TIME_BITS == tag(hash) && ageSeconds(entry) <= KEPT_SECONDS) {
                return offset;
            }
        }
        return -1;
    }

    private int oldest(long hash) {
        int bucket = bucketOffset(hash);
        int oldest = bucket;
        for (int offset = bucket; offset < bucket + BUCKET_BYTES; offset += ENTRY_BYTES) {
            if (ageSeconds(table.getLong(offset)) > ageSeconds(table.getLong(oldest))) {
                oldest = offset;
            }
        }
        return oldest;
    }

    private long ageSeconds(long entry) {
        return entry == NO_ENTRY ? Long.MAX_VALUE : nowSeconds() - entry & TIME_MASK;
    }
}
