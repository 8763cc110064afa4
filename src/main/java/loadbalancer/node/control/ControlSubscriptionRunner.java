package loadbalancer.node.control;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
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
 * <p>Of the two processes of a balancer one subscribes. The other one follows by {@link
 * SharedControlState}, before its subscription as well as after it. A process that gets no endpoint
 * list from the other one subscribes until it has one, which ends the subscription of the other for
 * that time: without a list it would never become ready, and the other one waits for that.
 */
final class ControlSubscriptionRunner implements SubscriptionEvents {
    /** Time in which a process beside another gets the state in force from it. */
    private static final long SHARED_STATE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final System.Logger LOG =
            System.getLogger(ControlSubscriptionRunner.class.getName());

    private final Transport transport;
    private final BooleanSupplier isMissingList;
    private final long createdAtNanos;
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
     * @param isMissingList returns whether the endpoint list is to come from control servers and
     *     there is none yet
     */
    ControlSubscriptionRunner(
            Transport transport,
            Function<ResourceState, Subscriber> subscribers,
            ResourceState restored,
            SubscriptionObserver observer,
            ControlEndpointListSource list,
            BooleanSupplier isMissingList) {
        this.transport = transport;
        this.createdAtNanos = transport.nanoTime();
        this.isMissingList = isMissingList;
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
        boolean isNeeded = leads || hasMissedSharedState();
        if (isNeeded && runner == null) {
            subscribe();
        } else if (!isNeeded && runner != null) {
            unsubscribe();
        }
    }

    private boolean hasMissedSharedState() {
        return isMissingList.getAsBoolean()
                && transport.nanoTime() - createdAtNanos >= SHARED_STATE_TIMEOUT_NANOS;
    }

    private void subscribe() {
        subscriber = subscribers.apply(stateInForce);
        runner = new SubscriberRunner(transport, subscriber);
        runner.start();
    }

    /**
     * Ends the subscription. If the subscriber fails while it stops, it may have applied a part of
     * an update: then the next subscription asks for everything.
     */
    private void unsubscribe() {
        SubscriberRunner ended = runner;
        runner = null;
        stateInForce = new ResourceState();
        try {
            ended.stop();
            stateInForce = subscriber.state();
        } catch (RuntimeException e) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "the control subscriber failed when its subscription ended; the next one"
                            + " starts without a state",
                    e);
        }
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
