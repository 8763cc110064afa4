package loadbalancer.control.publish;

/**
 * Limits of a publisher.
 *
 * @param maxSubscribers subscribers at one time
 * @param admissionsPerSecond subscribers that are admitted in a second; also the size of a burst
 * @param bytesPerSecond to all subscribers together
 * @param subscriberBytesPerSecond to one subscriber
 * @param partBytes target size of one part of an update; a single larger resource is a part of its
 *     own
 * @param heartbeatMillis a subscriber is sent something at least this often
 * @param retainedDeletions deletions that are retained; a subscriber from before the oldest gets a
 *     snapshot
 */
public record PublisherLimits(
        int maxSubscribers,
        double admissionsPerSecond,
        long bytesPerSecond,
        long subscriberBytesPerSecond,
        int partBytes,
        long heartbeatMillis,
        int retainedDeletions) {
    /** Sized for a third of 860 subscribers of all services, see docs/CAPACITY.md. */
    public static final PublisherLimits DEFAULT =
            new PublisherLimits(1_000, 50, 64 << 20, 4 << 20, 16 << 10, 2_000, 100_000);

    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException for limits under which nothing could ever be sent
     */
    public PublisherLimits {
        if (maxSubscribers < 1
                || !(admissionsPerSecond > 0)
                || bytesPerSecond < 1
                || subscriberBytesPerSecond < 1
                || partBytes < 1
                || heartbeatMillis < 1
                || retainedDeletions < 0) {
            throw new IllegalArgumentException("a limit of the publisher is not above 0");
        }
    }
}
