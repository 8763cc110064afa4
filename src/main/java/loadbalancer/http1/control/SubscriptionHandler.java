package loadbalancer.http1.control;

import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.SubscribeRequest;
import loadbalancer.control.publish.Admission;
import loadbalancer.control.publish.SubscriberSink;
import loadbalancer.control.publish.Subscription;

/** Whoever admits and serves subscribers; called on the loop. */
public interface SubscriptionHandler {
    /** Admits a subscriber or defers it; nothing is sent to the sink from within this call. */
    Admission subscribe(SubscribeRequest request, SubscriberSink sink);

    /** The subscriber has left. */
    void unsubscribe(Subscription subscription);

    /** A subscriber's connection takes more again. */
    void becameWritable();

    /** A subscriber says what is in force there. */
    void acknowledge(Acknowledgement acknowledgement);
}
