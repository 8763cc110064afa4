package loadbalancer.control.publish;

import java.util.concurrent.TimeUnit;

/** A token bucket. A debt is possible: what is sent whole may cost more than there is. */
final class RateLimiter {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /** The burst of a limit of bytes, as a part of what it allows in a second. */
    private static final double BYTE_BURST = 1.0 / 50;

    private final double perSecond;
    private final double burst;
    private double tokens;
    private long filledAt;
    private boolean isStarted;

    /** Starts full, at the time that it is first asked. */
    RateLimiter(double perSecond, double burst) {
        this.perSecond = perSecond;
        this.burst = burst;
        this.tokens = burst;
    }

    /**
     * A limit of bytes that no second exceeds by more than one send: what a burst may spend at once
     * is taken off the steady rate.
     */
    static RateLimiter ofBytes(long bytesPerSecond) {
        double burst = bytesPerSecond * BYTE_BURST;
        return new RateLimiter(bytesPerSecond - burst, burst);
    }

    /** Whether there is more than nothing. */
    boolean hasSome(long nowNanos) {
        fill(nowNanos);
        return tokens > 0;
    }

    /** Whether there is so much. */
    boolean has(long nowNanos, double amount) {
        fill(nowNanos);
        return tokens >= amount;
    }

    /** Spends so much, whether or not it is there. */
    void spend(double amount) {
        tokens -= amount;
    }

    /** How long until there is so much; never, if it is more than the burst. */
    long nanosUntil(long nowNanos, double amount) {
        fill(nowNanos);
        double missing = Math.max(0, amount - tokens);
        return (long) Math.ceil(missing / perSecond * NANOS_PER_SECOND);
    }

    private void fill(long nowNanos) {
        if (isStarted) {
            double earned = (nowNanos - filledAt) / NANOS_PER_SECOND * perSecond;
            tokens = Math.min(burst, tokens + earned);
        }
        isStarted = true;
        filledAt = nowNanos;
    }
}
