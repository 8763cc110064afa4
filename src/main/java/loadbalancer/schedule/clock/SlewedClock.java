package loadbalancer.schedule.clock;

/**
 * A clock that follows the monotonic clock from its last correction on. Small corrections are
 * slewed; a clock that is further ahead is stopped until the correction is complete. Not
 * thread-safe; all times are microseconds.
 */
final class SlewedClock {
    /** Slewing changes the speed by 1/20, which corrects 50 ms each second. */
    private static final long SLEW_DIVISOR = 20;

    private long baseTimeMicros;
    private long baseMonotonicMicros;

    /** The correction that was still to be made at the base time. */
    private long pendingMicros;

    /** Whether the clock is stopped to make a negative correction. */
    private boolean isHolding;

    /** Sets the time immediately. */
    void step(long nowMicros, long timeMicros) {
        baseTimeMicros = timeMicros;
        baseMonotonicMicros = nowMicros;
        pendingMicros = 0;
        isHolding = false;
    }

    /** Corrects the time gradually; a negative correction stops the clock if {@code holds}. */
    void slew(long nowMicros, long correctionMicros, boolean holds) {
        baseTimeMicros = timeAt(nowMicros);
        baseMonotonicMicros = nowMicros;
        pendingMicros = correctionMicros;
        isHolding = holds;
    }

    /** Returns the time at {@code nowMicros} of the monotonic clock. */
    long timeAt(long nowMicros) {
        long elapsed = Math.max(0, nowMicros - baseMonotonicMicros);
        long corrected =
                pendingMicros >= 0
                        ? Math.min(pendingMicros, elapsed / SLEW_DIVISOR)
                        : -Math.min(-pendingMicros, isHolding ? elapsed : elapsed / SLEW_DIVISOR);
        return baseTimeMicros + elapsed + corrected;
    }

    /**
     * Returns the first time of the monotonic clock at which this clock shows {@code timeMicros} or
     * later.
     */
    long monotonicAt(long timeMicros) {
        if (timeMicros <= baseTimeMicros) {
            return baseMonotonicMicros;
        }
        if (timeMicros > Long.MAX_VALUE / 4) {
            return Long.MAX_VALUE;
        }
        // The time never decreases, and deviates from the monotonic clock by at most pendingMicros.
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
