package loadbalancer.faults.control;

import java.util.function.LongSupplier;

/**
 * One process on a host of its own: it runs, is stopped for a time, or is dead. Timers of a life
 * that has ended never fire, and what is due while it is stopped is done when it is woken.
 */
final class VirtualHost {
    /** A process that has work left is run again after this time. */
    private static final long SLICE_NANOS = 200_000;

    /** Nothing that is due later than that needs a timer. */
    private static final long LONGEST_DELAY_NANOS = Long.MAX_VALUE / 4;

    private final String name;
    private final EventQueue queue;
    private LongSupplier runner = () -> Long.MAX_VALUE;
    private boolean alive;
    private boolean stopped;
    private long life;
    private long timer = Long.MAX_VALUE;
    private long timerNumber;

    VirtualHost(String name, EventQueue queue) {
        this.name = name;
        this.queue = queue;
    }

    String name() {
        return name;
    }

    boolean isAlive() {
        return alive;
    }

    /** Whether it takes what comes to it; a stopped process leaves it in its buffers. */
    boolean isRunning() {
        return alive && !stopped;
    }

    /** Number of the current life, for what must not outlive it. */
    long life() {
        return life;
    }

    /**
     * Begins a life.
     *
     * @param run does what is due and gives the nanoseconds until the next call at the latest
     */
    void start(LongSupplier run) {
        alive = true;
        stopped = false;
        life++;
        runner = run;
        timer = Long.MAX_VALUE;
    }

    /** Ends the life. */
    void kill() {
        alive = false;
        stopped = false;
        life++;
        runner = () -> Long.MAX_VALUE;
    }

    /** Stands still from now on. */
    void stop() {
        stopped = true;
    }

    /** Goes on after {@link #stop}. */
    void wake() {
        stopped = false;
        run();
    }

    /** Does what is due and sets the timer for the next time. */
    void run() {
        if (!isRunning()) {
            return;
        }
        long before = life;
        long delay = runner.getAsLong();
        if (life == before && delay < LONGEST_DELAY_NANOS) {
            setTimer(queue.now() + Math.max(delay, SLICE_NANOS));
        }
    }

    private void setTimer(long time) {
        if (timer <= time && timer > queue.now()) {
            return;
        }
        timer = time;
        long number = ++timerNumber;
        long armedIn = life;
        queue.at(
                time,
                () -> {
                    if (number == timerNumber && armedIn == life) {
                        timer = Long.MAX_VALUE;
                        run();
                    }
                });
    }
}
