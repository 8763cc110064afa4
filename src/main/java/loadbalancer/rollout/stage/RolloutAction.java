package loadbalancer.rollout.stage;

import loadbalancer.rollout.plan.Plan;

/** An action that a member must execute on its machine. Immutable. */
public sealed interface RolloutAction {
    /**
     * Computes the digest of the program or file in the plan. The result is reported to {@link
     * RolloutController#onDigestComputed}.
     */
    record VerifyDigest(Plan plan) implements RolloutAction {}

    /** Hands over to the program or file of the plan if its digest still matches. */
    record StartChange(Plan plan) implements RolloutAction {}

    /** Hands over to the program from before the plan, or cancels a hand-over to the plan. */
    record RollBack(String planKey, String reason) implements RolloutAction {}
}
