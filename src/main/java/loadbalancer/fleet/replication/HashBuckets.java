package loadbalancer.fleet.replication;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Arrays;

/**
 * Hashes of all retained items. Each bucket has the sum of its items' hashes, so that adding and
 * removing an item takes constant time. For the thread of {@link ReplicatedStore}.
 */
final class HashBuckets {
    private static final Hasher64 HASHER = Hashing.xxh3_64();

    // Distinguish the kinds of items in a hash; must be the same at all members.
    private static final byte DOCUMENT_KIND = 1;
    private static final byte FLAG_KIND = 2;
    private static final byte COUNTERS_KIND = 3;

    private final long[] sums = new long[ReplicationLimits.BUCKETS];

    void add(Item item) {
        sums[bucketOf(item)] += hash(item);
    }

    void remove(Item item) {
        sums[bucketOf(item)] -= hash(item);
    }

    /** Returns the hash of each bucket. */
    long[] hashes() {
        return sums.clone();
    }

    /** Returns one hash over all buckets. */
    long combinedHash() {
        HashStream64 combined = HASHER.hashStream();
        Arrays.stream(sums).forEach(combined::putLong);
        return combined.getAsLong();
    }

    /** Returns whether the bucket hashes of two members are equal for all flags. */
    static boolean haveSameFlags(long[] left, long[] right) {
        return left.length == ReplicationLimits.BUCKETS
                && right.length == ReplicationLimits.BUCKETS
                && Arrays.equals(
                        left,
                        0,
                        ReplicationLimits.FLAG_BUCKETS,
                        right,
                        0,
                        ReplicationLimits.FLAG_BUCKETS);
    }

    /** Returns the bucket of an item, by topic and member, so that all versions share it. */
    static int bucketOf(Item item) {
        long hash =
                HASHER.hashStream().putString(item.topic()).putString(item.member()).getAsLong();
        int flagBuckets = ReplicationLimits.FLAG_BUCKETS;
        int otherBuckets = ReplicationLimits.BUCKETS - flagBuckets;
        return item instanceof Item.Flag
                ? (int) Long.remainderUnsigned(hash, flagBuckets)
                : flagBuckets + (int) Long.remainderUnsigned(hash, otherBuckets);
    }

    /** Returns the digest of a document's body. */
    static long digest(byte[] body) {
        return HASHER.hashBytesToLong(body);
    }

    private static long hash(Item item) {
        HashStream64 hash = HASHER.hashStream().putString(item.topic()).putString(item.member());
        if (item instanceof Item.Document document) {
            hash.putByte(DOCUMENT_KIND)
                    .putLong(document.incarnation())
                    .putLong(document.version())
                    .putLong(digest(document.body()));
        } else if (item instanceof Item.Flag flag) {
            hash.putByte(FLAG_KIND).putLong(digest(flag.reason()));
        } else if (item instanceof Item.Counters counters) {
            hash.putByte(COUNTERS_KIND).putLong(counters.window());
            Arrays.stream(counters.values()).forEach(hash::putLong);
        }
        return hash.getAsLong();
    }
}
