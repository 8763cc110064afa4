package loadbalancer.fleet.replication;

/** A unit of the replicated state, in the form in which it is sent and merged. */
public sealed interface Item {
    /** Returns the topic, {@code SUBSYSTEM/SUBJECT} with 1 to 96 characters. */
    String topic();

    /** Returns the name of the member that published this item. */
    String member();

    /**
     * A last-writer-wins register of one member: of two documents on a topic, the one with the
     * later incarnation wins, then the one with the higher version, then the one whose body is
     * greater by bytes.
     *
     * @param incarnation the member's incarnation when it published the document, so that a
     *     restarted member need not know its earlier versions
     * @param version a number that increases with each document, from 1
     * @param body the content, at most {@link SharedState#MAX_BODY_BYTES} bytes
     */
    record Document(String topic, String member, long incarnation, long version, byte[] body)
            implements Item {}

    /**
     * A grow-only flag: once any member has raised it, it stays raised permanently. The flag of
     * each member that raised it is retained.
     *
     * @param reason why the member raised it, at most {@link SharedState#MAX_REASON_BYTES} bytes
     */
    record Flag(String topic, String member, byte[] reason) implements Item {}

    /**
     * Grow-only counters of one member in one time window; a merge takes the maximum at each index.
     *
     * @param window number of the window since the epoch; the topic determines the windows' length
     * @param values at most {@link SharedState#MAX_COUNTER_VALUES} values
     */
    record Counters(String topic, String member, long window, long[] values) implements Item {}

    /**
     * One slice of a document that is too long for a datagram; the document is merged once all
     * slices have arrived.
     *
     * @param digest 64-bit XXH3 hash of the whole body
     * @param index index of this slice, from 0
     * @param fragmentCount number of slices, 2 to {@link #MAX_FRAGMENTS}
     * @param slice the bytes of this slice
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
     * Hashes of the sender's items for anti-entropy, one for each bucket, from which the receiver
     * finds the items that differ. They are neither retained nor relayed.
     *
     * @param step 0 for a request, 1 for the response, which follows the items that differ, 2 for
     *     the response to that
     * @param isComplete whether all items that differ were sent before this, or only a part of them
     * @param hashes the hash of each bucket
     */
    record BucketHashes(String topic, String member, int step, boolean isComplete, long[] hashes)
            implements Item {}

    /** Maximum number of fragments of a document. */
    int MAX_FRAGMENTS = 64;

    /** Highest valid incarnation and version, below which numbers can exceed malicious ones. */
    long MAX_VERSION = 1L << 48;
}
