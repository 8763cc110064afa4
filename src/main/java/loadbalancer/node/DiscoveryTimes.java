package loadbalancer.node;

/**
 * How long calls to discovery may take, in milliseconds. A change that discovery has and can be
 * asked for counts as told 6 s later, whatever failed meanwhile. So, after a call of which nothing
 * was heard for a time {@code quiet}, be it a watch that fell silent, an answer that did not come
 * or a dial that failed:
 *
 * <pre>quiet + pause + DIAL + ANSWER + LATENESS <= TOLD, where quiet <= max(SILENCE, ANSWER, DIAL)
 * </pre>
 *
 * <p>{@link DiscoveryBackoff} draws its pauses within what this leaves, jitter included.
 */
final class DiscoveryTimes {
    /** The operators' term: a change counts as told so long after it could be asked for. */
    static final long TOLD_MS = 6_000;

    /** A watch says a line every 2 s; half a second is for a network and a loop that are late. */
    static final long SILENCE_MS = 2_500;

    /**
     * A call waits its turn there, and those that come in vain are failed by discovery after 2 to 3
     * s.
     */
    static final long ANSWER_MS = 2_750;

    /** Many round trips; a lost SYN is made up for by the next dial sooner than by the system. */
    static final int DIAL_MS = 300;

    /** What timers and loop may add to all of these together. */
    static final long LATENESS_MS = 100;

    /**
     * The shortest bound that a pause is drawn below: calls of many balancers must not go in step.
     */
    static final long LEAST_SPREAD_MS = 100;

    private DiscoveryTimes() {}

    /** The longest pause after a call of which nothing was heard for that long. */
    static long longestPause(long quiet) {
        return Math.max(LEAST_SPREAD_MS, TOLD_MS - LATENESS_MS - DIAL_MS - ANSWER_MS - quiet);
    }
}
