package loadbalancer.fleet.replication;

import java.nio.charset.StandardCharsets;

/**
 * Limits of the retained state. Each member has its own budget, so that no member can displace
 * another's items. The budgets of the roster add up to 16 MiB, and so do those of all other
 * members, without reassembly and flags. Stateless.
 */
final class ReplicationLimits {
    /** Maximum number of topics with a document per member. */
    static final int MAX_DOCUMENTS = 64;

    /** Maximum number of topics with a flag per member; flags are retained permanently. */
    static final int MAX_FLAGS = 32;

    /** Maximum number of topics with counters per member. */
    static final int MAX_COUNTER_TOPICS = 16;

    /** Maximum number of retained windows per topic, the ones with the highest numbers. */
    static final int MAX_WINDOWS = 16;

    /** Maximum bytes of a slice: two fragments with names of 40 characters fit into a datagram. */
    static final int SLICE_BYTES = 448;

    /** Maximum number of documents per member that are reassembled at the same time. */
    static final int MAX_REASSEMBLIES = 2;

    /** Maximum number of members that are not on the roster; their budgets add up to 16 MiB. */
    static final int MAX_UNKNOWN_MEMBERS = 768;

    /** Number of buckets in a comparison: their hashes take a quarter of a datagram. */
    static final int BUCKETS = 32;

    /**
     * Number of buckets for flags, the first ones. Flags change so rarely that a recovering member
     * and its peer can reach equal hashes.
     */
    static final int FLAG_BUCKETS = 8;

    private static final int ROSTER_BYTES = 16 << 20;

    /** Enough for a document of the maximum size with its names. */
    private static final int MIN_BUDGET_BYTES = 20 << 10;

    private static final int MAX_BUDGET_BYTES = 64 << 10;

    // Maximum encoded sizes of the CBOR heads of arrays, numbers and texts.
    private static final int NAME_HEAD_BYTES = 10;
    private static final int DOCUMENT_HEAD_BYTES = 21;
    private static final int FLAG_HEAD_BYTES = 3;
    private static final int COUNTERS_HEAD_BYTES = 12;
    private static final int FRAGMENT_HEAD_BYTES = 36;
    private static final int BUCKET_HASHES_HEAD_BYTES = 7;
    private static final int NUMBER_BYTES = 9;

    private ReplicationLimits() {}

    /** Returns how many bytes a member on a roster of that size may occupy. */
    static int budgetBytes(int rosterSize) {
        int equalPart = ROSTER_BYTES / Math.max(1, rosterSize);
        return Math.max(MIN_BUDGET_BYTES, Math.min(MAX_BUDGET_BYTES, equalPart));
    }

    /** Returns how many bytes a member that is not on the roster may occupy. */
    static int unknownMemberBudgetBytes() {
        return MIN_BUDGET_BYTES;
    }

    /** Returns an upper bound of an item's bytes on the wire. */
    static int encodedBytes(Item item) {
        int names = NAME_HEAD_BYTES + textBytes(item.topic()) + textBytes(item.member());
        if (item instanceof Item.Document document) {
            return names + DOCUMENT_HEAD_BYTES + document.body().length;
        } else if (item instanceof Item.Flag flag) {
            return names + FLAG_HEAD_BYTES + flag.reason().length;
        } else if (item instanceof Item.Counters counters) {
            return names + COUNTERS_HEAD_BYTES + NUMBER_BYTES * counters.values().length;
        } else if (item instanceof Item.Fragment fragment) {
            return names + FRAGMENT_HEAD_BYTES + fragment.slice().length;
        }
        long[] hashes = ((Item.BucketHashes) item).hashes();
        return names + BUCKET_HASHES_HEAD_BYTES + NUMBER_BYTES * hashes.length;
    }

    private static int textBytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }
}
