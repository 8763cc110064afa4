package loadbalancer.lab.sim;

import java.util.Arrays;

/**
 * Virtual time and what is to happen in it. Events of one instant happen in the order they were put
 * in.
 *
 * <p>A heap of four children a node over arrays of times and numbers: half of the emulator's time
 * went into the library's queue, which follows a pointer to each event that it compares, and most
 * events are deadlines that lie in it for seconds.
 */
final class EventQueue {
    private static final int CHILDREN = 4;

    private long[] times = new long[1024];
    private long[] numbers = new long[1024];
    private Runnable[] events = new Runnable[1024];
    private int size;
    private long now;
    private long count;
    private long handled;

    EventQueue(long start) {
        this.now = start;
    }

    /** Microseconds. */
    long now() {
        return now;
    }

    /** Events handled so far. */
    long handled() {
        return handled;
    }

    void in(long delay, Runnable what) {
        if (size == times.length) {
            times = Arrays.copyOf(times, 2 * size);
            numbers = Arrays.copyOf(numbers, 2 * size);
            events = Arrays.copyOf(events, 2 * size);
        }
        long time = now + Math.max(0, delay);
        long number = count++;
        int hole = size++;
        while (hole > 0) {
            int parent = (hole - 1) / CHILDREN;
            // The newest number is the highest: only an earlier time goes before.
            if (times[parent] <= time) {
                break;
            }
            move(parent, hole);
            hole = parent;
        }
        put(hole, time, number, what);
    }

    /** At a time that is not in the past. */
    void at(long time, Runnable what) {
        in(time - now, what);
    }

    /** Runs the next event if it comes no later than {@code until}. */
    boolean step(long until) {
        if (size == 0 || times[0] > until) {
            return false;
        }
        Runnable next = events[0];
        now = times[0];
        removeFirst();
        handled++;
        next.run();
        return true;
    }

    private void removeFirst() {
        size--;
        long time = times[size];
        long number = numbers[size];
        Runnable what = events[size];
        events[size] = null;
        int hole = 0;
        while (hole * CHILDREN + 1 < size) {
            int least = leastChild(hole);
            if (!before(times[least], numbers[least], time, number)) {
                break;
            }
            move(least, hole);
            hole = least;
        }
        if (size > 0) {
            put(hole, time, number, what);
        }
    }

    private int leastChild(int parent) {
        int least = parent * CHILDREN + 1;
        int end = Math.min(size, least + CHILDREN);
        for (int child = least + 1; child < end; child++) {
            if (before(times[child], numbers[child], times[least], numbers[least])) {
                least = child;
            }
        }
        return least;
    }

    private static boolean before(long time, long number, long otherTime, long otherNumber) {
        return time < otherTime || time == otherTime && number < otherNumber;
    }

    private void move(int from, int to) {
        put(to, times[from], numbers[from], events[from]);
    }

    private void put(int place, long time, long number, Runnable what) {
        times[place] = time;
        numbers[place] = number;
        events[place] = what;
    }
}
