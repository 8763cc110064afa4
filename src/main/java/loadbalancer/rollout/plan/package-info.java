/**
 * What operators ask for: the plan's file, who belongs to which stage, the digest of what changes.
 */
package loadbalancer.rollout.plan;
