package loadbalancer.http1.control;

/** Receives the events of open subscriptions, on the loop. */
public interface SubscriptionEvents {
    /** One line, without its line end. */
    void line(byte[] line);

    /** An empty line: nothing has changed. */
    void heartbeat();

    /**
     * The subscription has ended or could not be opened; no event of it follows.
     *
     * @param retryAfterMillis that the server asked for; 0 for none
     * @param reason one line for the log
     */
    void ended(long retryAfterMillis, String reason);
}
