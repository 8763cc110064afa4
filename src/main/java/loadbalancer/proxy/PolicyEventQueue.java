package loadbalancer.proxy;

import java.util.ArrayDeque;
import java.util.Deque;
import loadbalancer.LoadBalancer;

/**
 * Delivers events to the policy one at a time, with the time of their delivery. An event that the
 * policy's own actions bring about (the end of an attempt that it cancels, say) waits until the
 * present one has been handled. Used on the event loop only.
 */
final class PolicyEventQueue {
    private static final System.Logger LOG = System.getLogger(PolicyEventQueue.class.getName());

    /** One event. */
    interface Event {
        /** Hands the event to the policy. */
        void deliver(LoadBalancer policy, long nowMicros);
    }

    private final PolicyClock clock;
    private final Deque<Event> events = new ArrayDeque<>();
    private LoadBalancer policy;
    private boolean delivering;

    PolicyEventQueue(PolicyClock clock) {
        this.clock = clock;
    }

    /** Sets the policy, once, before the first event. */
    void attach(LoadBalancer newPolicy) {
        policy = newPolicy;
    }

    /** Delivers an event now, or behind those that are under way. */
    void post(Event event) {
        events.add(event);
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            for (Event next = events.poll(); next != null; next = events.poll()) {
                deliver(next);
            }
        } finally {
            delivering = false;
        }
    }

    private void deliver(Event event) {
        try {
            event.deliver(policy, clock.nowMicros());
        } catch (RuntimeException e) {
            // The request of this event, if any, still has its deadline to be answered at.
            LOG.log(System.Logger.Level.ERROR, "the policy failed on an event", e);
        }
    }
}
