package loadbalancer.proxy;

import java.util.function.LongSupplier;

/**
 * How late the event loop is, as its timers show: what is read now may have waited unread for as
 * long, and what is due later will be as late. Used on the event loop only.
 */
final class EventLoopLag {
    /**
     * Half-life of the longest lag seen: a loop that is short of processor time is late again and
     * again, while a single pause (a garbage collection, say) is over.
     */
    private static final double HALF_LIFE_NANOS = 1e9;

    private final LongSupplier nanoTime;

    /** When the earliest timer that has not run yet is due, as far as is known. */
    private long earliestDueNanos = Long.MAX_VALUE;

    private long maxLagNanos;
    private long maxLagAtNanos;

    /** With the monotonic clock. */
    EventLoopLag(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
    }

    /** A timer is scheduled; returns when it is due. */
    long timerScheduled(long delayNanos) {
        long dueNanos = nanoTime.getAsLong() + delayNanos;
        earliestDueNanos = Math.min(earliestDueNanos, dueNanos);
        return dueNanos;
    }

    /** A timer runs that was due then. */
    void timerExpired(long dueNanos) {
        long nowNanos = nanoTime.getAsLong();
        if (dueNanos == earliestDueNanos) {
            earliestDueNanos = Long.MAX_VALUE;
        }
        if (nowNanos - dueNanos >= decayedLagNanos(nowNanos)) {
            maxLagNanos = nowNanos - dueNanos;
            maxLagAtNanos = nowNanos;
        }
    }

    /** How late what is read now, or due later, may be. */
    long lagNanos() {
        long nowNanos = nanoTime.getAsLong();
        return Math.max(
                earliestDueNanos < nowNanos ? nowNanos - earliestDueNanos : 0,
                decayedLagNanos(nowNanos));
    }

    private long decayedLagNanos(long nowNanos) {
        return maxLagNanos == 0
                ? 0
                : (long)
                        (maxLagNanos * Math.pow(0.5, (nowNanos - maxLagAtNanos) / HALF_LIFE_NANOS));
    }
}
