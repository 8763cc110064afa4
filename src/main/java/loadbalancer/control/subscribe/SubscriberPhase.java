package loadbalancer.control.subscribe;

/** The phases of a subscriber. */
public enum SubscriberPhase {
    /** Waits for its next attempt to connect. */
    DISCONNECTED,
    /** Has opened a subscription and received nothing on it yet. */
    CONNECTING,
    /** Collects the parts of updates. */
    FOLLOWING,
    /** Checks a complete update, of which nothing is in force. */
    CHECKING,
    /** Puts a checked update in force; nobody reads the state. */
    APPLYING
}
