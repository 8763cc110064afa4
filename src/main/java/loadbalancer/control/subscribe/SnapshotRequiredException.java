package loadbalancer.control.subscribe;

/**
 * Thrown when the state in force differs from the state that the server's updates build on. The
 * next subscription has to start with a snapshot.
 */
final class SnapshotRequiredException extends SubscriptionException {
    private static final long serialVersionUID = 1L;

    SnapshotRequiredException(String message) {
        super(message);
    }
}
