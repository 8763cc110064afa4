package loadbalancer.fleet.membership;

/**
 * A monotonic clock that excludes time in which this process was suspended. After a suspension all
 * timeouts would have expired although the replies are unread in the socket. Therefore the
 * suspension is skipped, and the clock stops for a grace period in which the replies can be read.
 * Adjusted times are readings of this clock, {@code now} is a reading of the underlying clock; both
 * are microseconds. For the thread of {@link Swim}.
 */
final class SuspendAwareClock {
    private final long toleranceMicros;
    private final long graceMicros;
    private long skippedMicros;
    private long lastAdjustedMicros;
    private long expectedCallMicros = Long.MAX_VALUE;

    /**
     * Starts the clock.
     *
     * @param toleranceMicros lateness of a call above which a suspension is assumed
     * @param graceMicros how long the clock stops after a suspension
     */
    SuspendAwareClock(long nowMicros, long toleranceMicros, long graceMicros) {
        this.toleranceMicros = toleranceMicros;
        this.graceMicros = graceMicros;
        this.lastAdjustedMicros = nowMicros;
    }

    /** Returns how much later than expected a call at that time is; 0 if it isn't late. */
    long latenessMicros(long nowMicros) {
        return expectedCallMicros == Long.MAX_VALUE
                ? 0
                : Math.max(0, nowMicros - expectedCallMicros);
    }

    /** Skips a suspension if the current call is late; returns whether it was. */
    boolean skipSuspension(long nowMicros) {
        if (latenessMicros(nowMicros) <= toleranceMicros) {
            return false;
        }
        skippedMicros = nowMicros + graceMicros - lastAdjustedMicros;
        return true;
    }

    /** Returns the adjusted time, which never decreases. */
    long adjust(long nowMicros) {
        lastAdjustedMicros = Math.max(lastAdjustedMicros, nowMicros - skippedMicros);
        return lastAdjustedMicros;
    }

    /**
     * Sets the adjusted time of the next expected call; returns it as a time of the underlying
     * clock. A time in the past counts as the current time, since a packet may make something due
     * at once, unless an earlier call is still expected.
     */
    long expectCall(long adjustedMicros) {
        if (adjustedMicros < lastAdjustedMicros) {
            expectedCallMicros = Math.min(expectedCallMicros, lastAdjustedMicros + skippedMicros);
        } else if (adjustedMicros == Long.MAX_VALUE) {
            expectedCallMicros = Long.MAX_VALUE;
        } else {
            expectedCallMicros = adjustedMicros + skippedMicros;
        }
        return expectedCallMicros;
    }
}
