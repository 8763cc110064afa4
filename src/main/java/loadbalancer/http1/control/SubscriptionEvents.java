package loadbalancer.http1.control;

/** What comes of an open subscription; all of it is told on the loop. */
public interface SubscriptionEvents {
    /** One line, without its line end. */
    void line(byte[] line);

    /** An empty line: nothing has changed. */
    void heartbeat();

    /**
     * The subscription has ended, or never began; nothing more is told of it.
     *
     * @param retryAfterMillis when the server wants to be asked again; 0 if it did not say
     * @param reason one line for the log
     */
    void ended(long retryAfterMillis, String reason);
}
