package loadbalancer.logging;

import java.util.concurrent.TimeUnit;

/**
 * Decides which occurrences of a repeated event are logged: the first one, and the first one after
 * a quiet period of one minute. Not thread-safe; for the thread on which the event occurs. The
 * caller provides the time of a monotonic clock.
 */
public final class QuietPeriodLogFilter {
    private static final long QUIET_PERIOD_NANOS = TimeUnit.MINUTES.toNanos(1);

    private boolean hasOccurred;
    private long lastOccurrenceNanos;

    /** Records an occurrence at a time in nanoseconds and returns whether to log it. */
    public boolean shouldLog(long nowNanos) {
        boolean isFirst = !hasOccurred || nowNanos - lastOccurrenceNanos > QUIET_PERIOD_NANOS;
        hasOccurred = true;
        lastOccurrenceNanos = nowNanos;
        return isFirst;
    }
}
