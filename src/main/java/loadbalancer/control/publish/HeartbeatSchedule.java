package loadbalancer.control.publish;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Finds the subscribers that were sent nothing for the heartbeat interval. Those that are due soon
 * are found along with those that are due, so that all of them together need few wake-ups. A send
 * costs nothing here: a subscriber that was sent something since is put back when it is due. For
 * one thread.
 */
final class HeartbeatSchedule {
    /** Heartbeats may be early by this fraction of the interval. */
    private static final int EARLY_DIVISOR = 8;

    private final long intervalNanos;
    private final long earlyNanos;
    private final DueQueue queue = new DueQueue();

    /** For that interval. */
    HeartbeatSchedule(long intervalMillis) {
        intervalNanos = TimeUnit.MILLISECONDS.toNanos(intervalMillis);
        earlyNanos = intervalNanos / EARLY_DIVISOR;
    }

    /** Adds a subscriber; its first heartbeat is due after one interval. */
    void add(long nowNanos, SubscriberSession session) {
        queue.add(session, nowNanos + intervalNanos);
    }

    /** Passes on each subscriber that is due; gives the nanoseconds until the next one is. */
    long run(long nowNanos, Consumer<SubscriberSession> send) {
        long byNanos = nowNanos + earlyNanos;
        SubscriberSession session = queue.pollDue(byNanos);
        while (session != null) {
            if (!session.isClosed()) {
                visit(nowNanos, byNanos, session, send);
            }
            session = queue.pollDue(byNanos);
        }
        return queue.nanosUntilNext(nowNanos);
    }

    private void visit(
            long nowNanos,
            long byNanos,
            SubscriberSession session,
            Consumer<SubscriberSession> send) {
        long dueNanos = session.lastSentNanos() + intervalNanos;
        if (dueNanos - byNanos > 0) {
            queue.add(session, dueNanos);
        } else {
            send.accept(session);
            queue.add(session, nowNanos + intervalNanos);
        }
    }
}
