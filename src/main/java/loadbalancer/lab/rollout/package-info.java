/**
 * Measures the verdict on staged changes: figures of a fleet as they might be, drawn from a seed,
 * and the judge of the product on them. {@code docs/rollout-design.md} has the figures.
 */
package loadbalancer.lab.rollout;
