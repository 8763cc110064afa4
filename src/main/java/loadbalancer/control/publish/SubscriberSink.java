package loadbalancer.control.publish;

/** The connection to one subscriber, as the publisher sees it. */
public interface SubscriberSink {
    /** Whether it takes more now; a slow subscriber is passed over until it does. */
    boolean isWritable();

    /** Sends one line, given without its line end. */
    void send(byte[] line);

    /** Sends the empty line that says that nothing has changed. */
    void heartbeat();

    /** Ends the subscription; the reason is for the log. Nothing more is sent. */
    void close(String reason);
}
