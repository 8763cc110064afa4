package loadbalancer.node;

/**
 * Time limits of calls to discovery, in milliseconds. A balancer has to know of a change 6 s after
 * discovery has it and can be reached, whatever failed meanwhile. So, after a call that received
 * nothing for a time {@code quiet} (a silent watch, a missing response or a failed connect):
 *
 * <pre>quiet + pause + CONNECT + RESPONSE + LAG <= NOTIFICATION,
 *     where quiet <= max(SILENCE, RESPONSE, CONNECT)</pre>
 *
 * <p>{@link DiscoveryBackoff} draws its pauses within what this leaves, jitter included.
 */
final class DiscoveryTimes {
    /** How long after a change can be polled a balancer has to know of it. */
    static final long NOTIFICATION_MILLIS = 6_000;

    /** A watch sends a line every 2 s; half a second is for a slow network and a late loop. */
    static final long SILENCE_MILLIS = 2_500;

    /** Discovery queues calls, and fails those that it can't serve after 2 to 3 s. */
    static final long RESPONSE_MILLIS = 2_750;

    /** Many round trips; after a lost SYN another connect is faster than the kernel's retry. */
    static final int CONNECT_MILLIS = 300;

    /** What late timers and a late loop may add to all of these together. */
    static final long LAG_MILLIS = 100;

    /**
     * Lower bound of the range that a pause is drawn from, so that balancers do not call in step.
     */
    static final long MIN_SPREAD_MILLIS = 100;

    private DiscoveryTimes() {}

    /** The longest pause after a call that received nothing for that long. */
    static long maxPauseMillis(long quietMillis) {
        return Math.max(
                MIN_SPREAD_MILLIS,
                NOTIFICATION_MILLIS - LAG_MILLIS - CONNECT_MILLIS - RESPONSE_MILLIS - quietMillis);
    }
}
