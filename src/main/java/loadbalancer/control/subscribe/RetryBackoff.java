package loadbalancer.control.subscribe;

import java.util.random.RandomGenerator;

/**
 * Delays before retries, in milliseconds: full jitter below a bound that doubles from the first to
 * the longest. A Retry-After is obeyed, with the jitter added. For one thread.
 */
final class RetryBackoff {
    /** A longer Retry-After is cut to this. */
    static final long MAX_RETRY_AFTER_MILLIS = 120_000;

    private final long firstMillis;
    private final long maxMillis;
    private final RandomGenerator random;
    private long boundMillis;

    RetryBackoff(long firstMillis, long maxMillis, RandomGenerator random) {
        this.firstMillis = firstMillis;
        this.maxMillis = maxMillis;
        this.random = random;
        this.boundMillis = firstMillis;
    }

    /**
     * The delay before the next attempt; the one after it is drawn below twice the bound.
     *
     * @param retryAfterMillis the least delay, as the server asked for; 0 for none
     */
    long nextDelayMillis(long retryAfterMillis) {
        long jitter = random.nextLong(boundMillis + 1);
        boundMillis = boundMillis > maxMillis / 2 ? maxMillis : 2 * boundMillis;
        return Math.max(0, Math.min(retryAfterMillis, MAX_RETRY_AFTER_MILLIS)) + jitter;
    }

    /** An update was completed: the next delay is drawn below the first bound again. */
    void reset() {
        boundMillis = firstMillis;
    }
}
