package loadbalancer.control.publish;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Determines which subscribers are due for a heartbeat, because nothing was sent to them for the
 * heartbeat interval. Subscribers that are due soon are handled together with those that are due
 * now, which keeps the number of wake-ups low. Sending an update doesn't touch the schedule: when a
 * subscriber is due, the time of the last send decides whether it is rescheduled. Not thread-safe.
 */
final class HeartbeatSchedule {
    /** Heartbeats may be sent early by the interval divided by this. */
    private static final int EARLY_DIVISOR = 8;

    private final long intervalNanos;
    private final long earlyNanos;
    private final DueQueue queue = new DueQueue();

    /** Creates an empty schedule with the given heartbeat interval. */
    HeartbeatSchedule(long intervalMillis) {
        intervalNanos = TimeUnit.MILLISECONDS.toNanos(intervalMillis);
        earlyNanos = intervalNanos / EARLY_DIVISOR;
    }

    /** Adds a subscriber; its first heartbeat is due after one interval. */
    void add(long nowNanos, SubscriberSession session) {
        queue.add(session, nowNanos + intervalNanos);
    }

    /**
     * Passes each due subscriber to {@code send}; returns the nanoseconds until the next is due.
     */
    long run(long nowNanos, Consumer<SubscriberSession> send) {
        long untilNanos = nowNanos + earlyNanos;
        SubscriberSession session = queue.pollDue(untilNanos);
        while (session != null) {
            if (!session.isClosed()) {
                sendOrReschedule(nowNanos, untilNanos, session, send);
            }
            session = queue.pollDue(untilNanos);
        }
        return queue.nanosUntilNext(nowNanos);
    }

    private void sendOrReschedule(
            long nowNanos,
            long untilNanos,
            SubscriberSession session,
            Consumer<SubscriberSession> send) {
        long dueNanos = session.lastSentNanos() + intervalNanos;
        if (dueNanos - untilNanos > 0) {
            queue.add(session, dueNanos);
        } else {
            send.accept(session);
            queue.add(session, nowNanos + intervalNanos);
        }
    }
}
