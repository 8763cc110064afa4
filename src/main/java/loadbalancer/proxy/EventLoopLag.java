package loadbalancer.proxy;

import java.util.function.LongSupplier;

/**
 * How far the event loop is behind, told by its timers: one that runs late by so much says that
 * what is read now may have waited for as long, and that what is to be answered later will be as
 * late. Nanoseconds.
 */
final class EventLoopLag {
    /**
     * The longest delay seen counts for half after that time: a loop short of processor time falls
     * behind again and again, while one pause (a collection, say) is over.
     */
    private static final double HALF_LIFE = 1e9;

    private final LongSupplier nanoTime;

    /** The timer that is due first of those not run yet, as far as is known. */
    private long firstDue = Long.MAX_VALUE;

    private long worst;
    private long worstAt;

    /** By a clock that only advances. */
    EventLoopLag(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
    }

    /** A timer is set; gives when it is due. */
    long set(long delay) {
        long due = nanoTime.getAsLong() + delay;
        firstDue = Math.min(firstDue, due);
        return due;
    }

    /** A timer runs that was due then. */
    void ran(long due) {
        long now = nanoTime.getAsLong();
        if (due == firstDue) {
            firstDue = Long.MAX_VALUE;
        }
        if (now - due >= faded(now)) {
            worst = now - due;
            worstAt = now;
        }
    }

    /** How late something may be that is read now, or that is timed for later. */
    long behind() {
        long now = nanoTime.getAsLong();
        return Math.max(firstDue < now ? now - firstDue : 0, faded(now));
    }

    private long faded(long now) {
        return worst == 0 ? 0 : (long) (worst * Math.pow(0.5, (now - worstAt) / HALF_LIFE));
    }
}
