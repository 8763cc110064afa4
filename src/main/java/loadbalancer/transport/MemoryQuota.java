package loadbalancer.transport;

import java.util.ArrayList;
import java.util.List;

/**
 * Limits the memory that is held for peers, as the sum over all connections of an event loop.
 * Limits on single connections don't bound it, because there may be hundreds of connections.
 *
 * <p>Each holder has a {@link Reservation} and states how much memory it has. What can be left
 * unread in the kernel stops growing first: that is the case while the quota {@link
 * #isUnderPressure is under pressure}. Bodies of requests are refused next, and heads and responses
 * last, so that many large requests don't exclude small ones. Used on the event loop only, except
 * where a method says otherwise.
 */
public final class MemoryQuota {
    /**
     * Fraction of the heap that peers may use; the rest is for the policy, its settings and lists.
     */
    private static final double HEAP_RATIO = 0.25;

    /** Fraction of the limit at which pressure starts. */
    private static final double PRESSURE_START_RATIO = 0.5;

    /** Fraction of the limit below which pressure ends; lower than the start, to avoid flapping. */
    private static final double PRESSURE_END_RATIO = 0.375;

    /** What memory is held for, which decides how much of the limit it may use. */
    public enum Purpose {
        /** Bodies of requests that are buffered for attempts. */
        REQUEST_BODY(0.75),
        /** Heads of messages, received in part or whole. */
        HEAD(1),
        /** Responses: buffered, or written and not yet taken by the kernel. */
        RESPONSE(1),
        /** Bytes that are read ahead, or forwarded and not yet taken by the kernel. */
        IN_TRANSIT(1);

        private final double limitRatio;

        Purpose(double limitRatio) {
            this.limitRatio = limitRatio;
        }
    }

    private final long limitBytes;
    private final List<Runnable> pressureListeners = new ArrayList<>(1);

    /** Written on the event loop only. */
    private volatile long reservedBytes;

    /** Written on the event loop only. */
    private volatile long refusals;

    private boolean underPressure;

    /**
     * Creates a quota.
     *
     * @param limitBytes the limit, in bytes
     * @throws IllegalArgumentException if the limit is not positive
     */
    public MemoryQuota(long limitBytes) {
        if (limitBytes <= 0) {
            throw new IllegalArgumentException("limitBytes: " + limitBytes + " (expected: > 0)");
        }
        this.limitBytes = limitBytes;
    }

    /** Creates a quota of a fixed fraction of the maximum heap of this process. */
    public static MemoryQuota ofHeap() {
        return new MemoryQuota(limitOfHeap(Runtime.getRuntime().maxMemory()));
    }

    /** Returns the part of a heap that peers may use, in bytes. */
    public static long limitOfHeap(long maxHeapBytes) {
        return (long) (maxHeapBytes * HEAP_RATIO);
    }

    /** Creates a quota that is never exhausted. */
    public static MemoryQuota unlimited() {
        return new MemoryQuota(Long.MAX_VALUE);
    }

    /** Creates an empty reservation. */
    public Reservation newReservation(Purpose purpose) {
        return new Reservation(purpose);
    }

    /**
     * Returns whether so much memory is held that nothing should be read that can stay in the
     * kernel.
     */
    public boolean isUnderPressure() {
        return underPressure;
    }

    /** Returns whether more is held than the limit, so that nothing new should be accepted. */
    public boolean isExhausted() {
        return reservedBytes >= limitBytes;
    }

    /** Counts a request that was refused for want of memory. */
    public void countRefusal() {
        refusals = refusals + 1;
    }

    /**
     * Adds a listener that runs when pressure starts and when it ends. It may run within any change
     * of a reservation.
     */
    public void onPressureChange(Runnable listener) {
        pressureListeners.add(listener);
    }

    /** Returns the limit, in bytes. Callable from any thread. */
    public long limitBytes() {
        return limitBytes;
    }

    /** Returns the sum of all reservations, in bytes. Callable from any thread. */
    public long reservedBytes() {
        return reservedBytes;
    }

    /** Returns how many requests were refused for want of memory. Callable from any thread. */
    public long refusals() {
        return refusals;
    }

    private void add(long bytes) {
        long reserved = reservedBytes + bytes;
        reservedBytes = reserved;
        double ratio = underPressure ? PRESSURE_END_RATIO : PRESSURE_START_RATIO;
        boolean isAbove = reserved >= ratio * limitBytes;
        if (isAbove != underPressure) {
            underPressure = isAbove;
            pressureListeners.forEach(Runnable::run);
        }
    }

    /** The memory of one holder. Its owner closes it when the memory is no longer held. */
    public final class Reservation implements AutoCloseable {
        private final Purpose purpose;
        private long bytes;

        private Reservation(Purpose purpose) {
            this.purpose = purpose;
        }

        /**
         * Grows to a size in bytes if the quota has room for it.
         *
         * @return false, without effect, if it has not
         */
        public boolean tryGrowTo(long totalBytes) {
            long growth = totalBytes - bytes;
            if (growth > 0 && reservedBytes + growth > purpose.limitRatio * limitBytes) {
                return false;
            }
            resizeTo(Math.max(bytes, totalBytes));
            return true;
        }

        /** Sets the size in bytes, for memory that is held already; the limit is not checked. */
        public void resizeTo(long totalBytes) {
            if (totalBytes != bytes) {
                long growth = totalBytes - bytes;
                bytes = totalBytes;
                add(growth);
            }
        }

        /** Returns the size in bytes. */
        public long bytes() {
            return bytes;
        }

        /** Returns all of it; it may grow again afterwards. */
        @Override
        public void close() {
            resizeTo(0);
        }
    }
}
