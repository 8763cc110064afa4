package loadbalancer.rollout.stage;

import loadbalancer.rollout.analysis.WindowCounters;
import loadbalancer.rollout.plan.Plan;

/**
 * For which plan counters are published, and under which cohort.
 *
 * @param cohortBits {@link WindowCounters#BASELINE}, {@link WindowCounters#CANARY}, or both while
 *     the balancer is handing over
 */
public record Measurement(Plan plan, long cohortBits) {}
