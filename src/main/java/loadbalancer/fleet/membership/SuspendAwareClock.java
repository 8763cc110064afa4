package loadbalancer.fleet.membership;

/**
 * A monotonic clock that leaves out time in which this process was suspended. After a suspension
 * all timeouts would have expired although the replies lie unread in the socket; so the time that
 * passed unseen is skipped, and the clock stands still for a grace period in which they can be
 * read. Adjusted times are of this clock, {@code now} is of the clock outside; both are
 * microseconds. For the thread of {@link Swim}.
 */
final class SuspendAwareClock {
    private final long toleranceMicros;
    private final long graceMicros;
    private long skippedMicros;
    private long lastAdjustedMicros;
    private long expectedCallMicros = Long.MAX_VALUE;

    /** A call that is later than expected by more than the tolerance means a suspension. */
    SuspendAwareClock(long nowMicros, long toleranceMicros, long graceMicros) {
        this.toleranceMicros = toleranceMicros;
        this.graceMicros = graceMicros;
        this.lastAdjustedMicros = nowMicros;
    }

    /** How much later than expected a call comes, 0 if it isn't late. */
    long latenessMicros(long nowMicros) {
        return expectedCallMicros == Long.MAX_VALUE
                ? 0
                : Math.max(0, nowMicros - expectedCallMicros);
    }

    /** Skips a suspension; returns whether there was one. */
    boolean skipSuspension(long nowMicros) {
        if (latenessMicros(nowMicros) <= toleranceMicros) {
            return false;
        }
        skippedMicros = nowMicros + graceMicros - lastAdjustedMicros;
        return true;
    }

    /** The adjusted time; never goes back. */
    long adjust(long nowMicros) {
        lastAdjustedMicros = Math.max(lastAdjustedMicros, nowMicros - skippedMicros);
        return lastAdjustedMicros;
    }

    /**
     * Announces the adjusted time of the next call and returns it as a time of the outer clock.
     * What a packet has made due just now is not late yet; an earlier announcement that was missed
     * still is.
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
