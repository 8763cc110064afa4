package loadbalancer.policy;

import java.util.random.RandomGenerator;
import loadbalancer.LoadBalancerActions;
import loadbalancer.policy.data.Jitter;

/**
 * The timer of the periodic sweep.
 *
 * <p>Decides when the next sweep is due: soon while requests are pending, later otherwise.
 *
 * <p>Inputs: whether requests are pending; one random number for each interval.
 *
 * <p>Never decides what a sweep does: see {@link EventDispatcher}.
 */
final class SweepTimer {
    /** Token of the timer. */
    static final String TIMER_TOKEN = "sweep";

    private static final long MEAN_INTERVAL_MICROS = 10_000;

    /** With no request pending; timers cost CPU in large groups. */
    private static final long MEAN_IDLE_INTERVAL_MICROS = 50_000;

    private final LoadBalancerActions actions;
    private final RandomGenerator random;
    private long dueAtMicros;

    SweepTimer(LoadBalancerActions actions, RandomGenerator random) {
        this.actions = actions;
        this.random = random;
    }

    void start(long nowMicros) {
        set(MEAN_INTERVAL_MICROS, nowMicros);
    }

    private void set(long delayMicros, long nowMicros) {
        dueAtMicros = nowMicros + delayMicros;
        actions.scheduleTimer(TIMER_TOKEN, delayMicros);
    }

    /** Whether the sweep is due; false for a timer that was replaced by an earlier one. */
    boolean isDue(long nowMicros) {
        return nowMicros >= dueAtMicros;
    }

    /** Sets the timer for the next sweep. */
    void scheduleNext(boolean hasPendingRequests, long nowMicros) {
        long meanMicros = hasPendingRequests ? MEAN_INTERVAL_MICROS : MEAN_IDLE_INTERVAL_MICROS;
        set(Jitter.around(meanMicros, random), nowMicros);
    }

    /** A request is pending: brings an idle interval forward. */
    void hasten(long nowMicros) {
        if (dueAtMicros - nowMicros > 2 * MEAN_INTERVAL_MICROS) {
            set(Jitter.around(MEAN_INTERVAL_MICROS, random), nowMicros);
        }
    }
}
