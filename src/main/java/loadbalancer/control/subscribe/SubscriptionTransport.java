package loadbalancer.control.subscribe;

import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.SubscribeRequest;

/** The connections of one subscriber to the control machines. */
public interface SubscriptionTransport {
    /**
     * Opens a subscription at a server, in place of any that is open. Its lines and its end are
     * passed to the {@link Subscriber} later, never from within this call.
     *
     * @param server index in the list of servers that the subscriber was made with
     */
    void open(int server, SubscribeRequest request);

    /**
     * Pauses or resumes reading from the open subscription. Lines that were read already may still
     * be passed on. A newly opened subscription reads.
     */
    void pauseReading(boolean paused);

    /** Ends the open subscription, if there is one; no event of it follows. */
    void close();

    /**
     * Sends an acknowledgement to a server; lost if the server can't be reached, and sent again
     * with the next subscription.
     */
    void acknowledge(int server, Acknowledgement acknowledgement);
}
