package loadbalancer.node.control;

import loadbalancer.control.subscribe.Subscriber;
import loadbalancer.http1.control.SubscriberRunner;
import loadbalancer.http1.control.SubscriptionEvents;
import loadbalancer.transport.Transport;

/**
 * Runs a balancer's subscriber while its process leads, and forwards subscription events to the
 * subscriber, the observer and the endpoint list. Used on the balancer's event loop only.
 */
final class ControlSubscriptionRunner implements SubscriptionEvents {
    private final SubscriberRunner runner;
    private final SubscriptionObserver observer;
    private final ControlEndpointListSource list;
    private State state = State.WAITING;

    /**
     * States of the subscription. {@link #setLeading} advances through them in this order and never
     * goes back.
     */
    private enum State {
        WAITING,
        RUNNING,
        STOPPED
    }

    ControlSubscriptionRunner(
            Transport transport,
            Subscriber subscriber,
            SubscriptionObserver observer,
            ControlEndpointListSource list) {
        this.runner = new SubscriberRunner(transport, subscriber);
        this.observer = observer;
        this.list = list;
    }

    /** Subscribes once this process leads, and unsubscribes for good once it no longer leads. */
    void setLeading(boolean leads) {
        if (leads && state == State.WAITING) {
            state = State.RUNNING;
            runner.start();
        } else if (!leads && state == State.RUNNING) {
            state = State.STOPPED;
            runner.stop();
        }
    }

    @Override
    public void line(byte[] line) {
        onDataReceived();
        runner.line(line);
    }

    @Override
    public void heartbeat() {
        onDataReceived();
        list.confirm();
        runner.heartbeat();
    }

    @Override
    public void ended(long retryAfterMillis, String reason) {
        observer.onEnded(reason);
        runner.ended(retryAfterMillis, reason);
    }

    private void onDataReceived() {
        observer.onDataReceived();
        list.onDataReceived();
    }
}
