package loadbalancer.rollout.stage;

import loadbalancer.rollout.plan.Plan;

/** What a member has to do on its machine. Immutable. */
public sealed interface RolloutAction {
    /**
     * Compute the digest of what the plan names, and report it by {@link
     * RolloutController#onDigestComputed}.
     */
    record VerifyDigest(Plan plan) implements RolloutAction {}

    /** Hand over to what the plan names, if its digest still matches. */
    record StartChange(Plan plan) implements RolloutAction {}

    /** Hand over to what ran before the plan of that key, or cancel a hand-over to it. */
    record RollBack(String planKey, String reason) implements RolloutAction {}
}
