package loadbalancer.fleet.replication;

import java.nio.charset.StandardCharsets;

/**
 * Bounds of what is held. Each member has its own part, so that none can push out another's: the
 * roster's parts are 16 MiB together, those of all others as much, beside reassembly and flags.
 */
final class Limits {
    /**
     * Topics with a document, of one member: ten parts of the product with several subjects each.
     */
    static final int DOCUMENTS = 64;

    /** Topics with a flag, of one member: they stay for ever. */
    static final int FLAGS = 32;

    /** Topics with tallies, of one member. */
    static final int TALLY_TOPICS = 16;

    /** Windows kept of a topic, those of the greatest numbers. */
    static final int WINDOWS = 16;

    /** Bytes of a slice: with names of some 40 characters two fragments fit into a datagram. */
    static final int SLICE = 448;

    /** Documents of one member that are put together at one time. */
    static final int ASSEMBLIES = 2;

    /** Members that are not on the roster: their parts are 16 MiB together. */
    static final int STRANGERS = 768;

    /** Buckets of a comparison: their hashes take a quarter of a datagram. */
    static final int BUCKETS = 32;

    /** The first of these hold flags, which change so seldom that they can be found all equal. */
    static final int FLAG_BUCKETS = 8;

    private static final int ALL_BYTES = 16 << 20;

    /** A document of the longest kind with its names, and little beside it. */
    private static final int LEAST = 20 << 10;

    private static final int MOST = 64 << 10;

    private Limits() {}

    /** Bytes that a member on a roster of that size may have held at others. */
    static int budget(int roster) {
        return Math.max(LEAST, Math.min(MOST, ALL_BYTES / Math.max(1, roster)));
    }

    /** The same for one that is not on the roster. */
    static int strangersBudget() {
        return LEAST;
    }

    /** Bytes that an item takes on the wire, at most. */
    static int weight(Item item) {
        int names = 10 + text(item.topic()) + text(item.member());
        if (item instanceof Item.Document d) {
            return names + 21 + d.body().length;
        } else if (item instanceof Item.Flag f) {
            return names + 3 + f.reason().length;
        } else if (item instanceof Item.Tally t) {
            return names + 12 + 9 * t.values().length;
        } else if (item instanceof Item.Fragment f) {
            return names + 36 + f.slice().length;
        }
        return names + 7 + 9 * ((Item.Sums) item).buckets().length;
    }

    private static int text(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }
}
