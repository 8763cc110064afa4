package loadbalancer.control.subscribe;

import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.SubscribeRequest;

/** The connections of one subscriber to the control servers. */
public interface SubscriptionTransport {
    /**
     * Opens a subscription to a server and closes the one that is open, if any. Its lines and its
     * end are passed to the {@link Subscriber} after this call has returned, never within it.
     *
     * @param server the index of the server, from 0
     */
    void open(int server, SubscribeRequest request);

    /**
     * Pauses or resumes reading from the open subscription. Lines that were already read may still
     * be passed to the subscriber. Reading from a newly opened subscription is not paused.
     */
    void pauseReading(boolean paused);

    /** Closes the open subscription, if there is one; it passes no further events. */
    void close();

    /**
     * Sends an acknowledgement to a server. It is lost if the server can't be reached; the
     * subscriber acknowledges again on its next subscription.
     */
    void acknowledge(int server, Acknowledgement acknowledgement);
}
