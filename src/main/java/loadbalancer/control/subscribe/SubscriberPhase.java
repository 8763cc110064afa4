package loadbalancer.control.subscribe;

/** What a subscriber does. */
public enum SubscriberPhase {
    /** Waits for the time of its next attempt to connect. */
    DISCONNECTED,
    /** Has opened a subscription and has heard nothing of it yet. */
    CONNECTING,
    /** Collects the parts of updates. */
    FOLLOWING,
    /** Checks a complete update, of which nothing is in force. */
    CHECKING,
    /** Puts a checked update in force; nobody reads the state. */
    APPLYING
}
