package loadbalancer.control.publish;

import java.util.concurrent.TimeUnit;

/**
 * A token bucket. Its balance may become negative, as one send may cost more tokens than there are.
 * For one thread, by the caller's monotonic clock in nanoseconds.
 */
final class RateLimiter {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /** The burst of a limit of bytes, as a fraction of what it allows in a second. */
    private static final double BYTE_BURST_RATIO = 1.0 / 50;

    private final double perSecond;
    private final double burst;
    private double tokens;
    private long filledAtNanos;
    private boolean isStarted;

    /** Starts full, at the time of the first call. */
    RateLimiter(double perSecond, double burst) {
        this.perSecond = perSecond;
        this.burst = burst;
        this.tokens = burst;
    }

    /**
     * A limit of bytes that no second exceeds by more than one send: the burst is subtracted from
     * the steady rate.
     */
    static RateLimiter ofBytes(long bytesPerSecond) {
        double burst = bytesPerSecond * BYTE_BURST_RATIO;
        return new RateLimiter(bytesPerSecond - burst, burst);
    }

    /** Whether the balance is positive. */
    boolean hasSome(long nowNanos) {
        fill(nowNanos);
        return tokens > 0;
    }

    /** Whether there are that many tokens. */
    boolean has(long nowNanos, double amount) {
        fill(nowNanos);
        return tokens >= amount;
    }

    /** Spends that many tokens, whether or not they are there. */
    void spend(double amount) {
        tokens -= amount;
    }

    /** Nanoseconds until there are that many tokens, if the burst allows that many. */
    long nanosUntil(long nowNanos, double amount) {
        fill(nowNanos);
        double missing = Math.max(0, amount - tokens);
        return (long) Math.ceil(missing / perSecond * NANOS_PER_SECOND);
    }

    private void fill(long nowNanos) {
        if (isStarted) {
            double earned = (nowNanos - filledAtNanos) / NANOS_PER_SECOND * perSecond;
            tokens = Math.min(burst, tokens + earned);
        }
        isStarted = true;
        filledAtNanos = nowNanos;
    }
}
