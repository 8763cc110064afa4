package loadbalancer.fleet.replication;

/** A piece of what the fleet shares, in the form in which it travels and merges. */
public sealed interface Item {
    /** Under what it is stated: {@code part/subject}, 1 to 96 characters. */
    String topic();

    /** Who stated it. */
    String member();

    /**
     * What one member says on a topic: of two statements the one of the later incarnation counts,
     * then the one of the higher version, then the greater one by bytes.
     *
     * @param incarnation of the member when it said so, so that a restart need not remember
     *     versions
     * @param version rises with each statement, from 1
     * @param body at most {@link Shared#LONGEST_BODY} bytes
     */
    record Document(String topic, String member, long incarnation, long version, byte[] body)
            implements Item {}

    /**
     * Something that can't be undone by any merge: raised once it is up for ever, by whomever. Of
     * several that raised it all are kept, each with its reason of at most {@link
     * Shared#LONGEST_REASON} bytes.
     */
    record Flag(String topic, String member, byte[] reason) implements Item {}

    /**
     * Counts of one member in one window of time; each value only grows, and the greatest of each
     * place counts.
     *
     * @param window its number since the epoch, by a length that the topic stands for
     * @param values at most {@link Shared#MOST_VALUES}
     */
    record Tally(String topic, String member, long window, long[] values) implements Item {}

    /**
     * One slice of a document that is too long for a datagram; it counts when all of them are
     * there.
     *
     * @param digest of the whole body, {@code XXH3} with 64 bits
     * @param index from 0
     * @param parts how many there are, 2 to {@link #MOST_PARTS}
     */
    record Fragment(
            String topic,
            String member,
            long incarnation,
            long version,
            long digest,
            int index,
            int parts,
            byte[] slice)
            implements Item {}

    /**
     * What the sender holds, as one hash for each of a fixed number of buckets, so that a peer can
     * tell what differs. It is for the one that it is sent to, and neither kept nor passed on.
     *
     * @param step 0 for one that asks, 1 for the answer behind what differed, 2 for the answer to
     *     that
     * @param whole whether all that differed came before this, or only a part of it
     * @param buckets their hashes
     */
    record Sums(String topic, String member, int step, boolean whole, long[] buckets)
            implements Item {}

    /** Slices of a document at most. */
    int MOST_PARTS = 64;

    /** Incarnations and versions up to here count: beyond, nobody who counts could outdo a liar. */
    long MOST_VERSION = 1L << 48;
}
