package loadbalancer.node.control;

import loadbalancer.control.subscribe.Subscriber;
import loadbalancer.http1.control.SubscriberRunner;
import loadbalancer.http1.control.SubscriptionEvents;
import loadbalancer.transport.Transport;

/**
 * Runs a balancer's subscriber while the process leads, and passes subscription events to it, the
 * observer and the endpoint list. For the balancer's loop.
 */
final class ControlSubscriptionRunner implements SubscriptionEvents {
    private final SubscriberRunner runner;
    private final SubscriptionObserver observer;
    private final ControlledList list;
    private State state = State.WAITING;

    /** In this order, by {@link #lead}. */
    private enum State {
        WAITING,
        RUNNING,
        STOPPED
    }

    ControlSubscriptionRunner(
            Transport transport,
            Subscriber subscriber,
            SubscriptionObserver observer,
            ControlledList list) {
        this.runner = new SubscriberRunner(transport, subscriber);
        this.observer = observer;
        this.list = list;
    }

    /**
     * Subscribes from the first time that this process leads until the first time that it no longer
     * does.
     */
    void lead(boolean leads) {
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
        received();
        runner.line(line);
    }

    @Override
    public void heartbeat() {
        received();
        list.confirm();
        runner.heartbeat();
    }

    @Override
    public void ended(long retryAfterMillis, String reason) {
        observer.ended(reason);
        runner.ended(retryAfterMillis, reason);
    }

    private void received() {
        observer.received();
        list.received();
    }
}
