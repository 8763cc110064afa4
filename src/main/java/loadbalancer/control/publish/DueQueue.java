package loadbalancer.control.publish;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A queue of subscribers ordered by due time. Not thread-safe. */
final class DueQueue {
    /** Compares by the sign of the difference, because monotonic clocks may wrap around. */
    private static final Comparator<Due> EARLIEST_FIRST =
            (one, other) -> Long.signum(one.dueNanos - other.dueNanos);

    private final PriorityQueue<Due> queue = new PriorityQueue<>(EARLIEST_FIRST);

    private record Due(SubscriberSession session, long dueNanos) {}

    /** Adds a subscriber that is due at the given time. */
    void add(SubscriberSession session, long dueNanos) {
        queue.add(new Due(session, dueNanos));
    }

    /** Removes and returns a subscriber that is due by {@code untilNanos}, or returns null. */
    SubscriberSession pollDue(long untilNanos) {
        Due first = queue.peek();
        if (first == null || first.dueNanos - untilNanos > 0) {
            return null;
        }
        queue.remove();
        return first.session;
    }

    /** Returns the nanoseconds until the first is due; {@link Long#MAX_VALUE} if empty. */
    long nanosUntilNext(long nowNanos) {
        Due first = queue.peek();
        return first == null ? Long.MAX_VALUE : Math.max(0, first.dueNanos - nowNanos);
    }
}
