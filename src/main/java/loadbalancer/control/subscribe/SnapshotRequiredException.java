package loadbalancer.control.subscribe;

/**
 * The state in force differs from what the server's updates build on: the next subscription has to
 * start from a snapshot.
 */
final class SnapshotRequiredException extends SubscriptionException {
    private static final long serialVersionUID = 1L;

    SnapshotRequiredException(String message) {
        super(message);
    }
}
