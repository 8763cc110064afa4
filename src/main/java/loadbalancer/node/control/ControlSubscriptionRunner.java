package loadbalancer.node.control;

import java.util.Optional;
import java.util.function.Function;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.subscribe.Subscriber;
import loadbalancer.http1.control.SubscriberRunner;
import loadbalancer.http1.control.SubscriptionEvents;
import loadbalancer.transport.Transport;

/**
 * Runs a balancer's subscriber while its process leads, and forwards subscription events to the
 * subscriber, the observer and the endpoint list. Used on the balancer's event loop only.
 *
 * <p>At any time at most one of the two processes of a balancer subscribes. The other one follows
 * by {@link SharedControlState}, before its subscription as well as after it.
 */
final class ControlSubscriptionRunner implements SubscriptionEvents {
    private final Transport transport;
    private final Function<ResourceState, Subscriber> subscribers;
    private final SubscriptionObserver observer;
    private final ControlEndpointListSource list;

    /** State in force while there is no subscriber, which otherwise owns it. */
    private ResourceState stateInForce;

    /** Null until the first subscription. */
    private Subscriber subscriber;

    /** Null while nothing is subscribed. */
    private SubscriberRunner runner;

    /**
     * Creates a runner that subscribes to nothing yet.
     *
     * @param subscribers creates a subscriber that starts from a state, and owns it
     * @param restored the state in force at the start
     */
    ControlSubscriptionRunner(
            Transport transport,
            Function<ResourceState, Subscriber> subscribers,
            ResourceState restored,
            SubscriptionObserver observer,
            ControlEndpointListSource list) {
        this.transport = transport;
        this.subscribers = subscribers;
        this.stateInForce = restored;
        this.observer = observer;
        this.list = list;
    }

    /**
     * Subscribes while this process leads. A process that leads again, as its successor has ended,
     * subscribes from the state in force then.
     */
    void setLeading(boolean leads) {
        if (leads && runner == null) {
            subscribe();
        } else if (!leads && runner != null) {
            unsubscribe();
        }
    }

    private void subscribe() {
        subscriber = subscribers.apply(stateInForce);
        runner = new SubscriberRunner(transport, subscriber);
        runner.start();
    }

    private void unsubscribe() {
        runner.stop();
        stateInForce = subscriber.state();
        runner = null;
    }

    /** Returns the state in force; empty while an update is partly applied. */
    Optional<ResourceState> stateInForce() {
        if (runner == null) {
            return Optional.of(stateInForce);
        }
        return subscriber.isApplying() ? Optional.empty() : Optional.of(subscriber.state());
    }

    /** Replaces the state in force by a newer one; a subscriber restarts with that state. */
    void replaceState(ResourceState newer) {
        boolean isSubscribed = runner != null;
        if (isSubscribed) {
            unsubscribe();
        }
        stateInForce = newer;
        if (isSubscribed) {
            subscribe();
        }
    }

    @Override
    public void line(byte[] line) {
        if (runner != null) {
            onDataReceived();
            runner.line(line);
        }
    }

    @Override
    public void heartbeat() {
        if (runner != null) {
            onDataReceived();
            list.confirm();
            runner.heartbeat();
        }
    }

    @Override
    public void ended(long retryAfterMillis, String reason) {
        if (runner != null) {
            observer.onEnded(reason);
            runner.ended(retryAfterMillis, reason);
        }
    }

    private void onDataReceived() {
        observer.onDataReceived();
        list.onDataReceived();
    }
}
