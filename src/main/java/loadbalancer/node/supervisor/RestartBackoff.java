package loadbalancer.node.supervisor;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter between starts of a failing process. Not thread-safe; times are
 * microseconds of the monotonic clock.
 */
final class RestartBackoff {
    static final long INITIAL_MICROS = 500_000;
    static final long MAX_MICROS = 30_000_000;

    /** Keeps the shift below from overflowing. */
    private static final int MAX_DOUBLINGS = 10;

    private final RandomGenerator random;
    private int failures;
    private long retryAtMicros = Long.MIN_VALUE;

    RestartBackoff(RandomGenerator random) {
        this.random = random;
    }

    /** A start failed: the next one waits twice as long, by half of it at random. */
    void onFailure(long nowMicros) {
        failures++;
        int doublings = Math.min(failures - 1, MAX_DOUBLINGS);
        long backoffMicros = Math.min(MAX_MICROS, INITIAL_MICROS << doublings);
        // Balancers of a fleet that all fail at once must not all start at once.
        retryAtMicros = nowMicros + backoffMicros / 2 + random.nextLong(backoffMicros / 2 + 1);
    }

    /** The process has proved stable: failures are counted from 0 again. */
    void clearFailures() {
        failures = 0;
    }

    /** Starts are due from then on. */
    void reset(long dueMicros) {
        failures = 0;
        retryAtMicros = dueMicros;
    }

    /** Failures in a row. */
    int failures() {
        return failures;
    }

    boolean isDue(long nowMicros) {
        return nowMicros >= retryAtMicros;
    }
}
