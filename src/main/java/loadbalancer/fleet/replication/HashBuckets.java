package loadbalancer.fleet.replication;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Arrays;

/**
 * Hashes of all that is held, a sum for each bucket, so that an item is put in and taken out in no
 * time.
 */
final class HashBuckets {
    private static final Hasher64 HASHER = Hashing.xxh3_64();

    private final long[] sums = new long[Limits.BUCKETS];

    void add(Item item) {
        sums[of(item)] += hash(item);
    }

    void remove(Item item) {
        sums[of(item)] -= hash(item);
    }

    long[] sums() {
        return sums.clone();
    }

    /** Of them all. */
    long all() {
        HashStream64 all = HASHER.hashStream();
        Arrays.stream(sums).forEach(all::putLong);
        return all.getAsLong();
    }

    /** Whether they hold the same flags. */
    static boolean sameFlags(long[] a, long[] b) {
        return a.length == Limits.BUCKETS
                && b.length == Limits.BUCKETS
                && Arrays.equals(a, 0, Limits.FLAG_BUCKETS, b, 0, Limits.FLAG_BUCKETS);
    }

    /** Of an item; by its name only, so that all its versions lie in one. */
    static int of(Item item) {
        long hash =
                HASHER.hashStream().putString(item.topic()).putString(item.member()).getAsLong();
        return item instanceof Item.Flag
                ? (int) Long.remainderUnsigned(hash, Limits.FLAG_BUCKETS)
                : Limits.FLAG_BUCKETS
                        + (int) Long.remainderUnsigned(hash, Limits.BUCKETS - Limits.FLAG_BUCKETS);
    }

    /** Of a document's bytes. */
    static long digest(byte[] body) {
        return HASHER.hashBytesToLong(body);
    }

    private static long hash(Item item) {
        HashStream64 hash = HASHER.hashStream().putString(item.topic()).putString(item.member());
        if (item instanceof Item.Document d) {
            hash.putByte((byte) 1)
                    .putLong(d.incarnation())
                    .putLong(d.version())
                    .putLong(digest(d.body()));
        } else if (item instanceof Item.Flag f) {
            hash.putByte((byte) 2).putLong(digest(f.reason()));
        } else if (item instanceof Item.Tally t) {
            hash.putByte((byte) 3).putLong(t.window());
            Arrays.stream(t.values()).forEach(hash::putLong);
        }
        return hash.getAsLong();
    }
}
