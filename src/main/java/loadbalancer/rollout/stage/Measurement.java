package loadbalancer.rollout.stage;

import loadbalancer.rollout.analysis.WindowCounters;
import loadbalancer.rollout.plan.Plan;

/**
 * The plan for which counters are published, and their cohort.
 *
 * @param cohortBits {@link WindowCounters#BASELINE}, {@link WindowCounters#CANARY}, or both during
 *     a hand-over
 */
public record Measurement(Plan plan, long cohortBits) {}
