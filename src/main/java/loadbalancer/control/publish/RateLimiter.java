package loadbalancer.control.publish;

import java.util.concurrent.TimeUnit;

/**
 * A token bucket. Its balance may become negative, because one send may cost more tokens than are
 * available. Not thread-safe; times are the caller's monotonic clock in nanoseconds.
 */
final class RateLimiter {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /** The burst of a byte limit, as a fraction of its bytes per second. */
    private static final double BYTE_BURST_RATIO = 1.0 / 50;

    private final double perSecond;
    private final double burst;
    private double tokens;
    private long lastRefillNanos;
    private boolean isStarted;

    /** Creates a full bucket; refilling starts with the first call that passes a time. */
    RateLimiter(double perSecond, double burst) {
        this.perSecond = perSecond;
        this.burst = burst;
        this.tokens = burst;
    }

    /**
     * Creates a byte limit. The burst is subtracted from the steady rate, so the bytes sent in any
     * second exceed the limit by at most one send.
     */
    static RateLimiter ofBytes(long bytesPerSecond) {
        double burst = bytesPerSecond * BYTE_BURST_RATIO;
        return new RateLimiter(bytesPerSecond - burst, burst);
    }

    /** Returns whether the balance is positive. */
    boolean isPositive(long nowNanos) {
        refill(nowNanos);
        return tokens > 0;
    }

    /** Returns whether at least {@code amount} tokens are available. */
    boolean hasTokens(long nowNanos, double amount) {
        refill(nowNanos);
        return tokens >= amount;
    }

    /** Subtracts tokens from the balance, which may become negative. */
    void spend(double amount) {
        tokens -= amount;
    }

    /**
     * Returns the nanoseconds until {@code amount} tokens are available. An amount above the burst
     * is never reached.
     */
    long nanosUntil(long nowNanos, double amount) {
        refill(nowNanos);
        double missing = Math.max(0, amount - tokens);
        return (long) Math.ceil(missing / perSecond * NANOS_PER_SECOND);
    }

    private void refill(long nowNanos) {
        if (isStarted) {
            double earned = (nowNanos - lastRefillNanos) / NANOS_PER_SECOND * perSecond;
            tokens = Math.min(burst, tokens + earned);
        }
        isStarted = true;
        lastRefillNanos = nowNanos;
    }
}
