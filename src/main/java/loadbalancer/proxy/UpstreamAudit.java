package loadbalancer.proxy;

/** What the run-time check knows of one upstream. Times are microseconds of the monotonic clock. */
final class UpstreamAudit {
    static final long NEVER = Long.MIN_VALUE;

    String zone;
    int cell;

    /** The time of start that tells its process from others. */
    long startedMs;

    /** When it was told of as draining or gone; {@link #NEVER} while it is ready. */
    long closedAt = NEVER;

    /**
     * When its process was first heard of as news; {@link #NEVER} if it was there from the
     * beginning.
     */
    long newsAt = NEVER;

    private long window;
    private int sent;

    /**
     * One more attempt in the window of that number; returns how many there are in it with this.
     */
    int sent(long number) {
        if (number != window) {
            window = number;
            sent = 0;
        }
        return ++sent;
    }
}
