package yewyoke.http1.control;

/**
 * What a control server may hold.
 *
 * @param maxConnections at one time; with all taken, callers wait to be accepted
 * @param maxOpenChanges changes that are being received or handled at one time
 * @param requestMillis the whole request has to come within this, from the connection or the answer before
 * @param unwritableMillis a subscriber that reads nothing for so long is disconnected
 */
public record ControlServerLimits(int maxConnections, int maxOpenChanges, long requestMillis,
        long unwritableMillis) {
    /** For a third of 860 subscribers with two connections each, and as many again while a machine is away. */
    public static final ControlServerLimits DEFAULT = new ControlServerLimits(2_400, 16, 30_000, 20_000);

    /** Rejects limits under which nothing could be served. */
    public ControlServerLimits {
        if (maxConnections < 1 || maxOpenChanges < 1 || requestMillis < 1 || unwritableMillis < 1) {
            throw new IllegalArgumentException("a limit of the control server is not above 0");
        }
    }
}
