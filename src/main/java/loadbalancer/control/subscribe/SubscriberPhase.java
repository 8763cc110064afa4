package loadbalancer.control.subscribe;

/** The phases of a {@link Subscriber}. */
public enum SubscriberPhase {
    /** The subscriber waits for the next attempt to connect. */
    DISCONNECTED,
    /** The subscriber has opened a subscription and has not received anything on it yet. */
    CONNECTING,
    /** The subscriber collects the parts of updates. */
    FOLLOWING,
    /** The subscriber checks a complete update, no part of which is in force. */
    CHECKING,
    /** The subscriber puts a checked update in force; the state must not be read. */
    APPLYING
}
