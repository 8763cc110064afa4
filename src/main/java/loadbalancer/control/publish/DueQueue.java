package loadbalancer.control.publish;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Subscribers in the order of the time at which something is due for them. For one thread. */
final class DueQueue {
    /** By difference, as monotonic clocks may wrap around. */
    private static final Comparator<Due> EARLIEST_FIRST =
            (one, other) -> Long.signum(one.atNanos - other.atNanos);

    private final PriorityQueue<Due> queue = new PriorityQueue<>(EARLIEST_FIRST);

    private record Due(SubscriberSession session, long atNanos) {}

    /** Something is due for a subscriber at that time. */
    void add(SubscriberSession session, long atNanos) {
        queue.add(new Due(session, atNanos));
    }

    /** Removes a subscriber for which something is due by then; null if there is none. */
    SubscriberSession pollDue(long byNanos) {
        Due first = queue.peek();
        if (first == null || first.atNanos - byNanos > 0) {
            return null;
        }
        queue.remove();
        return first.session;
    }

    /** Nanoseconds until something is due; {@link Long#MAX_VALUE} if nothing will be. */
    long nanosUntilNext(long nowNanos) {
        Due first = queue.peek();
        return first == null ? Long.MAX_VALUE : Math.max(0, first.atNanos - nowNanos);
    }
}
