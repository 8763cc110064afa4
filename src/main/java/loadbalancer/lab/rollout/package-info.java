/**
 * Measures the canary analysis of staged rollouts: it runs on metrics of a fleet that are drawn
 * from a seed. {@code docs/rollout-design.md} has the figures.
 */
package loadbalancer.lab.rollout;
