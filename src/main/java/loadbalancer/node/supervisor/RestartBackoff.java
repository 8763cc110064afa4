package loadbalancer.node.supervisor;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter between starts of a failing process. Not thread-safe. Times are
 * microseconds of the monotonic clock.
 */
final class RestartBackoff {
    static final long INITIAL_MICROS = 500_000;
    static final long MAX_MICROS = 30_000_000;

    /** Prevents an overflow of the shift in {@link #onFailure}. */
    private static final int MAX_DOUBLINGS = 10;

    private final RandomGenerator random;
    private int failures;
    private long retryAtMicros = Long.MIN_VALUE;

    RestartBackoff(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Called when a start failed. Doubles the delay before the next one; the upper half of the
     * delay is random.
     */
    void onFailure(long nowMicros) {
        failures++;
        int doublings = Math.min(failures - 1, MAX_DOUBLINGS);
        long backoffMicros = Math.min(MAX_MICROS, INITIAL_MICROS << doublings);
        // Jitter: balancers of a fleet that all fail at once must not all restart at once.
        retryAtMicros = nowMicros + backoffMicros / 2 + random.nextLong(backoffMicros / 2 + 1);
    }

    /** Called when the process has proved stable; resets the number of failures. */
    void clearFailures() {
        failures = 0;
    }

    /** Resets the number of failures, and makes starts due from {@code dueMicros} on. */
    void reset(long dueMicros) {
        failures = 0;
        retryAtMicros = dueMicros;
    }

    /** Returns the number of consecutive failures. */
    int failures() {
        return failures;
    }

    boolean isDue(long nowMicros) {
        return nowMicros >= retryAtMicros;
    }
}
