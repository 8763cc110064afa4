package loadbalancer.policy;

import java.util.random.RandomGenerator;
import loadbalancer.LoadBalancerActions;
import loadbalancer.policy.data.Jitter;

/**
 * The timer of the periodic sweep.
 *
 * <p>The interval is short while requests are pending and longer otherwise, with random jitter.
 * {@link EventDispatcher} defines what a sweep does.
 */
final class SweepTimer {
    /** Token of the sweep timer. */
    static final String TIMER_TOKEN = "sweep";

    private static final long MEAN_INTERVAL_MICROS = 10_000;

    /**
     * Mean interval while no request is pending. It is longer because frequent timers cost CPU in
     * large tiers.
     */
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

    /**
     * Returns whether the sweep is due. False for a timer that was superseded by an earlier one.
     */
    boolean isDue(long nowMicros) {
        return nowMicros >= dueAtMicros;
    }

    /** Schedules the next sweep. */
    void scheduleNext(boolean hasPendingRequests, long nowMicros) {
        long meanMicros = hasPendingRequests ? MEAN_INTERVAL_MICROS : MEAN_IDLE_INTERVAL_MICROS;
        set(Jitter.around(meanMicros, random), nowMicros);
    }

    /**
     * Brings the next sweep forward if it was scheduled at the idle interval. Called when a request
     * is pending.
     */
    void bringForward(long nowMicros) {
        if (dueAtMicros - nowMicros > 2 * MEAN_INTERVAL_MICROS) {
            set(Jitter.around(MEAN_INTERVAL_MICROS, random), nowMicros);
        }
    }
}
