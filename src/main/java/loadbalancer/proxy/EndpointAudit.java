package loadbalancer.proxy;

/**
 * Records one endpoint for {@link SendAudit}. Times are in microseconds of the monotonic clock
 * unless stated otherwise.
 */
final class EndpointAudit {
    static final long NEVER = Long.MIN_VALUE;

    String zone;
    int cell;

    /** Unix time at which its process started, which distinguishes processes with the same id. */
    long startedAtMillis;

    /** When it was first listed as draining or removed; {@link #NEVER} while it is ready. */
    long notReadySinceMicros = NEVER;

    /** When discovery reported its start; {@link #NEVER} if it was in the first list. */
    long startReportedAtMicros = NEVER;

    private long currentWindow;
    private int attemptsInWindow;

    /** Counts an attempt in a window, and returns the number of attempts in it so far. */
    int countAttempt(long windowNumber) {
        if (windowNumber != currentWindow) {
            currentWindow = windowNumber;
            attemptsInWindow = 0;
        }
        return ++attemptsInWindow;
    }
}
