package loadbalancer.rollout.stage;

import loadbalancer.fleet.replication.SharedState;
import loadbalancer.rollout.plan.Plan;

/**
 * Halts all open plans except the current one after a settling time, so that they do not start
 * automatically later. Called from the fleet's thread; times are microseconds of the monotonic
 * clock.
 */
final class PlanConflict {
    private static final long SETTLING_MICROS = 10_000_000;

    private final SharedState shared;
    private long sinceMicros = Long.MAX_VALUE;

    PlanConflict(SharedState shared) {
        this.shared = shared;
    }

    /** Resets the settling time, since no other plan is open. */
    void clear() {
        sinceMicros = Long.MAX_VALUE;
    }

    /** Halts the other open plans if the settling time is over. */
    void resolve(long nowMicros, Plan current, Iterable<Plan> others) {
        sinceMicros = Math.min(sinceMicros, nowMicros);
        if (nowMicros - sinceMicros < SETTLING_MICROS) {
            return;
        }
        for (Plan other : others) {
            HaltFlags.raise(
                    shared,
                    nowMicros,
                    other.key(),
                    current.title() + " was in progress; submit this plan again after it ends");
        }
    }
}
