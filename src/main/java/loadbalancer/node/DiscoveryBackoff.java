package loadbalancer.node;

import java.util.random.RandomGenerator;

/**
 * Pauses between calls to discovery, in milliseconds: each is drawn between a half and one and a
 * half of a mean that doubles up to a cap, and none is longer than {@link DiscoveryTimes} leaves.
 */
final class DiscoveryBackoff {
    /** Most failures are one closed connection, and the next call goes through. */
    private static final long FIRST_MEAN = 50;

    /** While discovery is away each balancer of a hundred tries once a second. */
    private static final long LONGEST_MEAN = 1_000;

    private long mean = FIRST_MEAN;

    /** Discovery serves again: the next failure is a first one. */
    void reset() {
        mean = FIRST_MEAN;
    }

    /**
     * The pause after a call that failed and of which nothing had been heard for {@code quiet}
     * milliseconds. Watches mostly fall silent all at once, so calls after a silence are spread as
     * far as may be.
     */
    long next(long quiet, RandomGenerator random) {
        long most = DiscoveryTimes.maxPauseMillis(quiet) * 2 / 3;
        long around = quiet >= DiscoveryTimes.SILENCE_MILLIS ? most : Math.min(mean, most);
        mean = Math.min(LONGEST_MEAN, 2 * mean);
        return around / 2 + random.nextLong(around);
    }
}
