package loadbalancer.http1.control;

import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.SubscribeRequest;
import loadbalancer.control.publish.Admission;
import loadbalancer.control.publish.SubscriberSink;
import loadbalancer.control.publish.Subscription;

/** Admits and serves subscribers. Called on the event loop. */
public interface SubscriptionHandler {
    /** Admits a subscriber or defers it; sends nothing to the sink during this call. */
    Admission subscribe(SubscribeRequest request, SubscriberSink sink);

    /** Ends a subscription whose connection has been closed. */
    void unsubscribe(Subscription subscription);

    /** Handles that the connection of some subscriber has become writable. */
    void becameWritable();

    /** Handles the acknowledgement or rejection of an update by a subscriber. */
    void acknowledge(Acknowledgement acknowledgement);
}
