package loadbalancer.proxy;

import java.util.ArrayDeque;
import java.util.Deque;
import loadbalancer.LoadBalancer;

/**
 * Delivers events to the policy one at a time, with the time of delivery. An event that results
 * from an action of the policy, such as the end of an attempt that it cancels, is queued until the
 * current event has been handled. Used on the event loop only.
 */
final class PolicyEventQueue {
    private static final System.Logger LOG = System.getLogger(PolicyEventQueue.class.getName());

    /** An event for the policy. */
    interface Event {
        /** Calls the method of the policy for this event. */
        void deliver(LoadBalancer policy, long nowMicros);
    }

    private final PolicyClock clock;
    private final Deque<Event> events = new ArrayDeque<>();
    private LoadBalancer policy;
    private boolean delivering;

    PolicyEventQueue(PolicyClock clock) {
        this.clock = clock;
    }

    /** Sets the policy. Called once, before the first event. */
    void attach(LoadBalancer newPolicy) {
        policy = newPolicy;
    }

    /** Delivers an event at once, or after the events that are already queued. */
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
            // A request that this event belongs to still gets its final response at its deadline.
            LOG.log(
                    System.Logger.Level.ERROR,
                    "policy threw an exception while handling an event",
                    e);
        }
    }
}
