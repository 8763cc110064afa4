package loadbalancer.faults.control;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual time: events run in the order of their times, and of their scheduling where times are
 * equal.
 */
final class EventQueue {
    private static final Comparator<Event> ORDER =
            Comparator.comparingLong(Event::time).thenComparingLong(Event::sequence);

    private final PriorityQueue<Event> events = new PriorityQueue<>(ORDER);
    private long now;
    private long sequence;

    /** Something that happens at a time. */
    private record Event(long time, long sequence, Runnable action) {}

    /** The current time in nanoseconds, from 0. */
    long now() {
        return now;
    }

    /** Schedules an action; a time that has passed means now. */
    void at(long time, Runnable action) {
        events.add(new Event(Math.max(time, now), sequence++, action));
    }

    /** Schedules an action after a delay. */
    void after(long delay, Runnable action) {
        at(now + delay, action);
    }

    /** How many events have been scheduled so far. */
    long scheduled() {
        return sequence;
    }

    /** Runs the next event unless it is behind the time; whether there was one. */
    boolean runNextUntil(long end) {
        Event next = events.peek();
        if (next == null || next.time() > end) {
            now = Math.max(now, end);
            return false;
        }
        events.poll();
        now = next.time();
        next.action().run();
        return true;
    }
}
