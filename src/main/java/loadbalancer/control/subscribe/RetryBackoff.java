package loadbalancer.control.subscribe;

import java.util.random.RandomGenerator;

/**
 * Delays before retries: full jitter below a bound that doubles from the first to the longest. A
 * delay that a server has asked for is kept, with the jitter added.
 */
final class RetryBackoff {
    /** A server that asks for a longer delay gets this one. */
    static final long LONGEST_RETRY_AFTER_MILLIS = 120_000;

    private final long firstMillis;
    private final long longestMillis;
    private final RandomGenerator random;
    private long boundMillis;

    RetryBackoff(long firstMillis, long longestMillis, RandomGenerator random) {
        this.firstMillis = firstMillis;
        this.longestMillis = longestMillis;
        this.random = random;
        this.boundMillis = firstMillis;
    }

    /**
     * The delay before the next attempt; the one after it is drawn below twice the bound.
     *
     * @param retryAfterMillis the least delay, as told by the server; 0 for none
     */
    long nextDelayMillis(long retryAfterMillis) {
        long jitter = random.nextLong(boundMillis + 1);
        boundMillis = boundMillis > longestMillis / 2 ? longestMillis : 2 * boundMillis;
        return Math.max(0, Math.min(retryAfterMillis, LONGEST_RETRY_AFTER_MILLIS)) + jitter;
    }

    /** An update was completed: the next delay is drawn below the first bound again. */
    void reset() {
        boundMillis = firstMillis;
    }
}
