package loadbalancer.http1.control;

import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.SubscribeRequest;
import loadbalancer.control.publish.Admission;
import loadbalancer.control.publish.SubscriberSink;
import loadbalancer.control.publish.Subscription;

/** Admits and serves subscribers; called on the loop. */
public interface SubscriptionHandler {
    /** Admits a subscriber or defers it; nothing is sent to the sink from within this call. */
    Admission subscribe(SubscribeRequest request, SubscriberSink sink);

    /** The connection of a subscription has been closed. */
    void unsubscribe(Subscription subscription);

    /** The connection of a subscriber has become writable. */
    void becameWritable();

    /** A subscriber acknowledges an update or rejects it. */
    void acknowledge(Acknowledgement acknowledgement);
}
