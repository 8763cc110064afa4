package loadbalancer.faults;

import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/**
 * One virtual clock for all that happens in a world: events of network and peers, and the loops of
 * processes. Times are nanoseconds. At one instant events come in the order in which they were
 * entered, and the loops run whatever has become due before time goes on.
 */
public final class Timeline implements Ticker {
    private record Event(long at, long number, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<VirtualLoop> loops = new ArrayList<>();
    private final Runnable afterStep;
    private long now;
    private long count;
    private long steps;

    /** {@code afterStep} runs after every instant in which something happened. */
    public Timeline(Runnable afterStep) {
        this.afterStep = afterStep;
    }

    void add(VirtualLoop loop) {
        loops.add(loop);
    }

    @Override
    public long initialNanoTime() {
        return 0;
    }

    @Override
    public long nanoTime() {
        return now;
    }

    @Override
    public void sleep(long delay, TimeUnit unit) {
        throw new IllegalStateException("nothing may sleep in virtual time");
    }

    /** Now, in microseconds. */
    public long micros() {
        return now / 1_000;
    }

    long steps() {
        return steps;
    }

    /** Lets something happen after so many microseconds; at once if there are none. */
    public void in(long micros, Runnable what) {
        events.add(new Event(now + Math.max(0, micros) * 1_000, count++, what));
    }

    void at(long micros, Runnable what) {
        in(micros - micros(), what);
    }

    /** Plays on until that time, in microseconds. */
    public void runUntil(long micros) {
        long end = micros * 1_000;
        settle();
        for (long next = next(); next <= end; next = next()) {
            now = Math.max(now, next);
            steps++;
            while (!events.isEmpty() && events.peek().at <= now) {
                events.poll().what.run();
                settle();
            }
            settle();
            afterStep.run();
        }
        now = Math.max(now, end);
    }

    private long next() {
        long next = events.isEmpty() ? Long.MAX_VALUE : events.peek().at;
        for (VirtualLoop loop : loops) {
            next = Math.min(next, loop.nextDue());
        }
        return next;
    }

    private void settle() {
        boolean any = true;
        while (any) {
            any = false;
            for (VirtualLoop loop : loops) {
                any |= loop.runDue();
            }
        }
    }
}
