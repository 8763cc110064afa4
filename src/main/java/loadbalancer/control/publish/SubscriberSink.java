package loadbalancer.control.publish;

/** The connection to one subscriber, as the publisher uses it; on its thread. */
public interface SubscriberSink {
    /** Whether more may be sent now; a slow subscriber is skipped until then. */
    boolean isWritable();

    /** Sends one line, given without its line end. */
    void send(byte[] line);

    /** Sends an empty line: nothing has changed. */
    void heartbeat();

    /** Ends the subscription; the reason is for the log. Nothing more is sent. */
    void close(String reason);
}
