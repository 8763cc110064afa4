package loadbalancer.control.subscribe;

/** The open subscription can't be used any further; the message is one line that says why. */
final class SubscriptionException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean needsSnapshot;

    /** A failure after which a new subscription goes on from what is held. */
    SubscriptionException(String message) {
        this(message, false);
    }

    private SubscriptionException(String message, boolean needsSnapshot) {
        super(message);
        this.needsSnapshot = needsSnapshot;
    }

    /** A failure that shows that what is held can't be built upon. */
    static SubscriptionException needingSnapshot(String message) {
        return new SubscriptionException(message, true);
    }

    /** Whether the next subscription has to start from a snapshot. */
    boolean needsSnapshot() {
        return needsSnapshot;
    }
}
