package loadbalancer.http1.control;

/** Receives the events of open subscriptions on the event loop. */
public interface SubscriptionEvents {
    /** Handles a received line, which is passed without its line end. */
    void line(byte[] line);

    /** Handles an empty line, which the server sends while nothing changes. */
    void heartbeat();

    /**
     * Handles the end of a subscription, or the failure to open it; no event of it follows.
     *
     * @param retryAfterMillis the delay that the server asked for; 0 if it gave none
     * @param reason one line for the log
     */
    void ended(long retryAfterMillis, String reason);
}
