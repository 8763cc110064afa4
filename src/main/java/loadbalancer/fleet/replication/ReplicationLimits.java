package loadbalancer.fleet.replication;

import java.nio.charset.StandardCharsets;

/**
 * Bounds of the retained state. Each member has its own budget, so that none can displace another's
 * items: the roster's budgets add up to 16 MiB, those of all other members to as much, apart from
 * reassembly and flags. Stateless.
 */
final class ReplicationLimits {
    /** Topics with a document, of one member. */
    static final int MAX_DOCUMENTS = 64;

    /** Topics with a flag, of one member: flags are retained for ever. */
    static final int MAX_FLAGS = 32;

    /** Topics with counters, of one member. */
    static final int MAX_COUNTER_TOPICS = 16;

    /** Windows retained of a topic, those of the highest numbers. */
    static final int MAX_WINDOWS = 16;

    /** With names of some 40 characters two fragments fit into a datagram. */
    static final int SLICE_BYTES = 448;

    /** Documents of one member that are reassembled at a time. */
    static final int MAX_REASSEMBLIES = 2;

    /** Members that are not on the roster: their budgets add up to 16 MiB. */
    static final int MAX_UNKNOWN_MEMBERS = 768;

    /** Buckets of a comparison: their hashes take a quarter of a datagram. */
    static final int BUCKETS = 32;

    /** The first buckets are for flags, which change rarely enough to be found equal. */
    static final int FLAG_BUCKETS = 8;

    private static final int ROSTER_BYTES = 16 << 20;

    /** A document of the maximum size with its names. */
    private static final int MIN_BUDGET_BYTES = 20 << 10;

    private static final int MAX_BUDGET_BYTES = 64 << 10;

    // Encoded sizes: the heads of arrays, numbers and texts in CBOR, at their largest.
    private static final int NAME_HEAD_BYTES = 10;
    private static final int DOCUMENT_HEAD_BYTES = 21;
    private static final int FLAG_HEAD_BYTES = 3;
    private static final int COUNTERS_HEAD_BYTES = 12;
    private static final int FRAGMENT_HEAD_BYTES = 36;
    private static final int BUCKET_HASHES_HEAD_BYTES = 7;
    private static final int NUMBER_BYTES = 9;

    private ReplicationLimits() {}

    /** Bytes that a member on a roster of that size may occupy. */
    static int budgetBytes(int rosterSize) {
        int equalPart = ROSTER_BYTES / Math.max(1, rosterSize);
        return Math.max(MIN_BUDGET_BYTES, Math.min(MAX_BUDGET_BYTES, equalPart));
    }

    /** Bytes that a member which is not on the roster may occupy. */
    static int unknownMemberBudgetBytes() {
        return MIN_BUDGET_BYTES;
    }

    /** Bytes of an item on the wire at most. */
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
