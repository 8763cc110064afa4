package loadbalancer.logging;

import java.util.concurrent.TimeUnit;

/**
 * Decides which occurrences of a repeated event are logged: the first one, and the next one after a
 * quiet period of a minute. Confined to the thread on which the event occurs; its clock is the
 * caller's monotonic one, and it holds nothing to release.
 */
public final class QuietPeriodLogFilter {
    private static final long QUIET_PERIOD_NANOS = TimeUnit.MINUTES.toNanos(1);

    private boolean hasOccurred;
    private long lastOccurrenceNanos;

    /** Records an occurrence at a time in nanoseconds; whether it is to be logged. */
    public boolean shouldLog(long nowNanos) {
        boolean isFirst = !hasOccurred || nowNanos - lastOccurrenceNanos > QUIET_PERIOD_NANOS;
        hasOccurred = true;
        lastOccurrenceNanos = nowNanos;
        return isFirst;
    }
}
