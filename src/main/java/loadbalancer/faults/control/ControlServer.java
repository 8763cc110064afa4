package loadbalancer.faults.control;

import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.SubscribeRequest;

/** A control machine as its subscribers see it. */
interface ControlServer {
    VirtualHost host();

    /** A request to subscribe has come over that connection. */
    void subscribe(VirtualSubscription subscription, SubscribeRequest request);

    /** The other side of a connection has ended it, or it is lost. */
    void ended(VirtualSubscription subscription);

    /** An acknowledgement has come. */
    void acknowledge(Acknowledgement acknowledgement);
}
