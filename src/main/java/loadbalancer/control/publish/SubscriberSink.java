package loadbalancer.control.publish;

/** The publisher's connection to one subscriber. Called on the publisher's thread only. */
public interface SubscriberSink {
    /** Returns whether more may be sent now; a subscriber is skipped while this is false. */
    boolean isWritable();

    /** Sends one line, given without its line terminator. */
    void send(byte[] line);

    /** Sends an empty line as a heartbeat. */
    void heartbeat();

    /** Closes the connection; nothing more is sent. The reason is for the log. */
    void close(String reason);
}
