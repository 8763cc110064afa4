package loadbalancer.node;

/**
 * Time limits of calls to discovery, in milliseconds. A balancer must learn of a change within 6 s
 * of the time from which discovery has it and is reachable, whichever calls failed before.
 * Therefore, after a call that received nothing for a time {@code quiet} (a silent watch, a missing
 * response or a failed connect):
 *
 * <pre>quiet + pause + CONNECT + RESPONSE + LAG <= NOTIFICATION,
 *     where quiet <= max(SILENCE, RESPONSE, CONNECT)</pre>
 *
 * <p>The pauses of {@link DiscoveryBackoff}, jitter included, keep to this limit.
 */
final class DiscoveryTimes {
    /** Time within which a balancer must learn of a change that discovery can report. */
    static final long NOTIFICATION_MILLIS = 6_000;

    /** A watch sends a line every 2 s; another 0.5 s covers a slow network and a late loop. */
    static final long SILENCE_MILLIS = 2_500;

    /** Discovery queues calls, and rejects those that it can't serve after 2 to 3 s. */
    static final long RESPONSE_MILLIS = 2_750;

    /**
     * Covers many round trips, yet is shorter than the kernel's retransmission of a lost SYN, so
     * that a new connect comes first.
     */
    static final int CONNECT_MILLIS = 300;

    /** Allowance for late timers and a late event loop, over all of these times together. */
    static final long LAG_MILLIS = 100;

    /**
     * Smallest allowed value of the maximum pause, so that the calls of several balancers remain
     * spread.
     */
    static final long MIN_SPREAD_MILLIS = 100;

    private DiscoveryTimes() {}

    /** Returns the maximum pause after a call that received nothing for {@code quietMillis}. */
    static long maxPauseMillis(long quietMillis) {
        return Math.max(
                MIN_SPREAD_MILLIS,
                NOTIFICATION_MILLIS - LAG_MILLIS - CONNECT_MILLIS - RESPONSE_MILLIS - quietMillis);
    }
}
