package loadbalancer.schedule.clock;

/**
 * A time that runs by the monotonic clock from the last correction. Small corrections are slewed;
 * while the time is ahead by more, it stands still. Not thread-safe; all times are microseconds.
 */
final class SlewedClock {
    /** Slewing changes the speed by one part in so many: 50 ms each second. */
    private static final long SLEW_DIVISOR = 20;

    private long baseTimeMicros;
    private long baseMonotonicMicros;

    /** What is still to be corrected, from the base on. */
    private long pendingMicros;

    /** Whether a negative correction is made by standing still. */
    private boolean isHolding;

    /** Sets the time at once. */
    void step(long nowMicros, long timeMicros) {
        baseTimeMicros = timeMicros;
        baseMonotonicMicros = nowMicros;
        pendingMicros = 0;
        isHolding = false;
    }

    /** Corrects the time step by step; backwards by standing still if {@code holds}. */
    void slew(long nowMicros, long correctionMicros, boolean holds) {
        baseTimeMicros = timeAt(nowMicros);
        baseMonotonicMicros = nowMicros;
        pendingMicros = correctionMicros;
        isHolding = holds;
    }

    /** The time at an instant of the monotonic clock. */
    long timeAt(long nowMicros) {
        long elapsed = Math.max(0, nowMicros - baseMonotonicMicros);
        long corrected =
                pendingMicros >= 0
                        ? Math.min(pendingMicros, elapsed / SLEW_DIVISOR)
                        : -Math.min(-pendingMicros, isHolding ? elapsed : elapsed / SLEW_DIVISOR);
        return baseTimeMicros + elapsed + corrected;
    }

    /**
     * The first instant of the monotonic clock at which the time is {@code timeMicros} or later.
     */
    long monotonicAt(long timeMicros) {
        if (timeMicros <= baseTimeMicros) {
            return baseMonotonicMicros;
        }
        if (timeMicros > Long.MAX_VALUE / 4) {
            return Long.MAX_VALUE;
        }
        // The time never falls, and differs from the monotonic clock by what is pending at most.
        long low = baseMonotonicMicros;
        long high =
                baseMonotonicMicros + (timeMicros - baseTimeMicros) + Math.abs(pendingMicros) + 1;
        while (low < high) {
            long middle = low + (high - low) / 2;
            if (timeAt(middle) >= timeMicros) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return low;
    }
}
