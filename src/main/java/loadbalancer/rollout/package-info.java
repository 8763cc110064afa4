/**
 * Staged rollouts: a program or its settings change in stages while the canary balancers are
 * compared with the others, and a stage that does worse halts the rollout. Logic only: time, random
 * numbers and the fleet's statements are passed in. {@code docs/rollout-design.md} has the design.
 */
package loadbalancer.rollout;
