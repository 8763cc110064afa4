package loadbalancer.http1.downstream;

/**
 * Limits how many small parts of bodies are read from all clients together. A part costs the same
 * however few bytes it has, so that hundreds of clients with chunks of one byte would take all of
 * the event loop. Each read that brings many of them is charged, and its connection waits for its
 * turn. Used on the event loop only.
 */
final class SmallPartPacer {
    /** Number of small parts in one read up to which it is not charged. */
    private static final int FREE_PARTS_PER_READ = 256;

    /** A fraction of what an event loop decodes, so that the rest of its time is for others. */
    private static final long PARTS_PER_SECOND = 200_000;

    private static final long NANOS_PER_PART = 1_000_000_000 / PARTS_PER_SECOND;

    /** Monotonic time up to which reads have been charged. */
    private long chargedUntilNanos = Long.MIN_VALUE;

    /**
     * Charges a read.
     *
     * @param parts number of small parts that it brought
     * @return how long its connection must not be read, in nanoseconds
     */
    long charge(int parts, long nowNanos) {
        if (parts <= FREE_PARTS_PER_READ) {
            return 0;
        }
        long startNanos = Math.max(chargedUntilNanos, nowNanos);
        chargedUntilNanos = startNanos + parts * NANOS_PER_PART;
        return chargedUntilNanos - nowNanos;
    }
}
