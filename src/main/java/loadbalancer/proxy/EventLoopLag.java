package loadbalancer.proxy;

import java.util.function.LongSupplier;

/**
 * Estimates how late the event loop runs from the lateness of its timers. Data that is read now may
 * have waited unread for that time, and a timer that is due later may run that late. Used on the
 * event loop only.
 */
final class EventLoopLag {
    /**
     * Half-life of the longest observed lag. A loop that is short of processor time is late
     * repeatedly, which keeps the value up; after a single pause, such as a garbage collection, the
     * value decays.
     */
    private static final double HALF_LIFE_NANOS = 1e9;

    private final LongSupplier nanoTime;

    /**
     * Due time of the earliest pending timer. It is unknown, and set to the maximum, from the run
     * of that timer until another is scheduled.
     */
    private long earliestDueNanos = Long.MAX_VALUE;

    private long maxLagNanos;
    private long maxLagAtNanos;

    /**
     * Creates an estimate of no lag.
     *
     * @param nanoTime the monotonic clock
     */
    EventLoopLag(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
    }

    /** Records that a timer is scheduled, and returns its due time. */
    long timerScheduled(long delayNanos) {
        long dueNanos = nanoTime.getAsLong() + delayNanos;
        earliestDueNanos = Math.min(earliestDueNanos, dueNanos);
        return dueNanos;
    }

    /** Records that the timer with this due time runs now. */
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

    /** Returns how long data that is read now may have waited, and how late a timer may run. */
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
