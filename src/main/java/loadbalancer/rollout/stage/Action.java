package loadbalancer.rollout.stage;

import loadbalancer.rollout.plan.Plan;

/** What a member has to do on its machine. */
public sealed interface Action {
    /** Count the digest of what the plan names, and tell it by {@link Rollout#checked}. */
    record Check(Plan plan) implements Action {}

    /** Hand over to what the plan names; its digest is counted once more before it is started. */
    record Begin(Plan plan) implements Action {}

    /** Hand over to what ran before the plan of that key, or give up a hand-over to it. */
    record GoBack(String key, String reason) implements Action {}
}
