package loadbalancer.http1.control;

/**
 * Bounds of a control server.
 *
 * @param maxConnections at one time; beyond that, connections wait to be accepted
 * @param maxOpenChanges changes that are being received or handled at one time
 * @param requestMillis timeout of receiving a request, from the accept or the response before
 * @param unwritableMillis after which a subscriber that reads nothing is disconnected
 */
public record ControlServerLimits(
        int maxConnections, int maxOpenChanges, long requestMillis, long unwritableMillis) {
    private static final int CONNECTIONS_OF_A_SUBSCRIBER = 2;

    /** For operators, other machines, and connections that are only just closed. */
    private static final int OTHER_CONNECTIONS = 400;

    private static final int OPEN_CHANGES = 16;
    private static final long REQUEST_MILLIS = 30_000;
    private static final long UNWRITABLE_MILLIS = 20_000;

    /** Limits for that many subscribers at one time. */
    public static ControlServerLimits forSubscribers(int subscribers) {
        return new ControlServerLimits(
                subscribers * CONNECTIONS_OF_A_SUBSCRIBER + OTHER_CONNECTIONS,
                OPEN_CHANGES,
                REQUEST_MILLIS,
                UNWRITABLE_MILLIS);
    }

    /** Rejects limits under which nothing could be served. */
    public ControlServerLimits {
        if (maxConnections < 1 || maxOpenChanges < 1 || requestMillis < 1 || unwritableMillis < 1) {
            throw new IllegalArgumentException("a limit of the control server is not above 0");
        }
    }
}
