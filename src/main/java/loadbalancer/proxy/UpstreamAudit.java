package loadbalancer.proxy;

/** What the run-time check knows of one endpoint. Times are microseconds of the monotonic clock. */
final class UpstreamAudit {
    static final long NEVER = Long.MIN_VALUE;

    String zone;
    int cell;

    /** Start of its process, by which processes under one id are told apart; Unix time. */
    long startedAtMillis;

    /** When it was reported as draining or removed; {@link #NEVER} while it is ready. */
    long closedAtMicros = NEVER;

    /** When discovery reported its start; {@link #NEVER} if it was listed from the beginning. */
    long startReportedAtMicros = NEVER;

    private long window;
    private int sent;

    /** Counts an attempt in the window of that number, and returns their count in it. */
    int countAttempt(long windowNumber) {
        if (windowNumber != window) {
            window = windowNumber;
            sent = 0;
        }
        return ++sent;
    }
}
