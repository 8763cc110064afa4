package loadbalancer.control.subscribe;

import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.SubscribeRequest;

/** The connections of one subscriber to the control machines. */
public interface SubscriptionTransport {
    /**
     * Opens a subscription at a server, in place of any that is open. Its lines and its end are
     * told to the {@link Subscriber} later, never from within this call.
     *
     * @param server place in the list of servers that the subscriber was made with
     */
    void open(int server, SubscribeRequest request);

    /**
     * Asks the open subscription to stop reading, or to go on. Lines that were read already may
     * still be told. A newly opened subscription reads.
     */
    void pauseReading(boolean paused);

    /** Ends the open subscription, if there is one; nothing of it is told any more. */
    void close();

    /**
     * Tells a server what is in force; lost if the server can't be reached, and then told again
     * later.
     */
    void acknowledge(int server, Acknowledgement acknowledgement);
}
