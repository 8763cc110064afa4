/**
 * Staged change: the program or its settings change in stages, old and new balancers serve side by
 * side, and the change stops by itself when a stage does worse. Pure logic: time, chance and the
 * fleet's statements are handed in. {@code docs/rollout-design.md} says what is promised.
 */
package loadbalancer.rollout;
