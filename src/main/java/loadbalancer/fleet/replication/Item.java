package loadbalancer.fleet.replication;

/** A unit of the state that the fleet replicates, in the form in which it is sent and merged. */
public sealed interface Item {
    /** {@code part/subject}, 1 to 96 characters. */
    String topic();

    /** The member that published it. */
    String member();

    /**
     * A last-writer-wins register of one member: of two documents on a topic the one of the later
     * incarnation wins, then that of the higher version, then the greater one by bytes.
     *
     * @param incarnation of the member when it published this, so that a restarted member need not
     *     know its earlier versions
     * @param version rises with each document, from 1
     * @param body at most {@link SharedState#MAX_BODY_BYTES} bytes
     */
    record Document(String topic, String member, long incarnation, long version, byte[] body)
            implements Item {}

    /**
     * A grow-only flag: once raised by any member it stays raised for ever. All members that raised
     * it are retained.
     *
     * @param reason at most {@link SharedState#MAX_REASON_BYTES} bytes
     */
    record Flag(String topic, String member, byte[] reason) implements Item {}

    /**
     * Grow-only counters of one member in one window of time; the maximum at each index wins.
     *
     * @param window its number since the epoch, by a length that the topic implies
     * @param values at most {@link SharedState#MAX_COUNTER_VALUES}
     */
    record Counters(String topic, String member, long window, long[] values) implements Item {}

    /**
     * One slice of a document that is too long for a datagram; the document is merged once all
     * slices have arrived.
     *
     * @param digest of the whole body, XXH3 with 64 bits
     * @param index from 0
     * @param fragmentCount 2 to {@link #MAX_FRAGMENTS}
     */
    record Fragment(
            String topic,
            String member,
            long incarnation,
            long version,
            long digest,
            int index,
            int fragmentCount,
            byte[] slice)
            implements Item {}

    /**
     * Anti-entropy: one hash for each of a fixed number of buckets of what the sender holds, so
     * that its receiver finds what differs. It is neither retained nor passed on.
     *
     * @param step 0 for a request, 1 for the response after what differed, 2 for the response to
     *     that
     * @param isComplete whether all that differed was sent before this, or only a part of it
     */
    record BucketHashes(String topic, String member, int step, boolean isComplete, long[] hashes)
            implements Item {}

    /** Fragments of a document at most. */
    int MAX_FRAGMENTS = 64;

    /** Highest incarnation and version: leaves room to exceed a malicious member's numbers. */
    long MAX_VERSION = 1L << 48;
}
