package loadbalancer.control.publish;

/**
 * The limits of a publisher.
 *
 * @param maxSubscribers the maximum number of connected subscribers
 * @param admissionsPerSecond the maximum rate of admissions; also the size of a burst
 * @param bytesPerSecond the maximum send rate to all subscribers together
 * @param subscriberBytesPerSecond the maximum send rate to one subscriber
 * @param partBytes the target size of one part of an update; a resource larger than this forms a
 *     part of its own
 * @param heartbeatMillis the maximum time without an update or heartbeat to a subscriber
 * @param retainedDeletions the number of deletions to retain; a subscriber at a revision before the
 *     oldest retained deletion receives a snapshot
 */
public record PublisherLimits(
        int maxSubscribers,
        double admissionsPerSecond,
        long bytesPerSecond,
        long subscriberBytesPerSecond,
        int partBytes,
        long heartbeatMillis,
        int retainedDeletions) {
    /**
     * The defaults, sized for a third of 860 subscribers that each receive all services; see
     * docs/CAPACITY.md.
     */
    public static final PublisherLimits DEFAULT =
            new PublisherLimits(1_000, 50, 64 << 20, 4 << 20, 16 << 10, 2_000, 100_000);

    /**
     * Checks the ranges of the limits.
     *
     * @throws IllegalArgumentException if {@code retainedDeletions} is negative or another limit is
     *     not above 0
     */
    public PublisherLimits {
        if (maxSubscribers < 1
                || !(admissionsPerSecond > 0)
                || bytesPerSecond < 1
                || subscriberBytesPerSecond < 1
                || partBytes < 1
                || heartbeatMillis < 1
                || retainedDeletions < 0) {
            throw new IllegalArgumentException(
                    "expected limits of the publisher above 0, and retainedDeletions of 0 or more");
        }
    }
}
