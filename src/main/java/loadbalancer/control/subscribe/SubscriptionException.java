package loadbalancer.control.subscribe;

/** The open subscription can't be used any further; the message is one line that says why. */
class SubscriptionException extends Exception {
    private static final long serialVersionUID = 1L;

    SubscriptionException(String message) {
        super(message);
    }
}
