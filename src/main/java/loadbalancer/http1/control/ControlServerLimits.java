package loadbalancer.http1.control;

/**
 * Limits of a control server.
 *
 * @param maxConnections limit of open connections; further ones wait in the accept queue
 * @param maxOpenChanges limit of changes that are being received or handled
 * @param requestMillis timeout of waiting for a request, and of receiving its body
 * @param unwritableMillis time after which a subscriber that does not read is disconnected
 */
public record ControlServerLimits(
        int maxConnections, int maxOpenChanges, long requestMillis, long unwritableMillis) {
    private static final int CONNECTIONS_PER_SUBSCRIBER = 2;

    /** For operators, other control servers, and connections that are being closed. */
    private static final int OTHER_CONNECTIONS = 400;

    private static final int OPEN_CHANGES = 16;
    private static final long REQUEST_MILLIS = 30_000;
    private static final long UNWRITABLE_MILLIS = 20_000;

    /** Returns the limits for a number of concurrent subscribers. */
    public static ControlServerLimits forSubscribers(int subscribers) {
        return new ControlServerLimits(
                subscribers * CONNECTIONS_PER_SUBSCRIBER + OTHER_CONNECTIONS,
                OPEN_CHANGES,
                REQUEST_MILLIS,
                UNWRITABLE_MILLIS);
    }

    /**
     * Checks the limits.
     *
     * @throws IllegalArgumentException if a limit is below 1
     */
    public ControlServerLimits {
        if (maxConnections < 1 || maxOpenChanges < 1 || requestMillis < 1 || unwritableMillis < 1) {
            throw new IllegalArgumentException(
                    "a limit of the control server is below the minimum of 1");
        }
    }
}
