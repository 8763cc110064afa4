package loadbalancer.control.subscribe;

/** Thrown when the open subscription can't continue; the message is the reason in one line. */
class SubscriptionException extends Exception {
    private static final long serialVersionUID = 1L;

    SubscriptionException(String message) {
        super(message);
    }
}
