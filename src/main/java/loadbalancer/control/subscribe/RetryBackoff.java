package loadbalancer.control.subscribe;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter: each delay is drawn between 0 and a bound that doubles up
 * to a maximum. A Retry-After is honored as a minimum, with the jitter added to it. Not
 * thread-safe.
 */
final class RetryBackoff {
    /** The maximum Retry-After; longer values are reduced to it. */
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
     * Returns the delay before the next attempt and doubles the bound for the one after it.
     *
     * @param retryAfterMillis the minimum delay that the server requested; 0 for none
     */
    long nextDelayMillis(long retryAfterMillis) {
        long jitter = random.nextLong(boundMillis + 1);
        boundMillis = boundMillis > maxMillis / 2 ? maxMillis : 2 * boundMillis;
        return Math.max(0, Math.min(retryAfterMillis, MAX_RETRY_AFTER_MILLIS)) + jitter;
    }

    /** Resets the bound to its initial value, after an update was completed. */
    void reset() {
        boundMillis = firstMillis;
    }
}
